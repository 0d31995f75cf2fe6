package sqentry

import (
	"context"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqkey"
	"sequoiadock/core/sqstate"
	"sequoiadock/io/sqrpc"
)

// fakeControl is a holder without replicas that applies commands to the real
// state machine.
type fakeControl struct {
	sqrpc.Control
	server *httptest.Server

	mu            sync.Mutex
	state         *sqstate.State
	configuration *sqcommand.Configuration
	version       uint64
	keys          []*sqcommand.Key
	keyRevision   uint64
	fleetRevision uint64
	endpoints     []*sqrpc.EndpointView
	lastWatch     *sqrpc.WatchRequest
	unreachable   bool
	submitted     []*sqcommand.Command
	// holdCommits, if set, blocks all commits until it is closed; holdOutcomes
	// blocks only commits of outcomes.
	holdCommits, holdOutcomes chan struct{}
}

func newFakeControl(t *testing.T) *fakeControl {
	c := &fakeControl{state: sqstate.New(sqstate.Config{}), version: 1, keyRevision: 1, fleetRevision: 1}
	c.server = httptest.NewServer(sqrpc.NewControlServer(c))
	t.Cleanup(c.server.Close)
	return c
}

func (c *fakeControl) address() string { return c.server.Listener.Addr().String() }

func (c *fakeControl) Watch(_ context.Context, req *sqrpc.WatchRequest) (*sqrpc.WatchResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unreachable {
		return nil, sqrpc.ToTwirp(sqerror.New(sqerror.Config{Kind: sqerror.NotHolder}))
	}
	c.lastWatch = req
	resp := &sqrpc.WatchResponse{
		FreshMillis: 3000, Version: c.version, KeyRevision: c.keyRevision, FleetRevision: c.fleetRevision, EntriesHash: 1,
		Entries: []*sqrpc.EntryView{
			{Entry: req.GetEntry(), Zone: req.GetZone(), Address: req.GetAddress(), Fresh: true, Leaving: req.GetLeaving()},
			{Entry: "other", Zone: "b", Address: "127.0.0.9:1", Fresh: true},
			{Entry: "gone", Zone: "a", Address: "127.0.0.9:2", Fresh: true, Leaving: true},
		},
	}
	if req.GetLeaving() {
		resp.EntriesHash++
	}
	if req.GetKnownVersion() < c.version {
		resp.Configuration = c.configuration
	}
	if req.GetKnownKeyRevision() < c.keyRevision {
		resp.Keys = c.keys
	}
	if req.GetKnownFleetRevision() < c.fleetRevision {
		for _, v := range c.endpoints {
			resp.Endpoints = append(resp.Endpoints, proto.CloneOf(v))
		}
	}
	return resp, nil
}

func (c *fakeControl) Submit(_ context.Context, req *sqrpc.SubmitRequest) (*sqrpc.SubmitResponse, error) {
	c.mu.Lock()
	release := c.holdCommits
	if req.GetCommand().GetFinishCalls() != nil && c.holdOutcomes != nil {
		release = c.holdOutcomes
	}
	c.mu.Unlock()
	if release != nil {
		<-release
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unreachable {
		return nil, sqrpc.ToTwirp(sqerror.New(sqerror.Config{Kind: sqerror.NotHolder}))
	}
	c.submitted = append(c.submitted, req.GetCommand())
	return &sqrpc.SubmitResponse{Result: c.state.Apply(req.GetCommand())}, nil
}

func (c *fakeControl) change(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// setState changes an endpoint's state.
func (c *fakeControl) setState(id, state string) {
	c.change(func() {
		c.fleetRevision++
		for _, v := range c.endpoints {
			if v.GetId() == id {
				v.State = state
			}
		}
	})
}

func (c *fakeControl) setKeys(keys ...*sqcommand.Key) {
	c.change(func() {
		c.keyRevision++
		c.keys = keys
	})
}

func testKey(team, key string) *sqcommand.Key {
	h := sqkey.Sum(key)
	return &sqcommand.Key{Id: team + "-key", Team: team, Sha256: h[:]}
}

const (
	teamKey   = "walkers-key-0123456789"
	openRoute = "/open"
)

// testConfiguration has an assistant, a booking service and an open service.
func testConfiguration() *sqcommand.Configuration {
	return &sqcommand.Configuration{
		Deployment: "test",
		Teams: []*sqcommand.Team{
			{Name: "walkers", Share: 1},
			{Name: "limited", Share: 1, TokensPerSecond: 1, MaxQueued: 1},
		},
		Models: []*sqcommand.Model{{Name: "m", Version: "1"}},
		Services: []*sqcommand.Service{
			{Name: "assistant", Kind: sqcommand.ServiceKind_SERVICE_KIND_ASSISTANT, Models: []string{"m"}, DeadlineMillis: 20000},
			{
				Name: "booking", Kind: sqcommand.ServiceKind_SERVICE_KIND_PLAIN, Route: "/booking", DeadlineMillis: 10000,
				OnceCalls: []string{"POST /booking/places"},
			},
			{
				Name: "fees", Kind: sqcommand.ServiceKind_SERVICE_KIND_PLAIN, Route: "/fees", DeadlineMillis: 10000,
				OnceCalls: []string{"POST /fees"}, RecognisesIdentity: true,
			},
			{Name: "open", Kind: sqcommand.ServiceKind_SERVICE_KIND_PLAIN, Route: openRoute, Open: true, DeadlineMillis: 10000},
		},
	}
}

// testSystem is an entry with a fake control process, fake engines and a fake
// plain service.
type testSystem struct {
	t          *testing.T
	control    *fakeControl
	engines    []*fakeEngine
	plain      *fakeService
	callers    string
	internal   string
	stop       context.CancelFunc
	runErr     chan error
	addressTTL time.Duration
}

// newTestSystem starts an entry with the given number of fake engines and waits
// until it is fresh. Callers keep addresses for 100 ms.
func newTestSystem(t *testing.T, engines int) *testSystem {
	return newTestSystemWithTTL(t, engines, 100*time.Millisecond)
}

// newTestSystemWithTTL is newTestSystem with another time that callers keep
// addresses.
func newTestSystemWithTTL(t *testing.T, engines int, addressTTL time.Duration) *testSystem {
	t.Parallel()
	s := &testSystem{t: t, addressTTL: addressTTL, control: newFakeControl(t), plain: newFakeService(t), runErr: make(chan error, 1)}
	c := s.control
	c.configuration = testConfiguration()
	c.keys = []*sqcommand.Key{testKey("walkers", teamKey)}
	for i := range engines {
		e := newFakeEngine(t)
		s.engines = append(s.engines, e)
		c.endpoints = append(c.endpoints, &sqrpc.EndpointView{
			Id: "engine" + string(rune('0'+i)), Zone: "a", Address: e.address(), Kind: "engine", Role: "both",
			State: stateLive, Models: []string{"m@1"},
		})
	}
	for _, name := range []string{"booking", "fees", "open"} {
		c.endpoints = append(c.endpoints, &sqrpc.EndpointView{
			Id: name + "0", Zone: "a", Address: s.plain.address(), Kind: name, State: stateLive,
		})
	}
	s.start()
	return s
}

func (s *testSystem) start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	ready := make(chan struct{})
	go func() {
		s.runErr <- Run(ctx, Config{
			Deployment: "test", Name: "entry1", Zone: "a", ControlAddresses: []string{s.control.address()},
			CallerAddress: "127.0.0.1:0", InternalAddress: "127.0.0.1:0",
			Timings: Timings{AddressTTL: s.addressTTL, RenewInterval: 30 * time.Millisecond, PollInterval: 30 * time.Millisecond, DrainTimeout: 5 * time.Second},
			Ready: func(callers, internal string) {
				s.callers, s.internal = callers, internal
				close(ready)
			},
		})
	}()
	<-ready
	s.t.Cleanup(func() {
		cancel()
		err := <-s.runErr
		s.runErr <- err
	})
	s.eventually("the entry is fresh", func() bool { return s.get(s.internal, "/healthz").status == 200 })
}

// eventually waits until ok returns true, and fails the test after 10 s.
func (s *testSystem) eventually(what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	s.t.Fatal("timed out waiting until " + what)
}
