package request

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
	"sequoiadock/standin/sqcaller"
	"sequoiadock/standin/sqrecord"
)

// maxWithdrawalTime bounds the time from a key's withdrawal to the last request that
// runs for the key.
const maxWithdrawalTime = 5 * time.Second

// entryPauseTime is longer than an entry's freshness lease.
const entryPauseTime = 4 * time.Second

// TestWithdrawnKeyStopsEverywhere withdraws a key whose callers hold busy
// connections to every entry, while one control process and one entry are
// paused. From maxWithdrawalTime on no request may run for the key, and the other
// team must not have lost a request.
func TestWithdrawnKeyStopsEverywhere(t *testing.T) {
	ctx := context.Background()
	c := start(t, sqcluster.Config{})
	teams := sqcluster.DefaultTeams()
	withdrawn, other := teams[0], teams[1]
	l := startReaders(c, []sqcluster.Team{withdrawn, other})
	waitForReads(t, c, withdrawn, 50)
	pauseFollower(t, c)
	paused := c.Entries()[2]
	paused.Pause()
	requestedAt := time.Now()
	outcomes := make(chan sqcluster.CommandResult, 1)
	go func() { outcomes <- c.RunCommand(ctx, "", "key", "withdraw", withdrawn.KeyID()) }()
	// The paused entry resumes with requests in its sockets and outdated state.
	sleepUntil(requestedAt.Add(entryPauseTime))
	paused.Continue()
	o := <-outcomes
	assert.Equal(t, o.ExitCode(), 0, o.Stderr())
	confirmedAfter := time.Since(requestedAt)
	sleepUntil(requestedAt.Add(maxWithdrawalTime))
	waitForReads(t, c, other, 200)
	l.stop()
	entries := records(t, c)
	last := lastReadTime(entries, withdrawn)
	t.Logf("confirmed after %v, last run after %v", confirmedAfter.Round(time.Millisecond), last.Sub(requestedAt).Round(time.Millisecond))
	assert.Assert(t, last.Before(requestedAt.Add(maxWithdrawalTime)))
	assert.Equal(t, l.failureCount(other), int64(0), "the other team lost requests")
	assert.Assert(t, l.failureCount(withdrawn) > 0)
	a := newCaller(c, withdrawn.Key()).Chat(ctx, newChat("may I", 5))
	assert.Equal(t, a.Refusal.Kind, "badKey")
	assert.Equal(t, a.Outcome, sqcaller.NotRun)
	assertNoKeyLeaked(t, entries)
}

// TestWithdrawnKeyWithHolderCutOff withdraws a key while the lease holder is cut off
// by a network partition that drops packets without an error. The partition heals
// once another lease holder has committed the withdrawal. Late messages of the old
// lease holder must not make the key valid again.
func TestWithdrawnKeyWithHolderCutOff(t *testing.T) {
	ctx := context.Background()
	c := start(t, sqcluster.Config{ProxyControls: true})
	teams := sqcluster.DefaultTeams()
	withdrawn, other := teams[0], teams[1]
	l := startReaders(c, []sqcluster.Team{withdrawn, other})
	waitForReads(t, c, withdrawn, 50)
	_, holder, err := c.HolderStatus(ctx)
	assert.NilError(t, err)
	assert.NilError(t, holder.Proxy().Partition())
	output, err := c.CommandOutput(ctx, "", "key", "withdraw", "-timeout", "25s", withdrawn.KeyID())
	assert.NilError(t, err)
	confirmedAt := time.Now()
	assert.NilError(t, holder.Proxy().Heal())
	sleepUntil(confirmedAt.Add(maxWithdrawalTime))
	waitForReads(t, c, other, 100)
	l.stop()
	last := lastReadTime(records(t, c), withdrawn)
	t.Logf("last run %v after the command ended, which said: %s", last.Sub(confirmedAt).Round(time.Millisecond), output)
	assert.Assert(t, last.Before(confirmedAt.Add(maxWithdrawalTime)))
	a := newCaller(c, withdrawn.Key()).Chat(ctx, newChat("may I", 5))
	assert.Equal(t, a.Refusal.Kind, "badKey")
}

// pauseFollower pauses the last control process that does not hold the lease, until
// the end of the test.
func pauseFollower(t *testing.T, c *sqcluster.Cluster) {
	t.Helper()
	_, holder, err := c.HolderStatus(context.Background())
	assert.NilError(t, err)
	for i := len(c.Controls()) - 1; ; i-- {
		if n := c.Controls()[i]; n != holder {
			n.Pause()
			t.Cleanup(n.Continue)
			return
		}
	}
}

// TestWithdrawalContactsPausedControlFirst withdraws a key by a command whose first
// address is that of a paused control process. The command must still report that
// the withdrawal is confirmed.
func TestWithdrawalContactsPausedControlFirst(t *testing.T) {
	c := start(t, sqcluster.Config{})
	_, holder, err := c.HolderStatus(context.Background())
	assert.NilError(t, err)
	var paused *sqcluster.Control
	for _, n := range c.Controls() {
		if n != holder {
			paused = n
		}
	}
	paused.Pause()
	t.Cleanup(paused.Continue)
	controls := paused.Address() + "," + holder.Address()
	requestedAt := time.Now()
	output, err := c.CommandOutput(context.Background(), "", "key", "withdraw", "-controls", controls, sqcluster.DefaultTeams()[0].KeyID())
	assert.NilError(t, err)
	t.Logf("the command took %v: %s", time.Since(requestedAt).Round(time.Millisecond), output)
	assert.Assert(t, !strings.Contains(output, "not yet confirmed"), output)
}

// sleepUntil sleeps until the given time.
func sleepUntil(at time.Time) { time.Sleep(time.Until(at)) }

// readInterval is the pause between two reads of one connection.
const readInterval = 5 * time.Millisecond

// readers repeatedly send read calls for some teams to every entry and count the
// failed ones for each team.
type readers struct {
	done     chan struct{}
	wg       sync.WaitGroup
	failures map[string]*atomic.Int64
}

func readPath(team sqcluster.Team) string { return "/booking/of/" + team.Name() }

func startReaders(c *sqcluster.Cluster, teams []sqcluster.Team) *readers {
	l := &readers{done: make(chan struct{}), failures: map[string]*atomic.Int64{}}
	for _, team := range teams {
		l.failures[team.Name()] = &atomic.Int64{}
		for _, e := range c.Entries() {
			caller := newCaller(c, team.Key())
			l.wg.Go(func() { l.read(caller, team, e.CallerAddress()) })
		}
	}
	return l
}

// read sends read calls one after the other on one connection.
func (l *readers) read(caller *sqcaller.Caller, team sqcluster.Team, address string) {
	for {
		select {
		case <-l.done:
			return
		default:
		}
		a := caller.Call(context.Background(), sqcaller.CallRequest{
			Method: http.MethodGet, Path: readPath(team), Address: address, Deadline: 5 * time.Second,
		})
		if a.Outcome != sqcaller.Complete {
			l.failures[team.Name()].Add(1)
		}
		time.Sleep(readInterval)
	}
}

func (l *readers) stop() {
	close(l.done)
	l.wg.Wait()
}

func (l *readers) failureCount(team sqcluster.Team) int64 { return l.failures[team.Name()].Load() }

func countReads(entries []sqrecord.Entry, team sqcluster.Team) int {
	n := 0
	for _, e := range entries {
		if e.Kind == sqrecord.CallRead && e.Argument == http.MethodGet+" "+readPath(team) {
			n++
		}
	}
	return n
}

func lastReadTime(entries []sqrecord.Entry, team sqcluster.Team) time.Time {
	last := time.Time{}
	for _, e := range entries {
		if e.Kind == sqrecord.CallRead && e.Argument == http.MethodGet+" "+readPath(team) {
			last = time.Unix(0, e.AtUnixNano)
		}
	}
	return last
}

// waitForReads waits until n more read calls have run for a team.
func waitForReads(t *testing.T, c *sqcluster.Cluster, team sqcluster.Team, n int) {
	t.Helper()
	before := countReads(records(t, c), team)
	assert.NilError(t, c.Eventually(context.Background(), "more reads run", func() bool {
		return countReads(records(t, c), team) >= before+n
	}))
}
