package authority

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
	"sequoiadock/proof/sqjudge"
	"sequoiadock/standin/sqfleet"
)

// Figures of TestLeaseWait.
const (
	// longLoad takes about 40 s at the harness's scale, through which the holder
	// sends the open order again and again.
	longLoad = 800 << 20
	// campaigning is after how long a replica that hears nothing stands for
	// election, and overdue after how long its next try is due.
	campaigning = 2200 * time.Millisecond
	overdue     = 1200 * time.Millisecond
	// headStart is a small part of a lease.
	headStart = 60 * time.Millisecond
	// leaseWaitTries is how often the judge may miss the fault.
	leaseWaitTries = 4
)

// TestLeaseWait lets a replica that hears nothing stand for election in the
// moment in which the holder is cut off. With the followers' promise and the
// new leader's wait off, it gives orders during the holder's lease, and the judge
// must find those that the holder goes on sending. With them on there are none.
func TestLeaseWait(t *testing.T) {
	t.Parallel()
	t.Run("on", func(t *testing.T) { leaseWait(t, "", 2, false) })
	t.Run("faultOff", func(t *testing.T) { leaseWait(t, "leaseWait,promise", leaseWaitTries, true) })
}

func leaseWait(t *testing.T, faults string, tries int, caught bool) {
	t.Parallel()
	c := start(t, sqcluster.Config{
		EntryCount: 1, ProxyControls: true,
		Tags: []string{"sqfault"}, Env: []string{"SEQUOIADOCK_FAULTS=" + faults},
		Fleet: sqfleet.Settings{
			Engines: sqfleet.EngineSettings{Count: 3},
			Weights: sqfleet.WeightSettings{ModelBytes: longLoad, BytesPerSecond: loadRate},
		},
		ControlPolicy: map[string]string{"roles": "static", "stock": "off"},
		ControlTiming: map[string]int{"pollMillis": 100, "planMillis": 200},
		Declarations:  sqcluster.Declarations{BillingWindow: time.Hour},
	})
	publishVersion(t, c, "4")
	eventually(t, c, "an engine loads", func() bool { return started(record(t, c)) })
	var stale []string
	for range tries {
		standDuringLease(t, c)
		stale = sqjudge.StaleOrders(record(t, c))
		if len(stale) > 0 {
			break
		}
	}
	t.Logf("%d stale orders", len(stale))
	assert.Equal(t, len(stale) > 0, caught, "%v", stale)
}

// standDuringLease cuts a follower off, stops it until it is due to stand for
// election, and lets it go on when nothing reaches the holder any more.
func standDuringLease(t *testing.T, c *sqcluster.Cluster) {
	t.Helper()
	rival, h := victims(t, c)
	assert.NilError(t, rival.Proxy().Partition())
	time.Sleep(campaigning)
	rival.Pause()
	time.Sleep(overdue)
	assert.NilError(t, h.Proxy().Partition())
	// The holder sends again what the end of the cut broke, and would be heard
	// before the rival stands.
	h.Pause()
	assert.NilError(t, rival.Proxy().Heal())
	rival.Continue()
	time.Sleep(headStart)
	h.Continue()
	time.Sleep(settleTime)
	assert.NilError(t, h.Proxy().Heal())
	settle(t, c)
}
