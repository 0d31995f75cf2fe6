package sqwatch

import (
	"context"
	"io"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqkey"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqlog"
	"sequoiadock/io/sqrpc"
)

// fakeControl answers as its functions say.
type fakeControl struct {
	sqrpc.Control
	mu     sync.Mutex
	watch  func(*sqrpc.WatchRequest) (*sqrpc.WatchResponse, error)
	submit func(*sqcommand.Command) (*sqcommand.Result, error)
}

func (c *fakeControl) Watch(_ context.Context, r *sqrpc.WatchRequest) (*sqrpc.WatchResponse, error) {
	c.mu.Lock()
	f := c.watch
	c.mu.Unlock()
	resp, err := f(r)
	return resp, sqrpc.ToTwirp(err)
}

func (c *fakeControl) Submit(_ context.Context, r *sqrpc.SubmitRequest) (*sqrpc.SubmitResponse, error) {
	result, err := c.submit(r.GetCommand())
	return &sqrpc.SubmitResponse{Result: result}, sqrpc.ToTwirp(err)
}

func (c *fakeControl) set(f func(*sqrpc.WatchRequest) (*sqrpc.WatchResponse, error)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watch = f
}

func serve(t *testing.T, c *fakeControl) string {
	s := httptest.NewServer(sqrpc.NewControlServer(c))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func newClient(controls ...string) *Client {
	return New(Config{
		Entry: "e", RunID: "1", Controls: controls, RenewInterval: 10 * time.Millisecond, MaxLease: time.Second, CommandTimeout: 300 * time.Millisecond,
		Report:   func(time.Time) *sqrpc.WatchRequest { return &sqrpc.WatchRequest{} },
		OnChange: func(*View) {}, Log: sqlog.New(sqlog.Config{Output: io.Discard}),
	})
}

func notHolder(named string) error {
	return sqerror.New(sqerror.Config{Kind: sqerror.NotHolder, RedirectAddress: named})
}

// TestLeaseCountsFromSend delays the answer: the lease must not count from its
// arrival, since the holder's knowledge may be as old as the request.
func TestLeaseCountsFromSend(t *testing.T) {
	c := &fakeControl{watch: func(*sqrpc.WatchRequest) (*sqrpc.WatchResponse, error) {
		time.Sleep(100 * time.Millisecond)
		return &sqrpc.WatchResponse{FreshMillis: 500}, nil
	}}
	client := newClient(serve(t, c))
	assert.Assert(t, !client.Fresh(sqclock.Now()), "a client that knows nothing must not be fresh")
	sent := sqclock.Now()
	assert.NilError(t, client.renew(context.Background()))
	until := client.View().FreshUntil()
	assert.Assert(t, !until.Before(sent.Add(500*time.Millisecond)))
	assert.Assert(t, until.Before(sent.Add(590*time.Millisecond)), until.Sub(sent))
	assert.Equal(t, client.View().Epoch(), uint64(1))
	assert.NilError(t, client.renew(context.Background()))
	assert.Equal(t, client.View().Epoch(), uint64(1))
	time.Sleep(600 * time.Millisecond)
	assert.NilError(t, client.renew(context.Background()))
	assert.Equal(t, client.View().Epoch(), uint64(2))
}

// TestAppliedBeforeFresh wants what the first answer brings applied before anybody
// may act on it: a request in between would find no route.
func TestAppliedBeforeFresh(t *testing.T) {
	c := &fakeControl{watch: func(*sqrpc.WatchRequest) (*sqrpc.WatchResponse, error) {
		return &sqrpc.WatchResponse{FreshMillis: 200}, nil
	}}
	client := newClient(serve(t, c))
	var fresh []bool
	client.cfg.OnChange = func(*View) { fresh = append(fresh, client.Fresh(sqclock.Now())) }
	assert.NilError(t, client.renew(context.Background()))
	assert.NilError(t, client.renew(context.Background()))
	assert.DeepEqual(t, fresh, []bool{false, true})
	time.Sleep(250 * time.Millisecond)
	assert.NilError(t, client.renew(context.Background()))
	assert.DeepEqual(t, fresh, []bool{false, true, false})
}

// TestNeverGoesBack offers older versions, of configuration and of keys: neither
// is taken, and the lease is not renewed by them.
func TestNeverGoesBack(t *testing.T) {
	answer := &sqrpc.WatchResponse{FreshMillis: 60}
	c := &fakeControl{watch: func(*sqrpc.WatchRequest) (*sqrpc.WatchResponse, error) { return answer, nil }}
	client := newClient(serve(t, c))
	key := sqkey.Sum("some-key-0123456789")
	offer := func(version, keys uint64, kind sqerror.Kind) {
		t.Helper()
		answer.Version, answer.KeyRevision = version, keys
		answer.Configuration = &sqcommand.Configuration{Deployment: strconv.FormatUint(version, 10)}
		answer.Keys = []*sqcommand.Key{{Id: strconv.FormatUint(keys, 10), Team: "t", Sha256: key[:]}}
		before := client.View().FreshUntil()
		assert.Equal(t, sqerror.KindOf(client.renew(context.Background())), kind)
		assert.Equal(t, client.View().FreshUntil().After(before), kind == sqerror.None)
	}
	offer(5, 7, sqerror.None)
	offer(4, 7, sqerror.Unreachable)
	offer(5, 6, sqerror.Unreachable)
	offer(5, 7, sqerror.None)
	offer(6, 8, sqerror.None)
	v := client.View()
	g, ok := v.Keys().Find(key)
	assert.Assert(t, ok)
	assert.Equal(t, g.ID, "8")
	assert.Equal(t, v.Configuration().GetDeployment(), "6")
}

// TestFollowsHolder finds the holder that others name and takes its endpoints,
// whose revisions differ from those of every other holder. From a new holder
// that has no list yet, and so names the known revision, it keeps them.
func TestFollowsHolder(t *testing.T) {
	first := &fakeControl{}
	second := &fakeControl{}
	one, two := serve(t, first), serve(t, second)
	unlisted := func(r *sqrpc.WatchRequest) (*sqrpc.WatchResponse, error) {
		return &sqrpc.WatchResponse{FreshMillis: 100, FleetRevision: r.GetKnownFleetRevision()}, nil
	}
	terms := uint64(0)
	answer := func(id string) func(*sqrpc.WatchRequest) (*sqrpc.WatchResponse, error) {
		terms++
		revision := terms << 32
		return func(r *sqrpc.WatchRequest) (*sqrpc.WatchResponse, error) {
			resp := &sqrpc.WatchResponse{FreshMillis: 100, FleetRevision: revision}
			if r.GetKnownFleetRevision() < revision {
				resp.Endpoints = []*sqrpc.EndpointView{{Id: id}}
			}
			return resp, nil
		}
	}
	refuse := func(named string) func(*sqrpc.WatchRequest) (*sqrpc.WatchResponse, error) {
		return func(*sqrpc.WatchRequest) (*sqrpc.WatchResponse, error) { return nil, notHolder(named) }
	}
	client := newClient(one, "127.0.0.1:1", two)
	expect := func(holder, endpoint string) {
		t.Helper()
		assert.NilError(t, client.renew(context.Background()))
		assert.Equal(t, client.View().Holder(), holder)
		assert.Equal(t, client.View().Endpoints()[0].GetId(), endpoint)
	}
	first.set(answer("a"))
	second.set(refuse(one))
	expect(one, "a")
	expect(one, "a")
	first.set(refuse(two))
	second.set(unlisted)
	expect(two, "a")
	second.set(answer("b"))
	expect(two, "b")
	second.set(refuse(""))
	first.set(answer("c"))
	expect(one, "c")
}

// TestSubmitResends loses answers: the command comes again under the same
// operation identity until it is answered.
func TestSubmitResends(t *testing.T) {
	var seen []string
	c := &fakeControl{submit: func(cmd *sqcommand.Command) (*sqcommand.Result, error) {
		seen = append(seen, cmd.GetOperationId())
		if len(seen) < 3 {
			return nil, sqerror.New(sqerror.Config{Kind: sqerror.OutcomeUnknown})
		}
		return &sqcommand.Result{Error: uint32(sqerror.Conflict)}, nil
	}}
	client := newClient(serve(t, c))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := client.Submit(ctx, &sqcommand.Command{OperationId: "op"})
	assert.Equal(t, sqerror.KindOf(err), sqerror.Conflict)
	assert.DeepEqual(t, seen, []string{"op", "op", "op"})
}

// TestCallsBatched commits many calls that come during slow commits in few ones.
func TestCallsBatched(t *testing.T) {
	var mu sync.Mutex
	commits, calls := 0, 0
	c := &fakeControl{submit: func(cmd *sqcommand.Command) (*sqcommand.Result, error) {
		time.Sleep(20 * time.Millisecond)
		r := &sqcommand.Result{}
		for _, call := range cmd.GetBeginCalls().GetCalls() {
			r.Calls = append(r.Calls, &sqcommand.CallResult{
				State: sqcommand.CallState_CALL_STATE_STARTED, Outcome: &sqcommand.Outcome{Body: []byte(call.GetIdentity())},
			})
		}
		mu.Lock()
		defer mu.Unlock()
		commits++
		calls += len(r.GetCalls())
		return r, nil
	}}
	recorder := NewCallRecorder(CallRecorderConfig{Context: context.Background(), Submit: newClient(serve(t, c))})
	var all sync.WaitGroup
	for i := range 500 {
		all.Go(func() {
			identity := strconv.Itoa(i)
			got, err := recorder.Begin(context.Background(), &sqcommand.Call{Identity: identity})
			assert.Check(t, err)
			assert.Check(t, string(got.GetOutcome().GetBody()) == identity)
		})
	}
	all.Wait()
	assert.Equal(t, calls, 500)
	assert.Assert(t, commits <= 40, "%d commits", commits)
	assert.Equal(t, recorder.Pending(), 0)
}

// TestRefresh waits for a renewal only when none has failed since the lease ran
// out: a client that is cut off answers at once.
func TestRefresh(t *testing.T) {
	c := &fakeControl{watch: func(*sqrpc.WatchRequest) (*sqrpc.WatchResponse, error) {
		time.Sleep(20 * time.Millisecond)
		return &sqrpc.WatchResponse{FreshMillis: 500}, nil
	}}
	client := newClient(serve(t, c))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go client.Run(ctx)
	assert.Assert(t, client.Refresh(ctx))
	c.set(func(*sqrpc.WatchRequest) (*sqrpc.WatchResponse, error) { return nil, notHolder("") })
	for client.Fresh(sqclock.Now()) {
		time.Sleep(10 * time.Millisecond)
	}
	assert.Assert(t, !client.Refresh(ctx))
}

// TestPausedHolder has the others name a holder that is silent: the client goes
// on asking them, and finds the next holder within one lease.
func TestPausedHolder(t *testing.T) {
	block := make(chan struct{})
	paused := &fakeControl{watch: func(*sqrpc.WatchRequest) (*sqrpc.WatchResponse, error) {
		<-block
		return nil, notHolder("")
	}}
	old := serve(t, paused)
	t.Cleanup(func() { close(block) })
	other := &fakeControl{}
	next := serve(t, other)
	elected := time.Now().Add(300 * time.Millisecond)
	other.set(func(*sqrpc.WatchRequest) (*sqrpc.WatchResponse, error) {
		if time.Now().Before(elected) {
			return nil, notHolder(old)
		}
		return &sqrpc.WatchResponse{FreshMillis: 1000}, nil
	})
	client := newClient(old, next)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go client.Run(ctx)
	for !client.Fresh(sqclock.Now()) {
		assert.Assert(t, time.Since(elected) < 700*time.Millisecond)
		time.Sleep(5 * time.Millisecond)
	}
}
