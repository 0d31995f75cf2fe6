package sqgateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqplace"
)

// Times of a gateway that stops, from its signal on: it takes all requests until stopDrained, and
// unfinished ones end at about stopExpired.
const (
	stopGrace   = 2 * time.Second
	stopDrained = stopGrace / 2
	stopExpired = stopGrace * (100 - forcedClosePercent) / 100
)

// stoppingSystem is a gateway that runs as in its process.
type stoppingSystem struct {
	*testSystem
	address string
	// stop ends the process, as a signal does; stopped is closed at its end.
	stop    context.CancelFunc
	stopped chan struct{}
}

// startStoppingSystem starts a gateway that is ready to serve requests.
func startStoppingSystem(t *testing.T, fleet ...sqplace.Endpoint) *stoppingSystem {
	t.Helper()
	s := &stoppingSystem{testSystem: newIdleTestSystem(t, newFakeLeaseHolder(fleet...), nil), stopped: make(chan struct{})}
	s.gateway.cfg.StopGracePeriod = stopGrace
	listeners, err := listenAll("127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0")
	assert.NilError(t, err)
	s.address = listeners[0].Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	go func() {
		defer close(s.stopped)
		assert.Check(t, s.gateway.serve(ctx, listeners))
	}()
	t.Cleanup(func() {
		cancel()
		<-s.stopped
	})
	waitFor(t, s.gateway.ready)
	return s
}

// openCaller opens a connection on which a caller sends a request later.
func (s *stoppingSystem) openCaller(t *testing.T) *openCaller {
	t.Helper()
	nc, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	return &openCaller{nc: nc}
}

// awaitDrained waits until the gateway accepts no new connections.
func (s *stoppingSystem) awaitDrained() {
	time.Sleep(stopDrained)
	for {
		nc, err := net.Dial("tcp", s.address)
		if err != nil {
			return
		}
		_ = nc.Close()
		time.Sleep(10 * time.Millisecond)
	}
}

// openCaller is a caller with an open connection.
type openCaller struct{ nc net.Conn }

// send sends a request that the caller waits for as long as it names, and returns the response.
// It returns an error if the connection ends without a complete one.
func (c *openCaller) send(path string, wait time.Duration) (res *http.Response, body string, err error) {
	_, err = fmt.Fprintf(c.nc, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Key: key\r\nX-Attempt: a1\r\nX-Wait: %d\r\nContent-Length: 2\r\n\r\nxx", path, wait.Milliseconds())
	if err != nil {
		return nil, "", err
	}
	res, err = http.ReadResponse(bufio.NewReader(c.nc), nil)
	if err != nil {
		return nil, "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res, string(b), err
}

// slowEndpoint returns an endpoint that answers after a time, and as a stream with its first
// event at once.
func slowEndpoint(t *testing.T, latency time.Duration) *fakeEndpoint {
	return newFakeEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/quick/x" {
			writeEvents(w, 1, 1)
			w.(http.Flusher).Flush()
		}
		select {
		case <-time.After(latency):
		case <-r.Context().Done():
			return
		}
		if r.URL.Path == "/quick/x" {
			writeEvents(w, 2, 6)
			return
		}
		signedHandler("done")(w, r)
	})
}

// TestLateRequestIsCutAtEndOfGrace fails if a gateway that stops passes a request on which it
// may not finish, and then cuts it without an answer.
func TestLateRequestIsCutAtEndOfGrace(t *testing.T) {
	t.Parallel()
	e := slowEndpoint(t, stopGrace)
	s := startStoppingSystem(t, e.fleetEntry("i1", "ledger", sqplace.AnyStage), e.fleetEntry("i2", "engines", sqplace.Decode))
	callers := map[string]*openCaller{"/book/x": s.openCaller(t), "/read/x": s.openCaller(t), "/quick/x": s.openCaller(t)}
	s.stop()
	s.awaitDrained()
	for path, c := range callers {
		wait := 2 * stopGrace
		if path == "/read/x" {
			// This one would end in time.
			wait = stopGrace / 10
		}
		res, _, err := c.send(path, wait)
		assert.NilError(t, err, path)
		assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable, path)
		assert.Assert(t, res.Header.Get("Retry-After") != "", path)
		assert.Assert(t, res.Close, path)
	}
	assert.Equal(t, len(e.requests()), 0)
}

// TestKeptConnectionIsCutWhileStopping fails if a request on a connection that is used again and
// again is passed on and then cut, when the gateway closes the connections that are idle.
func TestKeptConnectionIsCutWhileStopping(t *testing.T) {
	t.Parallel()
	const callers = 16
	e := slowEndpoint(t, time.Millisecond)
	s := startStoppingSystem(t, e.fleetEntry("i1", "ledger", sqplace.AnyStage))
	var served atomic.Int64
	var running sync.WaitGroup
	for range callers {
		c := s.openCaller(t)
		running.Go(func() {
			for {
				res, body, err := c.send("/book/x", stopGrace)
				if err != nil {
					return
				}
				switch res.StatusCode {
				case http.StatusOK:
					assert.Check(t, body == "done", "%q", body)
					served.Add(1)
				default:
					assert.Check(t, res.StatusCode == http.StatusServiceUnavailable, "%d", res.StatusCode)
				}
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	s.stop()
	running.Wait()
	assert.Assert(t, served.Load() >= callers)
	assert.Equal(t, int64(len(e.requests())), served.Load())
}

// TestRequestOutlastingGraceIsCut fails if a request that came while the gateway took all of
// them, and is not finished at the end of the grace period, is cut without an answer.
func TestRequestOutlastingGraceIsCut(t *testing.T) {
	t.Parallel()
	e := slowEndpoint(t, 2*stopGrace)
	s := startStoppingSystem(t, e.fleetEntry("i1", "ledger", sqplace.AnyStage), e.fleetEntry("i2", "engines", sqplace.Decode))
	s.stop()
	begin := time.Now()
	results := make(chan error, 2)
	for _, path := range []string{"/book/x", "/read/x"} {
		c := s.openCaller(t)
		go func() {
			res, body, err := c.send(path, 3*stopGrace)
			if err == nil {
				assert.Check(t, res.StatusCode == http.StatusBadGateway && body == "", "%s: %d %q", path, res.StatusCode, body)
			}
			results <- err
		}()
	}
	_, body, err := s.openCaller(t).send("/quick/x", 3*stopGrace)
	assert.Assert(t, err != nil, "%q ends as if it were complete", body)
	assert.NilError(t, <-results)
	assert.NilError(t, <-results)
	<-s.stopped
	assert.Assert(t, time.Since(begin) >= stopExpired && time.Since(begin) < stopGrace, "%v", time.Since(begin))
}

// TestWaitingRequestIsCutAtEndOfGrace fails if a request that still waits for an endpoint at the
// end of the grace period is not told that it has not run.
func TestWaitingRequestIsCutAtEndOfGrace(t *testing.T) {
	t.Parallel()
	e := slowEndpoint(t, 2*stopGrace)
	entry := e.fleetEntry("i1", "ledger", sqplace.AnyStage)
	s := startStoppingSystem(t, entry)
	s.gateway.mu.Lock()
	s.gateway.placer = sqplace.New(sqplace.Config{Zone: "a", LimitedMemory: true, MaxEndpointBodyBytes: 3})
	s.gateway.placer.SetEndpoints([]sqplace.Endpoint{entry})
	s.gateway.mu.Unlock()
	statuses := make(chan int, 2)
	send := func(c *openCaller) {
		res, _, err := c.send("/book/x", 3*stopGrace)
		if !assert.Check(t, err) {
			statuses <- 0
			return
		}
		statuses <- res.StatusCode
	}
	go send(s.openCaller(t))
	waitFor(t, func() bool { return len(e.requests()) == 1 })
	go send(s.openCaller(t))
	waitFor(t, func() bool { return s.gateway.metrics.roomWaits.Get() > 0 })
	s.stop()
	got := []int{<-statuses, <-statuses}
	slices.Sort(got)
	assert.DeepEqual(t, got, []int{http.StatusBadGateway, http.StatusServiceUnavailable})
	assert.Equal(t, len(e.requests()), 1)
}
