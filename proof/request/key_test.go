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

// keyDead bounds the time from a withdrawal to the last run for the key.
const keyDead = 5 * time.Second

// pauseTime is longer than a freshness lease.
const pauseTime = 4 * time.Second

// TestWithdrawnKeyStopsEverywhere withdraws a key whose callers hold busy
// connections to every entry, while one control process and one entry are
// paused. Five seconds later nothing runs for it, and the other team has not
// lost a request.
func TestWithdrawnKeyStopsEverywhere(t *testing.T) {
	ctx := context.Background()
	c := start(t, sqcluster.Config{})
	teams := sqcluster.DefaultTeams()
	withdrawn, other := teams[0], teams[1]
	l := startReaders(c, []sqcluster.Team{withdrawn, other})
	waitReads(t, c, withdrawn, 50)
	pauseLast(t, c)
	paused := c.Entries()[2]
	paused.Pause()
	asked := time.Now()
	said := make(chan sqcluster.CommandResult, 1)
	go func() { said <- c.RunCommand(ctx, "", "key", "withdraw", withdrawn.KeyID()) }()
	// The paused entry wakes with requests in its sockets and an old view.
	sleepUntil(asked.Add(pauseTime))
	paused.Continue()
	o := <-said
	assert.Equal(t, o.ExitCode(), 0, o.Stderr())
	inForce := time.Since(asked)
	sleepUntil(asked.Add(keyDead))
	waitReads(t, c, other, 200)
	l.stop()
	entries := record(t, c)
	last := lastRead(entries, withdrawn)
	t.Logf("in force after %v, last run after %v", inForce.Round(time.Millisecond), last.Sub(asked).Round(time.Millisecond))
	assert.Assert(t, last.Before(asked.Add(keyDead)))
	assert.Equal(t, l.refused(other), int64(0), "the other team lost requests")
	assert.Assert(t, l.refused(withdrawn) > 0)
	a := callerOf(c, withdrawn.Key()).Chat(ctx, chat("may I", 5))
	assert.Equal(t, a.Refusal.Kind, "badKey")
	assert.Equal(t, a.Outcome, sqcaller.NotRun)
	noKeySeen(t, entries)
}

// TestWithdrawnKeyWithHolderCutOff withdraws a key while the holder sits on the
// far side of a silent partition, and heals it once another holder has committed
// the withdrawal. What the old holder still says must not bring the key back.
func TestWithdrawnKeyWithHolderCutOff(t *testing.T) {
	ctx := context.Background()
	c := start(t, sqcluster.Config{ProxyControls: true})
	teams := sqcluster.DefaultTeams()
	withdrawn, other := teams[0], teams[1]
	l := startReaders(c, []sqcluster.Team{withdrawn, other})
	waitReads(t, c, withdrawn, 50)
	_, holder, err := c.HolderStatus(ctx)
	assert.NilError(t, err)
	assert.NilError(t, holder.Proxy().Partition())
	said, err := c.CommandOutput(ctx, "", "key", "withdraw", "-timeout", "25s", withdrawn.KeyID())
	assert.NilError(t, err)
	confirmed := time.Now()
	assert.NilError(t, holder.Proxy().Heal())
	sleepUntil(confirmed.Add(keyDead))
	waitReads(t, c, other, 100)
	l.stop()
	last := lastRead(record(t, c), withdrawn)
	t.Logf("last run %v after the command ended, which said: %s", last.Sub(confirmed).Round(time.Millisecond), said)
	assert.Assert(t, last.Before(confirmed.Add(keyDead)))
	a := callerOf(c, withdrawn.Key()).Chat(ctx, chat("may I", 5))
	assert.Equal(t, a.Refusal.Kind, "badKey")
}

// pauseLast pauses the last control process that does not hold the lease.
func pauseLast(t *testing.T, c *sqcluster.Cluster) {
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

// TestWithdrawalAsksPausedControlFirst withdraws a key by a command whose first
// address is that of a paused control process.
func TestWithdrawalAsksPausedControlFirst(t *testing.T) {
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
	asked := time.Now()
	said, err := c.CommandOutput(context.Background(), "", "key", "withdraw", "-controls", controls, sqcluster.DefaultTeams()[0].KeyID())
	assert.NilError(t, err)
	t.Logf("the command took %v: %s", time.Since(asked).Round(time.Millisecond), said)
	assert.Assert(t, !strings.Contains(said, "not yet confirmed"), said)
}

// sleepUntil waits for a time that the proof itself names.
func sleepUntil(at time.Time) { time.Sleep(time.Until(at)) }

// readPause is the time between the reads of one connection.
const readPause = 5 * time.Millisecond

// readers read again and again for some teams at every entry.
type readers struct {
	done   chan struct{}
	wg     sync.WaitGroup
	counts map[string]*atomic.Int64
}

func readPath(team sqcluster.Team) string { return "/booking/of/" + team.Name() }

func startReaders(c *sqcluster.Cluster, teams []sqcluster.Team) *readers {
	l := &readers{done: make(chan struct{}), counts: map[string]*atomic.Int64{}}
	for _, team := range teams {
		l.counts[team.Name()] = &atomic.Int64{}
		for _, e := range c.Entries() {
			caller := callerOf(c, team.Key())
			l.wg.Go(func() { l.read(caller, team, e.CallerAddress()) })
		}
	}
	return l
}

// read sends one read after the other on one connection.
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
			l.counts[team.Name()].Add(1)
		}
		time.Sleep(readPause)
	}
}

func (l *readers) stop() {
	close(l.done)
	l.wg.Wait()
}

func (l *readers) refused(team sqcluster.Team) int64 { return l.counts[team.Name()].Load() }

func reads(entries []sqrecord.Entry, team sqcluster.Team) int {
	n := 0
	for _, e := range entries {
		if e.Kind == sqrecord.CallRead && e.Argument == http.MethodGet+" "+readPath(team) {
			n++
		}
	}
	return n
}

func lastRead(entries []sqrecord.Entry, team sqcluster.Team) time.Time {
	last := time.Time{}
	for _, e := range entries {
		if e.Kind == sqrecord.CallRead && e.Argument == http.MethodGet+" "+readPath(team) {
			last = time.Unix(0, e.AtUnixNano)
		}
	}
	return last
}

// waitReads waits until n more reads ran for a team.
func waitReads(t *testing.T, c *sqcluster.Cluster, team sqcluster.Team, n int) {
	t.Helper()
	before := reads(record(t, c), team)
	assert.NilError(t, c.Eventually(context.Background(), "reads run", func() bool {
		return reads(record(t, c), team) >= before+n
	}))
}
