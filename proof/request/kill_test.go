package request

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
	"sequoiadock/proof/sqjudge"
	"sequoiadock/standin/sqcaller"
	"sequoiadock/standin/sqfault"
	"sequoiadock/standin/sqfleet"
	"sequoiadock/standin/sqmix"
)

const (
	// streamsAtOnce is the number of streams that expectWholeWhen harms.
	streamsAtOnce = 18
	// streamTokens makes a stream of half a second.
	streamTokens = 500
	// longStreamTokens makes a stream of some seconds.
	longStreamTokens = 4000
)

// shortWait bounds a wait for something that happens at once.
const shortWait = 20 * time.Second

// TestEntryKilledMidStream kills an entry while it streams. Its callers see
// that their answers are cut, none that looks whole, and get the whole answer
// when they ask again through another entry.
func TestEntryKilledMidStream(t *testing.T) {
	c := start(t, sqcluster.Config{})
	victim := c.Entries()[0]
	caller := callerOf(c, sqcluster.DefaultTeams()[0].Key())
	const streams = 12
	var streaming sync.WaitGroup
	streaming.Add(streams)
	answers := make([]sqcaller.ChatResult, streams)
	var all sync.WaitGroup
	for i := range streams {
		all.Go(func() {
			q := chat(fmt.Sprintf("long story %d", i), 800)
			q.Address = victim.CallerAddress()
			q.OnToken = func(position int) {
				if position == 5 {
					streaming.Done()
				}
			}
			answers[i] = caller.Chat(context.Background(), q)
		})
	}
	streaming.Wait()
	victim.Kill()
	all.Wait()
	for i, a := range answers {
		assert.Equal(t, a.Outcome, sqcaller.Truncated, "%+v", a)
		again := caller.Chat(context.Background(), chat(fmt.Sprintf("long story %d", i), 60))
		assert.Equal(t, again.Outcome, sqcaller.Complete, "%s %+v", again.Detail, again.Refusal)
		assert.Assert(t, again.Address != victim.CallerAddress())
	}
}

// TestEngineDiesMidStream crashes and pauses engines while they stream. Every
// caller gets its whole answer from another engine.
func TestEngineDiesMidStream(t *testing.T) {
	c := start(t, sqcluster.Config{
		Declarations: sqcluster.Declarations{FirstToken: time.Second, BetweenTokens: 100 * time.Millisecond},
	})
	tests := []struct {
		name string
		harm func(t *testing.T, e sqfleet.Endpoint)
	}{
		{"crash", func(t *testing.T, e sqfleet.Endpoint) {
			assert.NilError(t, c.PostJSON(e.Address, "/standin/crash", map[string]int{"downMillis": 1000}, nil))
		}},
		{"pause", func(t *testing.T, e sqfleet.Endpoint) {
			assert.NilError(t, c.PostJSON(e.Address, "/standin/pause", nil, nil))
		}},
	}
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			engine := c.Endpoints("engine")[i]
			expectWholeWhen(t, c, c.Entries()[i].Zone(), streamTokens, func() { tt.harm(t, engine) })
			assert.NilError(t, c.Eventually(context.Background(), "the engine is back", func() bool {
				return c.ClearFaults(engine.Address) == nil
			}))
		})
	}
}

// expectWholeWhen streams answers through the entry of a zone, does harm in the
// middle, and wants them all whole. An entry's budget of retries is meant to
// last for one such harm, so each has an entry of its own.
func expectWholeWhen(t *testing.T, c *sqcluster.Cluster, zone string, tokens int, harm func()) {
	t.Helper()
	caller := callerNear(c, sqcluster.DefaultTeams()[1].Key(), zone)
	var streaming sync.WaitGroup
	streaming.Add(streamsAtOnce)
	answers := make([]sqcaller.ChatResult, streamsAtOnce)
	var all sync.WaitGroup
	for i := range streamsAtOnce {
		all.Go(func() {
			q := chat(fmt.Sprintf("%s %d", t.Name(), i), tokens)
			q.Deadline = 2 * shortWait
			var once sync.Once
			q.OnToken = func(position int) {
				if position == 20 {
					once.Do(streaming.Done)
				}
			}
			answers[i] = caller.Chat(context.Background(), q)
			once.Do(streaming.Done)
		})
	}
	streaming.Wait()
	harm()
	all.Wait()
	for _, a := range answers {
		assert.Equal(t, a.Outcome, sqcaller.Complete, "%s %+v", a.Detail, a.Refusal)
	}
}

// TestBookingStorm books thousands of places while entries, the holder of the
// lease and booking endpoints are killed. The ledger judges.
func TestBookingStorm(t *testing.T) {
	c := start(t, sqcluster.Config{Fleet: bookingFleet(1600)})
	l := startLoad(t, c, sqmix.Config{Seed: 21, BookingRate: 250, Deadline: 6 * time.Second})
	waitCalls(t, c, 300)
	for i, e := range c.Entries()[:2] {
		e.Kill()
		waitCalls(t, c, 300)
		assert.NilError(t, e.Start())
		crash(t, c, c.Endpoints(sqcluster.Booking)[i])
		waitCalls(t, c, 200)
	}
	_, holder, err := c.HolderStatus(context.Background())
	assert.NilError(t, err)
	holder.Kill()
	_, err = c.WaitForHolder(context.Background())
	assert.NilError(t, err)
	waitCalls(t, c, 300)
	assert.NilError(t, holder.Start())
	waitCalls(t, c, 300)
	r := l.finish()
	entries := record(t, c)
	judgeCalls(t, entries, r.Bookings)
	done := r.Count("call whole")
	assert.Assert(t, done > 1500 && done > r.Finished*8/10, "only %d of %d booked", done, r.Finished)
	noKeySeen(t, entries)
}

// bookingFleet returns stand-ins whose bookings take some milliseconds, before
// the scale.
func bookingFleet(workMillis float64) sqfleet.Settings {
	return sqfleet.Settings{Services: []sqfleet.ServiceSettings{
		{Name: sqcluster.Booking, Count: 3, WorkMillis: workMillis}, {Name: sqcluster.Meetups, Count: 1, WorkMillis: 5},
	}}
}

// TestStormJudgeSeesDoubles declares that a service recognises repeated
// identities when it does not, which makes the system ask it again: the ledger
// has to show what the declaration brought about.
func TestStormJudgeSeesDoubles(t *testing.T) {
	c := start(t, sqcluster.Config{
		Declarations: sqcluster.Declarations{RecognisesIdentity: true}, Fleet: bookingFleet(5),
	})
	for _, e := range c.Endpoints(sqcluster.Booking) {
		assert.NilError(t, c.InjectFault(e.Address, sqfault.Fault{Kind: sqfault.Reset, Phase: sqfault.BeforeFirstByte, Count: 1}))
	}
	caller := callerOf(c, sqcluster.DefaultTeams()[0].Key())
	assert.NilError(t, c.Eventually(context.Background(), "the ledger shows a doubled call", func() bool {
		caller.Call(context.Background(), sqcaller.CallRequest{
			Method: http.MethodPost, Path: "/booking/places", Identity: "twice", Body: []byte(`{}`), Deadline: time.Second,
		})
		return len(sqjudge.CallViolations(record(t, c), nil)) > 0
	}))
}

func crash(t *testing.T, c *sqcluster.Cluster, e sqfleet.Endpoint) {
	t.Helper()
	assert.NilError(t, c.PostJSON(e.Address, "/standin/crash", map[string]int{"downMillis": 300}, nil))
}

// waitCalls waits until the ledger has n more calls.
func waitCalls(t *testing.T, c *sqcluster.Cluster, n int) {
	t.Helper()
	before := len(sqjudge.RunCounts(record(t, c)))
	assert.NilError(t, c.Eventually(context.Background(), fmt.Sprintf("%d more calls ran", n), func() bool {
		return len(sqjudge.RunCounts(record(t, c))) >= before+n
	}))
}

// TestEntryPausedUnderLoad stops an entry for longer than its freshness lease.
// What it then sends has to pass its checks anew, and nobody gets a wrong
// answer.
func TestEntryPausedUnderLoad(t *testing.T) {
	c := start(t, sqcluster.Config{})
	victim := c.Entries()[1]
	l := startLoad(t, c, smallMix(31))
	waitCalls(t, c, 20)
	victim.Pause()
	assert.NilError(t, c.Eventually(context.Background(), "the holder knows that the entry is not fresh", func() bool {
		s, _, err := c.HolderStatus(context.Background())
		if err != nil {
			return false
		}
		for _, e := range s.GetEntries() {
			if e.GetEntry() == victim.Name() && e.GetFresh() {
				return false
			}
		}
		return true
	}))
	victim.Continue()
	waitCalls(t, c, 40)
	r := l.finish()
	judgeChats(t, r)
	entries := record(t, c)
	judgeCalls(t, entries, r.Bookings)
	assert.Assert(t, r.Count("chat whole")+r.Count("call whole") > r.Finished*9/10, "%+v", r.Outcomes)
}
