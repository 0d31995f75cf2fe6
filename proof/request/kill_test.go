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
	// concurrentStreams is the number of streams that assertWholeStreams starts.
	concurrentStreams = 18
	// streamTokens is the length of a stream that takes half a second.
	streamTokens = 500
	// longStreamTokens is the length of a stream that takes several seconds.
	longStreamTokens = 4000
)

// waitTimeout limits waits for events that normally follow immediately.
const waitTimeout = 20 * time.Second

// TestEntryKilledMidStream kills an entry while it streams. Its callers must
// recognise their answers as incomplete, and get the complete answer when they ask
// again through another entry.
func TestEntryKilledMidStream(t *testing.T) {
	c := start(t, sqcluster.Config{})
	victim := c.Entries()[0]
	caller := newCaller(c, sqcluster.DefaultTeams()[0].Key())
	const streams = 12
	var streaming sync.WaitGroup
	streaming.Add(streams)
	answers := make([]sqcaller.ChatResult, streams)
	var all sync.WaitGroup
	for i := range streams {
		all.Go(func() {
			q := newChat(fmt.Sprintf("long story %d", i), 800)
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
		resent := caller.Chat(context.Background(), newChat(fmt.Sprintf("long story %d", i), 60))
		assert.Equal(t, resent.Outcome, sqcaller.Complete, "%s %+v", resent.Detail, resent.Refusal)
		assert.Assert(t, resent.Address != victim.CallerAddress())
	}
}

// TestEngineDiesMidStream crashes and pauses engines while they stream. Every
// caller gets its complete answer with the help of another engine.
func TestEngineDiesMidStream(t *testing.T) {
	c := start(t, sqcluster.Config{
		Declarations: sqcluster.Declarations{FirstToken: time.Second, BetweenTokens: 100 * time.Millisecond},
	})
	tests := []struct {
		name    string
		disturb func(t *testing.T, e sqfleet.Endpoint)
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
			assertWholeStreams(t, c, c.Entries()[i].Zone(), streamTokens, func() { tt.disturb(t, engine) })
			assert.NilError(t, c.Eventually(context.Background(), "the engine answers again", func() bool {
				return c.ClearFaults(engine.Address) == nil
			}))
		})
	}
}

// assertWholeStreams streams answers through the entry of a zone, calls disturb
// while they run, and checks that all answers are complete. An entry's retry budget
// is meant to cover one such disturbance, so each disturbance needs an entry of its
// own.
func assertWholeStreams(t *testing.T, c *sqcluster.Cluster, zone string, tokens int, disturb func()) {
	t.Helper()
	caller := newCallerInZone(c, sqcluster.DefaultTeams()[1].Key(), zone)
	var streaming sync.WaitGroup
	streaming.Add(concurrentStreams)
	answers := make([]sqcaller.ChatResult, concurrentStreams)
	var all sync.WaitGroup
	for i := range concurrentStreams {
		all.Go(func() {
			q := newChat(fmt.Sprintf("%s %d", t.Name(), i), tokens)
			q.Deadline = 2 * waitTimeout
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
	disturb()
	all.Wait()
	for _, a := range answers {
		assert.Equal(t, a.Outcome, sqcaller.Complete, "%s %+v", a.Detail, a.Refusal)
	}
}

// TestBookingsDuringCrashes books thousands of places while entries, the lease
// holder and booking endpoints are killed. The outcomes that callers were told must
// agree with the endpoints' records.
func TestBookingsDuringCrashes(t *testing.T) {
	c := start(t, sqcluster.Config{Fleet: bookingFleet(1600)})
	l := startLoad(t, c, sqmix.Config{Seed: 21, BookingRate: 250, Deadline: 6 * time.Second})
	waitForCalls(t, c, 300)
	for i, e := range c.Entries()[:2] {
		e.Kill()
		waitForCalls(t, c, 300)
		assert.NilError(t, e.Start())
		crashEndpoint(t, c, c.Endpoints(sqcluster.Booking)[i])
		waitForCalls(t, c, 200)
	}
	_, holder, err := c.HolderStatus(context.Background())
	assert.NilError(t, err)
	holder.Kill()
	_, err = c.WaitForHolder(context.Background())
	assert.NilError(t, err)
	waitForCalls(t, c, 300)
	assert.NilError(t, holder.Start())
	waitForCalls(t, c, 300)
	r := l.finish()
	entries := records(t, c)
	assertCallsConsistent(t, entries, r.Bookings)
	done := r.Count("call whole")
	assert.Assert(t, done > 1500 && done > r.Finished*8/10, "only %d of %d booked", done, r.Finished)
	assertNoKeyLeaked(t, entries)
}

// bookingFleet returns stand-ins whose bookings take workMillis milliseconds, before
// the fleet's time scale is applied.
func bookingFleet(workMillis float64) sqfleet.Settings {
	return sqfleet.Settings{Services: []sqfleet.ServiceSettings{
		{Name: sqcluster.Booking, Count: 3, WorkMillis: workMillis}, {Name: sqcluster.Meetups, Count: 1, WorkMillis: 5},
	}}
}

// TestJudgeDetectsDuplicateCalls declares that a service recognises repeated
// identities when it does not, so that entries send a call again. sqjudge must find
// the duplicate call in the records.
func TestJudgeDetectsDuplicateCalls(t *testing.T) {
	c := start(t, sqcluster.Config{
		Declarations: sqcluster.Declarations{RecognisesIdentity: true}, Fleet: bookingFleet(5),
	})
	for _, e := range c.Endpoints(sqcluster.Booking) {
		assert.NilError(t, c.InjectFault(e.Address, sqfault.Fault{Kind: sqfault.Reset, Phase: sqfault.BeforeFirstByte, Count: 1}))
	}
	caller := newCaller(c, sqcluster.DefaultTeams()[0].Key())
	assert.NilError(t, c.Eventually(context.Background(), "the records show a duplicate call", func() bool {
		caller.Call(context.Background(), sqcaller.CallRequest{
			Method: http.MethodPost, Path: "/booking/places", Identity: "twice", Body: []byte(`{}`), Deadline: time.Second,
		})
		return len(sqjudge.CallViolations(records(t, c), nil)) > 0
	}))
}

func crashEndpoint(t *testing.T, c *sqcluster.Cluster, e sqfleet.Endpoint) {
	t.Helper()
	assert.NilError(t, c.PostJSON(e.Address, "/standin/crash", map[string]int{"downMillis": 300}, nil))
}

// waitForCalls waits until the stand-ins have recorded n more calls.
func waitForCalls(t *testing.T, c *sqcluster.Cluster, n int) {
	t.Helper()
	before := len(sqjudge.RunCounts(records(t, c)))
	assert.NilError(t, c.Eventually(context.Background(), fmt.Sprintf("%d more calls ran", n), func() bool {
		return len(sqjudge.RunCounts(records(t, c))) >= before+n
	}))
}

// TestEntryPausedUnderLoad pauses an entry for longer than its freshness lease.
// Everything that the entry sends after it resumes has to pass its checks again, and
// no caller gets a wrong answer.
func TestEntryPausedUnderLoad(t *testing.T) {
	c := start(t, sqcluster.Config{})
	victim := c.Entries()[1]
	l := startLoad(t, c, lightLoad(31))
	waitForCalls(t, c, 20)
	victim.Pause()
	assert.NilError(t, c.Eventually(context.Background(), "the lease holder reports the entry as not fresh", func() bool {
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
	waitForCalls(t, c, 40)
	r := l.finish()
	assertNoWrongOrCutChats(t, r)
	entries := records(t, c)
	assertCallsConsistent(t, entries, r.Bookings)
	assert.Assert(t, r.Count("chat whole")+r.Count("call whole") > r.Finished*9/10, "%+v", r.Outcomes)
}
