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

// fakeControl is a holder without replicas: it applies commands to the real
// state machine.
type fakeControl struct {
	sqrpc.Control
	server *httptest.Server

	mu        sync.Mutex
	state     *sqstate.State
	conf      *sqcommand.Configuration
	version   uint64
	keys      []*sqcommand.Key
	revision  uint64
	fleet     uint64
	endpoints []*sqrpc.EndpointView
	last      *sqrpc.WatchRequest
	cut       bool
	submitted []*sqcommand.Command
	// hold, if set, delays commits until it is closed; holdFinish those of
	// outcomes alone.
	hold, holdFinish chan struct{}
}

func newFakeControl(t *testing.T) *fakeControl {
	c := &fakeControl{state: sqstate.New(sqstate.Config{}), version: 1, revision: 1, fleet: 1}
	c.server = httptest.NewServer(sqrpc.NewControlServer(c))
	t.Cleanup(c.server.Close)
	return c
}

func (c *fakeControl) address() string { return c.server.Listener.Addr().String() }

func (c *fakeControl) Watch(_ context.Context, req *sqrpc.WatchRequest) (*sqrpc.WatchResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut {
		return nil, sqrpc.ToTwirp(sqerror.New(sqerror.Config{Kind: sqerror.NotHolder}))
	}
	c.last = req
	resp := &sqrpc.WatchResponse{
		FreshMillis: 3000, Version: c.version, KeyRevision: c.revision, FleetRevision: c.fleet, EntriesHash: 1,
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
		resp.Configuration = c.conf
	}
	if req.GetKnownKeyRevision() < c.revision {
		resp.Keys = c.keys
	}
	if req.GetKnownFleetRevision() < c.fleet {
		for _, v := range c.endpoints {
			resp.Endpoints = append(resp.Endpoints, proto.CloneOf(v))
		}
	}
	return resp, nil
}

func (c *fakeControl) Submit(_ context.Context, req *sqrpc.SubmitRequest) (*sqrpc.SubmitResponse, error) {
	c.mu.Lock()
	hold := c.hold
	if req.GetCommand().GetFinishCalls() != nil && c.holdFinish != nil {
		hold = c.holdFinish
	}
	c.mu.Unlock()
	if hold != nil {
		<-hold
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut {
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
		c.fleet++
		for _, v := range c.endpoints {
			if v.GetId() == id {
				v.State = state
			}
		}
	})
}

func (c *fakeControl) setKeys(keys ...*sqcommand.Key) {
	c.change(func() {
		c.revision++
		c.keys = keys
	})
}

func testKey(team, key string) *sqcommand.Key {
	h := sqkey.Sum(key)
	return &sqcommand.Key{Id: team + "-key", Team: team, Sha256: h[:]}
}

const (
	walkersKey = "walkers-key-0123456789"
	openRoute  = "/open"
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

// system is an entry with its fakes.
type system struct {
	t       *testing.T
	control *fakeControl
	engines []*fakeEngine
	plain   *fakeService
	callers string
	admin   string
	stop    context.CancelFunc
	ended   chan error
	keep    time.Duration
}

// newSystem starts an entry before the engines and waits until it is fresh.
func newSystem(t *testing.T, engines int) *system {
	return newSystemKeeping(t, engines, 100*time.Millisecond)
}

// newSystemKeeping is newSystem whose callers keep addresses for that long.
func newSystemKeeping(t *testing.T, engines int, keep time.Duration) *system {
	t.Parallel()
	s := &system{t: t, keep: keep, control: newFakeControl(t), plain: newFakeService(t), ended: make(chan error, 1)}
	c := s.control
	c.conf = testConfiguration()
	c.keys = []*sqcommand.Key{testKey("walkers", walkersKey)}
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

func (s *system) start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	ready := make(chan struct{})
	go func() {
		s.ended <- Run(ctx, Config{
			Deployment: "test", Name: "entry1", Zone: "a", Controls: []string{s.control.address()},
			CallersListen: "127.0.0.1:0", InternalListen: "127.0.0.1:0",
			Timings: Timings{AddressTTL: s.keep, RenewInterval: 30 * time.Millisecond, PollInterval: 30 * time.Millisecond, StopGrace: 5 * time.Second},
			Ready: func(callers, internal string) {
				s.callers, s.admin = callers, internal
				close(ready)
			},
		})
	}()
	<-ready
	s.t.Cleanup(func() {
		cancel()
		err := <-s.ended
		s.ended <- err
	})
	s.eventually("the entry is fresh", func() bool { return s.get(s.admin, "/healthz").status == 200 })
}

// eventually waits, within bounds, until ok is true.
func (s *system) eventually(what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	s.t.Fatal("timed out waiting until " + what)
}
