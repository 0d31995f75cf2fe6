package sqcontrol

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"sequoiadock/core/sqburn"
	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqfleet"
	"sequoiadock/core/sqmember"
	"sequoiadock/core/sqstate"
	"sequoiadock/io/sqmachine"
)

// start returns the time at which tests start.
func start() time.Time { return time.Unix(1000, 0) }

func newTestTermState() *termState {
	return newTermState(Config{Timings: Timings{FreshnessLease: 3 * time.Second}}, newTermCounters(1), start(), start(), nil)
}

func TestTermGauges(t *testing.T) {
	term := newTestTermState()
	assert.Equal(t, term.listAge(start().Add(2*time.Second)), 2*time.Second)
	term.listRead = true
	term.listReadAt = start().Add(time.Second)
	assert.Equal(t, term.listAge(start().Add(4*time.Second)), 3*time.Second)

	term.entries.Renew(start(), sqmember.Heartbeat{Entry: "n1"})
	term.entries.Renew(start().Add(8*time.Second), sqmember.Heartbeat{Entry: "n2"})
	assert.Equal(t, term.countEntries(start().Add(9*time.Second), true), 1.0)
	assert.Equal(t, term.countEntries(start().Add(9*time.Second), false), 1.0)

	term.fleet.ApplyList(start(), []sqfleet.EndpointConfig{{ID: "e1"}, {ID: "e2"}, {ID: "e3", State: sqfleet.Leaving}})
	term.fleet.SetDraining(func(id string) bool { return id == "e2" })
	assert.Equal(t, term.countEndpoints(sqfleet.Live), 1.0)
	assert.Equal(t, term.countEndpoints(sqfleet.Draining), 1.0)
	assert.Equal(t, term.countEndpoints(sqfleet.Leaving), 1.0)

	term.burn.Add(start(), sqburn.NewKey(sqburn.KeyConfig{Team: "a"}), 90, 50, 50)
	term.burn.Add(start(), sqburn.NewKey(sqburn.KeyConfig{Team: "b"}), 90, 100, 0)
	assert.Assert(t, term.highestBurn(start()) > 4.9 && term.highestBurn(start()) < 5.1)
}

func TestUnreportedWindows(t *testing.T) {
	h := &holder{machine: sqmachine.New()}
	apply := func(c *sqcommand.Command) {
		var res sqcommand.Result
		assert.NilError(t, proto.Unmarshal(h.machine.Apply(0, sqstate.Encode(c)), &res))
		assert.Equal(t, res.GetError(), uint32(0))
	}
	for n := range uint64(3) {
		to := start().Add(time.Duration(n+1) * time.Minute).UnixNano()
		apply(&sqcommand.Command{Body: &sqcommand.Command_FreezeWindow{FreezeWindow: &sqcommand.FreezeWindow{
			Window: n + 1, FromUnixNano: to - int64(time.Minute), ToUnixNano: to,
		}}})
	}
	apply(&sqcommand.Command{Body: &sqcommand.Command_MarkReported{MarkReported: &sqcommand.MarkReported{Window: 1}}})
	n, age := h.unreportedWindows(start().Add(5 * time.Minute))
	assert.Equal(t, n, 2)
	assert.Equal(t, age, 3*time.Minute)
}
