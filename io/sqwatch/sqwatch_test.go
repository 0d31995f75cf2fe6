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

// fakeControl is a control process that answers with the results of its functions.
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

func startServer(t *testing.T, c *fakeControl) string {
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

func notHolder(holder string) error {
	return sqerror.New(sqerror.Config{Kind: sqerror.NotHolder, RedirectAddress: holder})
}

// TestLeaseStartsAtSend delays the response: the lease must not count from its
// arrival, because the state that the holder read may be as old as the request.
func TestLeaseStartsAtSend(t *testing.T) {
	c := &fakeControl{watch: func(*sqrpc.WatchRequest) (*sqrpc.WatchResponse, error) {
		time.Sleep(100 * time.Millisecond)
		return &sqrpc.WatchResponse{FreshMillis: 500}, nil
	}}
	client := newClient(startServer(t, c))
	assert.Assert(t, !client.Fresh(sqclock.Now()), "a new client must not hold the freshness lease")
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

// TestViewAppliedBeforeLeaseStarts checks that the first view is applied before the
// lease starts: a request in between would find no route.
func TestViewAppliedBeforeLeaseStarts(t *testing.T) {
	c := &fakeControl{watch: func(*sqrpc.WatchRequest) (*sqrpc.WatchResponse, error) {
		return &sqrpc.WatchResponse{FreshMillis: 200}, nil
	}}
	client := newClient(startServer(t, c))
	var leaseHeld []bool
	client.cfg.OnChange = func(*View) { leaseHeld = append(leaseHeld, client.Fresh(sqclock.Now())) }
	assert.NilError(t, client.renew(context.Background()))
	assert.NilError(t, client.renew(context.Background()))
	assert.DeepEqual(t, leaseHeld, []bool{false, true})
	time.Sleep(250 * time.Millisecond)
	assert.NilError(t, client.renew(context.Background()))
	assert.DeepEqual(t, leaseHeld, []bool{false, true, false})
}

// TestRejectsOlderVersions answers with older versions of the configuration and of
// the keys: the client must reject them and must not renew the lease.
func TestRejectsOlderVersions(t *testing.T) {
	response := &sqrpc.WatchResponse{FreshMillis: 60}
	c := &fakeControl{watch: func(*sqrpc.WatchRequest) (*sqrpc.WatchResponse, error) { return response, nil }}
	client := newClient(startServer(t, c))
	key := sqkey.Sum("some-key-0123456789")
	renewWith := func(version, keys uint64, kind sqerror.Kind) {
		t.Helper()
		response.Version, response.KeyRevision = version, keys
		response.Configuration = &sqcommand.Configuration{Deployment: strconv.FormatUint(version, 10)}
		response.Keys = []*sqcommand.Key{{Id: strconv.FormatUint(keys, 10), Team: "t", Sha256: key[:]}}
		before := client.View().FreshUntil()
		assert.Equal(t, sqerror.KindOf(client.renew(context.Background())), kind)
		assert.Equal(t, client.View().FreshUntil().After(before), kind == sqerror.None)
	}
	renewWith(5, 7, sqerror.None)
	renewWith(4, 7, sqerror.Unreachable)
	renewWith(5, 6, sqerror.Unreachable)
	renewWith(5, 7, sqerror.None)
	renewWith(6, 8, sqerror.None)
	v := client.View()
	g, ok := v.Keys().Find(key)
	assert.Assert(t, ok)
	assert.Equal(t, g.ID, "8")
	assert.Equal(t, v.Configuration().GetDeployment(), "6")
}

// TestFollowsHolder checks that the client follows redirects to the holder and takes
// over its endpoints, whose revisions differ from those of every other holder. It
// must keep the known endpoints while a new holder has no list yet and therefore
// answers with the known revision.
func TestFollowsHolder(t *testing.T) {
	firstControl := &fakeControl{}
	secondControl := &fakeControl{}
	firstAddress, secondAddress := startServer(t, firstControl), startServer(t, secondControl)
	withoutList := func(r *sqrpc.WatchRequest) (*sqrpc.WatchResponse, error) {
		return &sqrpc.WatchResponse{FreshMillis: 100, FleetRevision: r.GetKnownFleetRevision()}, nil
	}
	term := uint64(0)
	answerWith := func(id string) func(*sqrpc.WatchRequest) (*sqrpc.WatchResponse, error) {
		term++
		revision := term << 32
		return func(r *sqrpc.WatchRequest) (*sqrpc.WatchResponse, error) {
			resp := &sqrpc.WatchResponse{FreshMillis: 100, FleetRevision: revision}
			if r.GetKnownFleetRevision() < revision {
				resp.Endpoints = []*sqrpc.EndpointView{{Id: id}}
			}
			return resp, nil
		}
	}
	redirectTo := func(holder string) func(*sqrpc.WatchRequest) (*sqrpc.WatchResponse, error) {
		return func(*sqrpc.WatchRequest) (*sqrpc.WatchResponse, error) { return nil, notHolder(holder) }
	}
	client := newClient(firstAddress, "127.0.0.1:1", secondAddress)
	assertRenewed := func(holder, endpoint string) {
		t.Helper()
		assert.NilError(t, client.renew(context.Background()))
		assert.Equal(t, client.View().Holder(), holder)
		assert.Equal(t, client.View().Endpoints()[0].GetId(), endpoint)
	}
	firstControl.set(answerWith("a"))
	secondControl.set(redirectTo(firstAddress))
	assertRenewed(firstAddress, "a")
	assertRenewed(firstAddress, "a")
	firstControl.set(redirectTo(secondAddress))
	secondControl.set(withoutList)
	assertRenewed(secondAddress, "a")
	secondControl.set(answerWith("b"))
	assertRenewed(secondAddress, "b")
	secondControl.set(redirectTo(""))
	firstControl.set(answerWith("c"))
	assertRenewed(firstAddress, "c")
}

// TestSubmitResends loses responses: the client must resend the command with the
// same operation ID until it is answered.
func TestSubmitResends(t *testing.T) {
	var operationIDs []string
	c := &fakeControl{submit: func(cmd *sqcommand.Command) (*sqcommand.Result, error) {
		operationIDs = append(operationIDs, cmd.GetOperationId())
		if len(operationIDs) < 3 {
			return nil, sqerror.New(sqerror.Config{Kind: sqerror.OutcomeUnknown})
		}
		return &sqcommand.Result{Error: uint32(sqerror.Conflict)}, nil
	}}
	client := newClient(startServer(t, c))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := client.Submit(ctx, &sqcommand.Command{OperationId: "op"})
	assert.Equal(t, sqerror.KindOf(err), sqerror.Conflict)
	assert.DeepEqual(t, operationIDs, []string{"op", "op", "op"})
}

// TestCallsBatched checks that many calls that arrive during slow commits are
// recorded in few commits.
func TestCallsBatched(t *testing.T) {
	var mu sync.Mutex
	commits, recorded := 0, 0
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
		recorded += len(r.GetCalls())
		return r, nil
	}}
	recorder := NewCallRecorder(CallRecorderConfig{Context: context.Background(), Submitter: newClient(startServer(t, c))})
	var wg sync.WaitGroup
	for i := range 500 {
		wg.Go(func() {
			identity := strconv.Itoa(i)
			got, err := recorder.Begin(context.Background(), &sqcommand.Call{Identity: identity})
			assert.Check(t, err)
			assert.Check(t, string(got.GetOutcome().GetBody()) == identity)
		})
	}
	wg.Wait()
	assert.Equal(t, recorded, 500)
	assert.Assert(t, commits <= 40, "%d commits", commits)
	assert.Equal(t, recorder.Pending(), 0)
}

// TestRefresh checks that Refresh waits for a renewal only if none has failed since
// the lease expired: a client that cannot reach the holder must return at once.
func TestRefresh(t *testing.T) {
	c := &fakeControl{watch: func(*sqrpc.WatchRequest) (*sqrpc.WatchResponse, error) {
		time.Sleep(20 * time.Millisecond)
		return &sqrpc.WatchResponse{FreshMillis: 500}, nil
	}}
	client := newClient(startServer(t, c))
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

// TestPausedHolder lets the other control processes redirect to a holder that does
// not answer: the client must keep asking them and find the next holder within one
// lease.
func TestPausedHolder(t *testing.T) {
	release := make(chan struct{})
	paused := &fakeControl{watch: func(*sqrpc.WatchRequest) (*sqrpc.WatchResponse, error) {
		<-release
		return nil, notHolder("")
	}}
	pausedAddress := startServer(t, paused)
	t.Cleanup(func() { close(release) })
	otherControl := &fakeControl{}
	nextAddress := startServer(t, otherControl)
	electionEnd := time.Now().Add(300 * time.Millisecond)
	otherControl.set(func(*sqrpc.WatchRequest) (*sqrpc.WatchResponse, error) {
		if time.Now().Before(electionEnd) {
			return nil, notHolder(pausedAddress)
		}
		return &sqrpc.WatchResponse{FreshMillis: 1000}, nil
	})
	client := newClient(pausedAddress, nextAddress)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go client.Run(ctx)
	for !client.Fresh(sqclock.Now()) {
		assert.Assert(t, time.Since(electionEnd) < 700*time.Millisecond)
		time.Sleep(5 * time.Millisecond)
	}
}
