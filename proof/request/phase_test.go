package request

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
	"sequoiadock/proof/sqjudge"
	"sequoiadock/standin/sqanswer"
	"sequoiadock/standin/sqcaller"
	"sequoiadock/standin/sqfault"
	"sequoiadock/standin/sqfleet"
	"sequoiadock/standin/sqmix"
)

const (
	// faultTries bounds the rounds of requests until one meets a fault.
	faultTries = 20
	// faultBatch is the number of requests at a time, so that every engine gets
	// some.
	faultBatch = 9
	// answerTokens is the length of each answer.
	answerTokens = 16
)

// engineFaults are the ways in which an engine fails during one answer.
func engineFaults() []sqfault.Fault {
	var all []sqfault.Fault
	for _, kind := range []sqfault.Kind{sqfault.Reset, sqfault.Hang, sqfault.Delay, sqfault.Truncated} {
		for _, phase := range []sqfault.Phase{
			sqfault.BeforeFirstByte, sqfault.InHeaders, sqfault.MidStream, sqfault.BeforeLastEvent,
		} {
			if phase == sqfault.InHeaders && kind != sqfault.Reset || phase == sqfault.BeforeFirstByte && kind == sqfault.Truncated {
				continue
			}
			all = append(all, sqfault.Fault{Kind: kind, Phase: phase, Count: 1, DelayMillis: delayFor(phase)})
		}
	}
	for _, kind := range []sqfault.Kind{
		sqfault.Malformed, sqfault.Oversized, sqfault.WrongStream, sqfault.DuplicatedEvents, sqfault.SkippedToken,
	} {
		all = append(all, sqfault.Fault{Kind: kind, Count: 1})
	}
	return all
}

// delayFor returns a delay in milliseconds; within a stream it is longer than
// the entry waits, so that the answer goes on late, past the retry.
func delayFor(phase sqfault.Phase) int {
	if phase == sqfault.BeforeFirstByte {
		return 300
	}
	return 2500
}

// TestEngineFailsInEachPhase lets engines fail in one answer at a time, in each
// phase and each way. Every caller has to get its whole right answer.
func TestEngineFailsInEachPhase(t *testing.T) {
	c := start(t, sqcluster.Config{
		Declarations: sqcluster.Declarations{FirstToken: time.Second, BetweenTokens: 100 * time.Millisecond},
	})
	for _, f := range engineFaults() {
		for _, stream := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/%s/stream=%t", f.Kind, f.Phase, stream), func(t *testing.T) {
				expectDespite(t, c, f, stream, wantWhole)
			})
		}
	}
	noKeySeen(t, record(t, c))
}

// expectDespite sends requests until one of them met the fault. All
// engines but one have it, so that no request can meet it at every engine; the
// one is another in each round, since the router may prefer it.
func expectDespite(t *testing.T, c *sqcluster.Cluster, f sqfault.Fault, stream bool, want func(*testing.T, sqcaller.ChatResult)) {
	t.Helper()
	caller := callerOf(c, sqcluster.DefaultTeams()[1].Key())
	engines := c.Endpoints("engine")
	for round := range faultTries {
		for i, e := range engines {
			assert.NilError(t, c.ClearFaults(e.Address))
			if i != round%len(engines) {
				assert.NilError(t, c.InjectFault(e.Address, f))
			}
		}
		for _, a := range batch(caller, fmt.Sprintf("%s in round %d", t.Name(), round), stream) {
			want(t, a)
		}
		for i, e := range engines {
			if i != round%len(engines) && faultTaken(t, c, e) {
				return
			}
		}
	}
	t.Fatalf("no request in %d met the fault", faultTries*faultBatch)
}

func wantWhole(t *testing.T, a sqcaller.ChatResult) {
	t.Helper()
	assert.Equal(t, a.Outcome, sqcaller.Complete, "%s %+v", a.Detail, a.Refusal)
}

// TestEngineNeverEnds lets engines send tokens beyond the number that was asked
// for. The caller gets the whole answer, or a clear error: nobody can tell
// where the right answer ended.
func TestEngineNeverEnds(t *testing.T) {
	c := start(t, sqcluster.Config{})
	for _, stream := range []bool{true, false} {
		expectDespite(t, c, sqfault.Fault{Kind: sqfault.Endless, Count: 1}, stream, func(t *testing.T, a sqcaller.ChatResult) {
			t.Helper()
			if a.Refusal == nil {
				wantWhole(t, a)
				return
			}
			assert.Equal(t, a.Refusal.Kind, "badAnswer", "%+v", a.Refusal)
			assert.Assert(t, a.Tokens <= answerTokens)
		})
	}
}

// fullLength changes a question until its answer has all its tokens.
func fullLength(question string) string {
	for {
		text := sqanswer.PromptText([]sqanswer.Message{{Role: "user", Content: question}})
		if sqanswer.New(sqcluster.ModelName, text, answerTokens).Len() == answerTokens {
			return question
		}
		question += " please"
	}
}

// batch sends requests with different prompts at the same time.
func batch(caller *sqcaller.Caller, question string, stream bool) []sqcaller.ChatResult {
	answers := make([]sqcaller.ChatResult, faultBatch)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() {
			q := chat(fullLength(fmt.Sprintf("%s number %d", question, i)), answerTokens)
			q.Stream = stream
			answers[i] = caller.Chat(context.Background(), q)
		})
	}
	wg.Wait()
	return answers
}

type faultStatus struct {
	Taken   int             `json:"taken"`
	Waiting []sqfault.Fault `json:"waiting"`
}

// faultTaken reports whether the fault met a request.
func faultTaken(t *testing.T, c *sqcluster.Cluster, e sqfleet.Endpoint) bool {
	t.Helper()
	var s faultStatus
	assert.NilError(t, c.GetJSON(e.Address, "/standin/faults", &s))
	return len(s.Waiting) == 0
}

// TestServiceFailsInEachPhase lets the booking service fail in each phase of a
// call that must not be repeated. The caller resends until it knows the
// outcome, and the ledger judges what it was told.
func TestServiceFailsInEachPhase(t *testing.T) {
	c := start(t, sqcluster.Config{})
	service := c.Endpoints(sqcluster.Booking)
	caller := callerOf(c, sqcluster.DefaultTeams()[0].Key())
	var calls []sqmix.BookingResult
	for _, f := range []sqfault.Fault{
		{Kind: sqfault.Reset, Phase: sqfault.BeforeRun},
		{Kind: sqfault.Hang, Phase: sqfault.BeforeRun},
		{Kind: sqfault.Reset, Phase: sqfault.BeforeFirstByte},
		{Kind: sqfault.Hang, Phase: sqfault.BeforeFirstByte},
		{Kind: sqfault.Reset, Phase: sqfault.InHeaders},
		{Kind: sqfault.Reset, Phase: sqfault.MidStream},
		{Kind: sqfault.Delay, Phase: sqfault.BeforeFirstByte, DelayMillis: 2500},
		{Kind: sqfault.Malformed},
		{Kind: sqfault.Oversized},
	} {
		for _, s := range service {
			f.Count = 1
			assert.NilError(t, c.InjectFault(s.Address, f))
		}
		id := strings.ReplaceAll(fmt.Sprintf("%s-%s", f.Kind, f.Phase), "/", "-")
		a := caller.Call(context.Background(), sqcaller.CallRequest{
			Method: http.MethodPost, Path: "/booking/places", Identity: id, Body: []byte(`{"place":1}`), Deadline: 2 * time.Second,
		})
		t.Logf("%s: %s after %d attempts, %v", id, a.Outcome, a.Attempts, a.Refusal)
		assert.Assert(t, a.Outcome == sqcaller.Complete || a.Outcome == sqcaller.MayHaveRun, "%s %+v", a.Outcome, a.Refusal)
		calls = append(calls, sqmix.BookingResult{Identity: id, Outcome: a.Outcome, Refusal: a.Refusal, Body: a.Body})
		for _, s := range service {
			assert.NilError(t, c.ClearFaults(s.Address))
		}
	}
	judgeCalls(t, record(t, c), calls)
	// What was lost stays lost: a later resend hears so and runs nothing.
	for _, b := range calls {
		a := caller.Call(context.Background(), sqcaller.CallRequest{
			Method: http.MethodPost, Path: "/booking/places", Identity: b.Identity, Body: []byte(`{"place":1}`), Deadline: time.Second,
		})
		assert.Assert(t, a.Outcome != sqcaller.NotRun || sqjudge.RunCounts(record(t, c))[b.Identity] == 0, "%s %+v", b.Identity, a.Refusal)
	}
	judgeCalls(t, record(t, c), calls)
}
