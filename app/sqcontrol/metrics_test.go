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

// start is the time that tests begin at.
func start() time.Time { return time.Unix(1000, 0) }

func newTestTenure() *tenure {
	return newTenure(Config{Timings: Timings{Fresh: 3 * time.Second}}, newTermNumbers(1), start(), start(), nil)
}

func TestTenureFigures(t *testing.T) {
	te := newTestTenure()
	assert.Equal(t, te.listAge(start().Add(2*time.Second)), 2*time.Second)
	te.listed = true
	te.listedAt = start().Add(time.Second)
	assert.Equal(t, te.listAge(start().Add(4*time.Second)), 3*time.Second)

	te.entries.Renew(start(), sqmember.Report{Entry: "n1"})
	te.entries.Renew(start().Add(8*time.Second), sqmember.Report{Entry: "n2"})
	assert.Equal(t, te.countEntries(start().Add(9*time.Second), true), 1.0)
	assert.Equal(t, te.countEntries(start().Add(9*time.Second), false), 1.0)

	te.fleet.ApplyList(start(), []sqfleet.EndpointConfig{{ID: "e1"}, {ID: "e2"}, {ID: "e3", State: sqfleet.Leaving}})
	te.fleet.SetDraining(func(id string) bool { return id == "e2" })
	assert.Equal(t, te.countEndpoints(sqfleet.Live), 1.0)
	assert.Equal(t, te.countEndpoints(sqfleet.Draining), 1.0)
	assert.Equal(t, te.countEndpoints(sqfleet.Leaving), 1.0)

	te.burn.Add(start(), sqburn.NewKey(sqburn.KeyConfig{Team: "a"}), 90, 50, 50)
	te.burn.Add(start(), sqburn.NewKey(sqburn.KeyConfig{Team: "b"}), 90, 100, 0)
	assert.Assert(t, te.highestBurn(start()) > 4.9 && te.highestBurn(start()) < 5.1)
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
	n, age := h.unreported(start().Add(5 * time.Minute))
	assert.Equal(t, n, 2)
	assert.Equal(t, age, 3*time.Minute)
}
