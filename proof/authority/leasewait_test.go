package authority

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
	"sequoiadock/proof/sqjudge"
	"sequoiadock/standin/sqfleet"
)

// Sizes, durations and limits of TestLeaseWait.
const (
	// slowLoadModelBytes takes about 40 s to load at the harness's scale. During
	// that time the lease holder keeps resending the open order.
	slowLoadModelBytes = 800 << 20
	// campaignDelay is the time after which a replica that receives no messages
	// stands for election, and campaignRetryDelay the time until its next attempt.
	campaignDelay      = 2200 * time.Millisecond
	campaignRetryDelay = 1200 * time.Millisecond
	// candidateHeadStart is how long the candidate runs before the paused lease
	// holder resumes, a small part of a lease.
	candidateHeadStart = 60 * time.Millisecond
	// maxLeaseWaitTries is the number of attempts within which sqjudge must find a
	// stale order.
	maxLeaseWaitTries = 4
)

// TestLeaseWait lets a replica that receives no messages stand for election at the
// moment at which the lease holder is cut off. With the followers' promise and the
// new leader's lease wait switched off, the new leader sends orders during the old
// lease, and sqjudge must find the stale orders that the old lease holder goes on
// sending. With both switched on there are none.
func TestLeaseWait(t *testing.T) {
	t.Parallel()
	t.Run("on", func(t *testing.T) { testLeaseWait(t, "", 2, false) })
	t.Run("faultOff", func(t *testing.T) { testLeaseWait(t, "leaseWait,promise", maxLeaseWaitTries, true) })
}

func testLeaseWait(t *testing.T, faults string, tries int, wantStale bool) {
	t.Parallel()
	c := start(t, sqcluster.Config{
		EntryCount: 1, ProxyControls: true,
		Tags: []string{"sqfault"}, Env: []string{"SEQUOIADOCK_FAULTS=" + faults},
		Fleet: sqfleet.Settings{
			Engines: sqfleet.EngineSettings{Count: 3},
			Weights: sqfleet.WeightSettings{ModelBytes: slowLoadModelBytes, BytesPerSecond: loadBytesPerSecond},
		},
		ControlPolicy: map[string]string{"roles": "static", "stock": "off"},
		ControlTiming: map[string]int{"pollMillis": 100, "planMillis": 200},
		Declarations:  sqcluster.Declarations{BillingWindow: time.Hour},
	})
	publishVersion(t, c, "4")
	eventually(t, c, "an engine loads the new version", func() bool { return loadStarted(records(t, c)) })
	var stale []string
	for range tries {
		campaignDuringLease(t, c)
		stale = sqjudge.StaleOrders(records(t, c))
		if len(stale) > 0 {
			break
		}
	}
	t.Logf("%d stale orders", len(stale))
	assert.Equal(t, len(stale) > 0, wantStale, "%v", stale)
}

// campaignDuringLease cuts a follower off, pauses it until its election attempt is
// due, and resumes it once no message reaches the lease holder any more.
func campaignDuringLease(t *testing.T, c *sqcluster.Cluster) {
	t.Helper()
	candidate, h := followerAndHolder(t, c)
	assert.NilError(t, candidate.Proxy().Partition())
	time.Sleep(campaignDelay)
	candidate.Pause()
	time.Sleep(campaignRetryDelay)
	assert.NilError(t, h.Proxy().Partition())
	// Without the pause, the lease holder would resend the messages that failed
	// during the candidate's cut, and the candidate would receive them before it
	// stands for election.
	h.Pause()
	assert.NilError(t, candidate.Proxy().Heal())
	candidate.Continue()
	time.Sleep(candidateHeadStart)
	h.Continue()
	time.Sleep(settleTime)
	assert.NilError(t, h.Proxy().Heal())
	waitSettled(t, c)
}
