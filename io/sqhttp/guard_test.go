package sqhttp

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqevent"
	"sequoiadock/io/sqlog"
	"sequoiadock/io/sqmeter"
)

const (
	testBodyLimit = 4 << 20
	testTimeout   = 10 * time.Second
)

// lockedLog is a log that is safe for concurrent use.
type lockedLog struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *lockedLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(b)
}

func (l *lockedLog) events(e sqevent.Event) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.buf.String(), `"event":`+strconv.Itoa(e.Number)+",")
}

// testGuard is a server of a guard that reads bodies.
type testGuard struct {
	guard   *Guard
	server  *Server
	log     *lockedLog
	address string
}

func newTestGuard(t testing.TB, memory int64, cfg ServerConfig) *testGuard {
	t.Helper()
	g := &testGuard{log: &lockedLog{}}
	g.guard = NewGuard(GuardConfig{MemoryBytes: memory, Metrics: metrics.NewSet(), Log: sqlog.New(sqlog.Config{Output: g.log, Level: sqevent.Info})})
	cfg.Name, cfg.ConnectionPercent, cfg.SharePercent, cfg.Buffers = "callers", 100, 50, SocketBuffers{Receive: 16 << 10, Send: 96 << 10}
	cfg.HeaderTimeout, cfg.ReadTimeout = testTimeout, testTimeout
	if cfg.Handler == nil {
		cfg.Handler = http.HandlerFunc(answerBody)
	}
	g.server = g.guard.NewServer(cfg)
	ln, err := ListenBuffered("127.0.0.1:0", cfg.Buffers)
	assert.NilError(t, err)
	g.address = ln.Addr().String()
	go func() { _ = g.server.Serve(ln) }()
	t.Cleanup(func() { _ = g.server.Close() })
	return g
}

// answerBody answers with the length of the body, or with the status of what went wrong.
func answerBody(w http.ResponseWriter, r *http.Request) {
	body, err := ReadBody(w, r, testBodyLimit)
	switch {
	case err == nil:
		_, _ = io.WriteString(w, strconv.Itoa(len(body)))
	case sqerror.KindOf(err) == sqerror.Overloaded:
		w.WriteHeader(http.StatusServiceUnavailable)
	case strings.Contains(err.Error(), "too large"):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	default:
		w.WriteHeader(http.StatusRequestTimeout)
	}
}

// post sends a body, chunked if it has no length, and returns the status and the answer.
func (g *testGuard) post(t *testing.T, body io.Reader) (int, string) {
	t.Helper()
	res, err := NewClient(ClientConfig{Timeout: testTimeout}).Post("http://"+g.address, "text/plain", body)
	assert.NilError(t, err)
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	return res.StatusCode, string(b)
}

// open sends a text on a new connection, which stays open.
func (g *testGuard) open(t *testing.T, text string) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", g.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	_, err = io.WriteString(nc, text)
	assert.NilError(t, err)
	return nc
}

// usedBytesBecome waits until the budget has so many bytes in use.
func (g *testGuard) usedBytesBecome(t *testing.T, condition func(n int64) bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(g.guard.Budget().UsedBytes()); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%d bytes are in use", g.guard.Budget().UsedBytes())
	}
}

func isZero(n int64) bool { return n == 0 }

// TestReadBodyReturnsWholeBodies fails if a body of any length and framing is cut, refused
// within the limit or accepted beyond it, or if its bytes stay reserved.
func TestReadBodyReturnsWholeBodies(t *testing.T) {
	g := newTestGuard(t, 128<<20, ServerConfig{})
	for _, n := range []int{0, 1, minBodyBytes, wholeBodyBytes, wholeBodyBytes + 1, 1 << 20, testBodyLimit - 1, testBodyLimit, testBodyLimit + 1, 2 * testBodyLimit} {
		for _, body := range []io.Reader{bytes.NewReader(make([]byte, n)), io.MultiReader(bytes.NewReader(make([]byte, n)))} {
			status, answer := g.post(t, body)
			if n > testBodyLimit {
				assert.Equal(t, status, http.StatusRequestEntityTooLarge, "%d bytes", n)
				continue
			}
			assert.Equal(t, status, http.StatusOK, "%d bytes", n)
			assert.Equal(t, answer, strconv.Itoa(n))
		}
	}
	g.usedBytesBecome(t, isZero)
}

// Connections keep their half-close and linger options.
var _ interface {
	CloseWrite() error
	SetLinger(sec int) error
} = (*conn)(nil)

// TestTrafficCountsBothDirections fails if bytes that callers send or get are not counted.
func TestTrafficCountsBothDirections(t *testing.T) {
	traffic := &sqmeter.Traffic{}
	g := newTestGuard(t, 128<<20, ServerConfig{Traffic: traffic})
	const request = "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello"
	response, err := io.ReadAll(g.open(t, request))
	assert.NilError(t, err)
	assert.Equal(t, traffic.Read(), int64(len(request)))
	assert.Equal(t, traffic.Written(), int64(len(response)))
}

// TestStalledBodiesAreEvicted fails if callers that stop short keep others out, get no true
// answer, keep their bytes or are reported without a bound.
func TestStalledBodiesAreEvicted(t *testing.T) {
	g := newTestGuard(t, 32<<20, ServerConfig{})
	const crowd = 40
	head := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"
	var stalled []net.Conn
	for range crowd {
		stalled = append(stalled, g.open(t, head+strings.Repeat("x", 400_000)))
	}
	for range 2 {
		for status, end := 0, time.Now().Add(testTimeout); status != http.StatusOK; time.Sleep(10 * time.Millisecond) {
			assert.Assert(t, time.Now().Before(end), "status %d", status)
			status, _ = g.post(t, bytes.NewReader(make([]byte, 2<<20)))
		}
	}
	answered := map[int]int{}
	for _, nc := range stalled {
		_ = nc.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if res, err := http.ReadResponse(bufio.NewReader(nc), nil); err == nil {
			answered[res.StatusCode]++
			_ = res.Body.Close()
		}
		_ = nc.Close()
	}
	t.Logf("statuses of the crowd: %v", answered)
	assert.Assert(t, answered[http.StatusRequestTimeout] > 0, "%v", answered)
	assert.Equal(t, answered[http.StatusOK], 0)
	assert.Assert(t, g.server.evicted.Get() > 0)
	events := g.log.events(sqevent.CallerOverMemory)
	assert.Assert(t, events > 0 && events <= int(2*testTimeout/eventInterval), "%d events", events)
	g.usedBytesBecome(t, isZero)
}

// TestDrippingCallersGiveWay fails if callers that send a byte now and then keep the room
// that another one needs.
func TestDrippingCallersGiveWay(t *testing.T) {
	g := newTestGuard(t, 32<<20, ServerConfig{})
	for range 12 {
		nc := g.open(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("x", 300_000))
		go func() {
			for err := error(nil); err == nil; time.Sleep(20 * time.Millisecond) {
				_, err = nc.Write([]byte("x"))
			}
		}()
	}
	g.usedBytesBecome(t, func(n int64) bool { return n > g.guard.Budget().Limit()/2 })
	for status, end := 0, time.Now().Add(testTimeout/2); status != http.StatusOK; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "status %d", status)
		status, _ = g.post(t, bytes.NewReader(make([]byte, 2<<20)))
	}
	assert.Assert(t, g.server.evicted.Get() > 0)
}

// TestUnfinishedHeadersAreCounted fails if what a caller sends of its headers takes memory
// that the budget does not know of.
func TestUnfinishedHeadersAreCounted(t *testing.T) {
	g := newTestGuard(t, 32<<20, ServerConfig{})
	nc := g.open(t, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 5000))
	g.usedBytesBecome(t, func(n int64) bool { return n > 5000*bytesPerHeader })
	_ = nc.Close()
	g.usedBytesBecome(t, isZero)
}

// TestConnectionLimitClosesStalled fails if idle connections keep others out for good, or if
// more are open than the limit.
func TestConnectionLimitClosesStalled(t *testing.T) {
	g := newTestGuard(t, 32<<20, ServerConfig{})
	for range g.server.maxConnections + 5 {
		g.open(t, "GET /")
	}
	for end := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, g.server.OpenConnections() <= g.server.maxConnections)
		res, err := NewClient(ClientConfig{Timeout: testTimeout}).Get("http://" + g.address)
		if err == nil {
			assert.NilError(t, res.Body.Close())
			assert.Equal(t, res.StatusCode, http.StatusOK)
			break
		}
		assert.Assert(t, time.Now().Before(end), "no connection was accepted")
	}
	assert.Assert(t, g.server.evicted.Get() > 0 && g.server.refusedConnections.Get() > 0, "%d evicted, %d refused, %d open of %d", g.server.evicted.Get(), g.server.refusedConnections.Get(), g.server.OpenConnections(), g.server.maxConnections)
}

// TestCountedBodyIsBounded fails if a handler that reads bodies by itself can take more than
// the connection's share.
func TestCountedBodyIsBounded(t *testing.T) {
	g := newTestGuard(t, 32<<20, ServerConfig{BodyCost: 2, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if sqerror.KindOf(err) == sqerror.Overloaded {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, strconv.Itoa(len(body)))
	})})
	status, answer := g.post(t, bytes.NewReader(make([]byte, 1<<20)))
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, answer, strconv.Itoa(1<<20))
	status, _ = g.post(t, bytes.NewReader(make([]byte, 4<<20)))
	assert.Equal(t, status, http.StatusServiceUnavailable)
	g.usedBytesBecome(t, isZero)
}

// BenchmarkBody measures a request with a body of 1 KB within the limits of a guard, and at a
// server without a guard whose handler uses io.ReadAll.
func BenchmarkBody(b *testing.B) {
	plain := &http.Server{ReadHeaderTimeout: testTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(LimitBody(w, r.Body, testBodyLimit))
	})}
	ln, err := Listen("127.0.0.1:0")
	assert.NilError(b, err)
	go func() { _ = plain.Serve(ln) }()
	b.Cleanup(func() { _ = plain.Close() })
	g := newTestGuard(b, 128<<20, ServerConfig{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = ReadBody(w, r, testBodyLimit)
	})})
	for name, address := range map[string]string{"guarded": g.address, "plain": ln.Addr().String()} {
		b.Run(name, func(b *testing.B) {
			nc, err := net.Dial("tcp", address)
			assert.NilError(b, err)
			defer nc.Close()
			request := []byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1024\r\n\r\n" + strings.Repeat("x", 1024))
			answer := make([]byte, 4<<10)
			b.ReportAllocs()
			for b.Loop() {
				_, _ = nc.Write(request)
				if _, err := nc.Read(answer); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
