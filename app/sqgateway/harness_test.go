package sqgateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sqcore "sequoiadock/core"
	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqplace"
	"sequoiadock/core/sqretry"
	"sequoiadock/io/sqlog"
	"sequoiadock/io/sqrpc"
)

// fakeHolder is a coordinator that a test plays.
type fakeHolder struct {
	sqrpc.Coordinator
	mu     sync.Mutex
	silent bool
	fresh  time.Duration
	table  []byte
	// version and revision name what is in force.
	version, revision uint64
	fleet             []sqplace.Endpoint
	last              *sqrpc.BeatRequest
	beats             int
}

func (h *fakeHolder) Beat(_ context.Context, req *sqrpc.BeatRequest) (*sqrpc.BeatResponse, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.silent {
		return nil, sqrpc.ToTwirp(sqerror.New(sqerror.Config{Kind: sqerror.NotHolder}))
	}
	h.last = req
	h.beats++
	res := &sqrpc.BeatResponse{
		FreshMillis: uint32(h.fresh.Milliseconds()), TableVersion: h.version, TableDocument: h.table, FleetRevision: h.revision,
		GatewayCount: 1, TrueUnixNano: time.Now().UnixNano(), Holder: "holder",
		Gateways: []*sqrpc.GatewayAddress{{Address: req.GetAddress(), Zone: req.GetZone()}},
	}
	for i := range h.fleet {
		res.Endpoints = append(res.Endpoints, sqrpc.FromEndpoint(&h.fleet[i]))
	}
	return res, nil
}

func (h *fakeHolder) set(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
}

// fakeEndpoint answers as a test says and notes what reached it.
type fakeEndpoint struct {
	*httptest.Server
	mu  sync.Mutex
	got []*http.Request
}

func newEndpoint(t *testing.T, answer http.HandlerFunc) *fakeEndpoint {
	t.Helper()
	e := &fakeEndpoint{}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		e.mu.Lock()
		e.got = append(e.got, r.Clone(context.Background()))
		e.mu.Unlock()
		w.Header().Set("X-Attempt", r.Header.Get("X-Attempt"))
		answer(w, r)
	}))
	t.Cleanup(e.Close)
	return e
}

func (e *fakeEndpoint) requests() []*http.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*http.Request(nil), e.got...)
}

func (e *fakeEndpoint) listed(id, service string, stage sqplace.Stage) sqplace.Endpoint {
	return sqplace.NewEndpoint(sqplace.EndpointConfig{
		ID: id, Service: service, Address: e.Listener.Addr().String(), Zone: "a", Slots: 4, Stage: stage,
	})
}

// logBuffer keeps what a gateway logs.
type logBuffer struct {
	mu   sync.Mutex
	data []byte
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.data = append(b.data, p...)
	return len(p), nil
}

func (b *logBuffer) bytes() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]byte(nil), b.data...)
}

// system is a gateway with a holder that a test plays.
type system struct {
	holder  *fakeHolder
	logs    *logBuffer
	gateway *gateway
	callers *httptest.Server
}

func newSystem(t *testing.T, fleet ...sqplace.Endpoint) *system {
	t.Helper()
	h := newHolder(fleet...)
	s := startSystem(t, h)
	waitFor(t, s.gateway.ready)
	return s
}

func newHolder(fleet ...sqplace.Endpoint) *fakeHolder {
	return &fakeHolder{fresh: 4 * time.Second, table: testTable(3), version: 3, revision: 1, fleet: fleet}
}

// startSystem returns a gateway that has just started.
func startSystem(t *testing.T, h *fakeHolder) *system {
	t.Helper()
	mux := http.NewServeMux()
	service := sqrpc.NewCoordinatorServer(h)
	mux.Handle(service.PathPrefix(), service)
	control := httptest.NewServer(mux)
	logs := &logBuffer{}
	g := newGateway(Config{
		Name: "g", Zone: "a", CallerAddress: "10.0.0.1:1", Seeds: []string{control.Listener.Addr().String()},
		Retry: sqretry.Config{Ratio: 10, Window: 10 * time.Second}, BillingWindow: 5 * time.Second, GracePeriod: 8 * time.Second, Wire: testWire{},
		Log:              sqlog.New(sqlog.Config{Name: "g", Output: logs, Level: sqevent.Info}),
		ReadyHandler:     func(func() bool) http.Handler { return http.NotFoundHandler() },
		DirectoryHandler: func(sqcore.Directory) http.Handler { return http.NotFoundHandler() },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.beats(ctx)
	}()
	callers := httptest.NewServer(g.callerRoutes())
	t.Cleanup(func() {
		callers.Close()
		cancel()
		<-done
		control.Close()
	})
	return &system{holder: h, logs: logs, gateway: g, callers: callers}
}

func waitFor(t *testing.T, ready func() bool) {
	t.Helper()
	for range 500 {
		if ready() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("waited in vain")
}

// call sends a request as a caller and returns its answer; broken is set if the
// answer broke off.
func (s *system) call(t *testing.T, method, path, body string, headers ...string) (res *http.Response, text string, broken bool) {
	t.Helper()
	req, err := http.NewRequest(method, s.callers.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Host = "h.example"
	req.Header.Set("X-Attempt", "a1")
	req.Header.Set("X-Key", "key")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	res, err = client.Do(req)
	if err != nil {
		return nil, "", true
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res, string(b), err != nil
}

// untilReached calls f at least six times and until a request has reached the
// endpoint: which of two equal endpoints gets one is drawn.
func untilReached(t *testing.T, e *fakeEndpoint, f func()) {
	t.Helper()
	for n := 0; n < 6 || len(e.requests()) == 0; n++ {
		assert.Assert(t, n < 200, "no request reached the endpoint")
		f()
	}
}

// reset ends a connection so that what was sent may be lost.
func reset(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}
