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
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqplace"
	"sequoiadock/core/sqquota"
	"sequoiadock/core/sqretry"
	"sequoiadock/io/sqlog"
	"sequoiadock/io/sqrpc"
)

// fakeEndpoint is an HTTP server that keeps the requests it received and responds
// through a handler.
type fakeEndpoint struct {
	*httptest.Server
	mu       sync.Mutex
	received []*http.Request
}

func newFakeEndpoint(t *testing.T, handler http.HandlerFunc) *fakeEndpoint {
	t.Helper()
	e := &fakeEndpoint{}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		e.mu.Lock()
		e.received = append(e.received, r.Clone(context.Background()))
		e.mu.Unlock()
		w.Header().Set("X-Attempt", r.Header.Get("X-Attempt"))
		handler(w, r)
	}))
	t.Cleanup(e.Close)
	return e
}

func (e *fakeEndpoint) requests() []*http.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*http.Request(nil), e.received...)
}

// fleetEntry returns the entry of the endpoint in the lease holder's fleet.
func (e *fakeEndpoint) fleetEntry(id, service string, stage sqplace.Stage) sqplace.Endpoint {
	return sqplace.NewEndpoint(sqplace.EndpointConfig{
		ID: id, Service: service, Address: e.Listener.Addr().String(), Zone: "a", Slots: 4, Stage: stage,
	})
}

// logBuffer collects the log of a gateway.
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

// testDrainTimeout is the drain timeout of the gateways in tests.
const testDrainTimeout = 3 * time.Second

// testSystem is a gateway with a fake lease holder.
type testSystem struct {
	holder       *fakeLeaseHolder
	logs         *logBuffer
	gateway      *gateway
	callerServer *httptest.Server
}

// newTestSystem returns a gateway that is ready to serve requests.
func newTestSystem(t *testing.T, fleet ...sqplace.Endpoint) *testSystem {
	t.Helper()
	h := newFakeLeaseHolder(fleet...)
	s := startTestSystem(t, h)
	waitFor(t, s.gateway.ready)
	return s
}

// startTestSystem returns a gateway that has just started and need not be ready.
func startTestSystem(t testing.TB, h *fakeLeaseHolder) *testSystem {
	t.Helper()
	return startTestSystemOnLink(t, h, nil)
}

// startTestSystemOnLink is startTestSystem with the link over which the lease holder
// sends its responses. A nil link takes no time.
func startTestSystemOnLink(t testing.TB, h *fakeLeaseHolder, l *link) *testSystem {
	t.Helper()
	s := newIdleTestSystem(t, h, l)
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	loops.Go(func() { s.gateway.runHeartbeats(ctx) })
	loops.Go(func() { s.gateway.fetchTables(ctx) })
	s.callerServer = httptest.NewServer(s.gateway.callerHandler())
	t.Cleanup(func() {
		s.callerServer.Close()
		cancel()
		loops.Wait()
	})
	return s
}

// newIdleTestSystem returns a gateway that serves no callers and sends no heartbeats yet.
func newIdleTestSystem(t testing.TB, h *fakeLeaseHolder, l *link) *testSystem {
	t.Helper()
	mux := http.NewServeMux()
	service := sqrpc.NewCoordinatorServer(h)
	mux.Handle(service.PathPrefix(), service)
	if h.answerQuota == nil {
		// The server of another service knows none of the paths of this one.
		mux.Handle(service.PathPrefix()+"GrantQuota", sqrpc.NewPeerServer(nil))
	}
	coordinatorServer := httptest.NewUnstartedServer(mux)
	if l != nil {
		coordinatorServer.Listener = slowListener{Listener: coordinatorServer.Listener, link: l}
	}
	coordinatorServer.Start()
	t.Cleanup(coordinatorServer.Close)
	logs := &logBuffer{}
	g := newGateway(Config{
		DrainTimeout: testDrainTimeout,
		Name:         "g", Zone: "a", CallerAddress: "10.0.0.1:1", Seeds: []string{coordinatorServer.Listener.Addr().String()},
		Retry:         sqretry.Config{Ratio: 10, Window: 10 * time.Second},
		Quota:         sqquota.Bounds{Window: 8 * time.Second, Overrun: 0.1, Slack: 4000},
		BillingWindow: 5 * time.Second, StopGracePeriod: 8 * time.Second, TableApplyTimeout: tableApplyBound, Wire: testWire{},
		Log:              sqlog.New(sqlog.Config{Name: "g", Output: logs, Level: sqevent.Info}),
		ReadyHandler:     func(func() bool) http.Handler { return http.NotFoundHandler() },
		DirectoryHandler: func(sqcore.Directory) http.Handler { return http.NotFoundHandler() },
	})
	return &testSystem{holder: h, logs: logs, gateway: g}
}

// waitFor waits until the condition holds, for 5 s at most.
func waitFor(t testing.TB, condition func() bool) {
	t.Helper()
	for range 500 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the condition did not hold within 5 s")
}

// call sends a request as a caller and returns the response. The headers are pairs
// of name and value. Truncated is set if there was no response or it broke off.
func (s *testSystem) call(t *testing.T, method, path, body string,
	headers ...string) (res *http.Response, responseBody string, truncated bool) {
	t.Helper()
	req, err := http.NewRequest(method, s.callerServer.URL+path, strings.NewReader(body))
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

// repeatUntilReached calls f at least six times, and until a request has reached the
// endpoint, since the gateway chooses at random between equal endpoints.
func repeatUntilReached(t *testing.T, e *fakeEndpoint, f func()) {
	t.Helper()
	for n := 0; n < 6 || len(e.requests()) == 0; n++ {
		assert.Assert(t, n < 200, "no request reached the endpoint")
		f()
	}
}

// resetConnection closes the connection with a TCP reset, so that data in transit
// may be lost.
func resetConnection(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}
