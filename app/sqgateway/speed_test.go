package sqgateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqplace"
	"sequoiadock/io/sqrpc"
)

// TestSpeedIsReportedUntilAnswered fails if a speed that an endpoint reports is not in the
// next heartbeat, is lost with an unanswered one, or is repeated after an answer.
func TestSpeedIsReportedUntilAnswered(t *testing.T) {
	e := newFakeEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Work", "250")
		signedHandler("read")(w, r)
	})
	s := newTestSystem(t, e.fleetEntry("i1", "ledger", sqplace.AnyStage))
	s.holder.update(func() { s.holder.notHolder = true })
	res, _, _ := s.call(t, http.MethodGet, "/read/x", "")
	assert.Equal(t, res.StatusCode, http.StatusOK)
	time.Sleep(300 * time.Millisecond)
	s.holder.update(func() { s.holder.notHolder = false })
	var speeds []*sqrpc.SpeedReport
	waitFor(t, func() bool {
		s.holder.update(func() { speeds = s.holder.speeds })
		return len(speeds) > 0
	})
	assert.Assert(t, speeds[0].GetEndpoint() == "i1" && speeds[0].GetWorkPercent() == 250 && speeds[0].GetReports() == 1 &&
		speeds[0].GetAgeMillis() >= 200, "%v", speeds[0])
	time.Sleep(300 * time.Millisecond)
	s.holder.update(func() { assert.Equal(t, len(s.holder.speeds), 1) })
}
