package sqentry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"sequoiadock/core/sqadmit"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqrpc"
)

// engineVariable makes the test binary a relay of the engine that it names, so
// that the processor time of a relay can be told from that of its two sides.
const engineVariable = "SEQUOIADOCK_BENCH_ENGINE"

func TestMain(m *testing.M) {
	if engine := os.Getenv(engineVariable); engine != "" {
		relayProcess(engine)
		return
	}
	os.Exit(m.Run())
}

// The ways by which a relay process passes a stream on.
const (
	// wayEntry is the entry itself.
	wayEntry = iota
	// wayCopy is a bare copy by net/http that flushes what each read gave.
	wayCopy
	// wayCalls is one thread that does nothing but wait, read and write.
	wayCalls
	// wayCost gives the processor time of the process.
	wayCost
	ways
)

// relayProcess serves each way on an address of its own, prints them and ends
// with its input.
func relayProcess(engine string) {
	handlers := map[int]http.Handler{wayEntry: entryBefore(engine), wayCopy: copyBefore(engine), wayCost: http.HandlerFunc(giveCost)}
	for way := range ways {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		if way == wayCalls {
			go serveCalls(l, engine)
		} else {
			go func() { _ = http.Serve(l, handlers[way]) }()
		}
		fmt.Println(l.Addr())
	}
	_, _ = io.Copy(io.Discard, os.Stdin)
}

func entryBefore(engine string) http.Handler {
	cfg := benchConfig()
	cfg.Limits.MaxConnectionsPerEndpoint = 1000
	e := newEntry(context.Background(), cfg)
	conf := testConfiguration()
	conf.Services[0].Open = true
	conf.Services[0].DeadlineMillis = uint32((10 * time.Minute).Milliseconds())
	e.routes.Store(newRoutes(1, conf))
	now := sqclock.Now()
	var views []*sqrpc.EndpointView
	for i := range 64 {
		// One listener stands for enough engines, so that nothing has to queue.
		views = append(views, &sqrpc.EndpointView{
			Id: fmt.Sprint("engine", i), Zone: "a", Address: engine, Kind: "engine", Role: "both", State: stateLive, Models: []string{"m@1"},
		})
	}
	e.fleet.set(now, views)
	e.admission.setTeams(now, []sqadmit.Team{sqadmit.NewTeam(sqadmit.TeamConfig{
		Weight: 1, TokensPerSecond: sqadmit.Unbounded, MaxRunning: sqadmit.Unbounded, MaxQueued: sqadmit.Unbounded,
	})})
	e.admission.setRooms(now, e.fleet, e.routes.Load().pools)
	return e.callersHandler()
}

func copyBefore(engine string) http.Handler {
	transport := &http.Transport{MaxIdleConnsPerHost: 1000}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+engine+r.URL.Path, r.Body)
		if err != nil {
			panic(err)
		}
		resp, err := transport.RoundTrip(out)
		if err != nil {
			return
		}
		defer resp.Body.Close()
		w.Header()["Content-Type"] = resp.Header["Content-Type"]
		b := make([]byte, 4<<10)
		for {
			n, err := resp.Body.Read(b)
			_, _ = w.Write(b[:n])
			if err != nil {
				return
			}
			w.(http.Flusher).Flush()
		}
	})
}

// serveCalls passes connections through by one thread that waits, reads and
// writes.
func serveCalls(l net.Listener, engine string) {
	poll, err := unix.EpollCreate1(0)
	if err != nil {
		panic(err)
	}
	peers := &sync.Map{}
	go pass(poll, peers)
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", engine)
		if err != nil {
			panic(err)
		}
		a, b := descriptor(in), descriptor(out)
		peers.Store(a, b)
		peers.Store(b, a)
		for _, fd := range []int{a, b} {
			if err := unix.EpollCtl(poll, unix.EPOLL_CTL_ADD, fd, &unix.EpollEvent{Events: unix.EPOLLIN, Fd: int32(fd)}); err != nil {
				panic(err)
			}
		}
	}
}

// descriptor takes a connection's descriptor out of the runtime's poller.
func descriptor(c net.Conn) int {
	f, err := c.(*net.TCPConn).File()
	if err != nil {
		panic(err)
	}
	defer f.Close()
	c.Close()
	fd, err := unix.Dup(int(f.Fd()))
	if err != nil {
		panic(err)
	}
	return fd
}

func pass(poll int, peers *sync.Map) {
	runtime.LockOSThread()
	b := make([]byte, 4<<10)
	events := make([]unix.EpollEvent, 64)
	for {
		n, err := unix.EpollWait(poll, events, -1)
		if err != nil && err != unix.EINTR {
			panic(err)
		}
		for i := range max(0, n) {
			from := int(events[i].Fd)
			to, _ := peers.Load(from)
			if got, err := unix.Read(from, b); err == nil && got > 0 {
				_, _ = unix.Write(to.(int), b[:got])
				continue
			}
			_ = unix.Shutdown(to.(int), unix.SHUT_WR)
			_ = unix.Close(from)
		}
	}
}

func giveCost(w http.ResponseWriter, _ *http.Request) {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	fmt.Fprint(w, u.Utime.Nano()+u.Stime.Nano())
}

// relayLoad is streams that run at once.
type relayLoad struct {
	streams, tokens int
	every           time.Duration
	// processors bounds those that the relay process uses; "" is no bound. Entry
	// VMs are smaller than the machines that benchmarks run on.
	processors string
}

// tokenEngine gives a token at each tick, in one write.
func tokenEngine(load *relayLoad) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		id := "x"
		if _, rest, ok := strings.Cut(string(body), `"request_id":"`); ok {
			id, _, _ = strings.Cut(rest, `"`)
		}
		w.Header().Set("Content-Type", "text/event-stream")
		t := time.NewTicker(load.every)
		defer t.Stop()
		for i := range load.tokens {
			finish := "null"
			if i == load.tokens-1 {
				finish = `"stop"`
			}
			fmt.Fprintf(w, `data: {"id":"%s","object":"chat.completion.chunk","model":"m","position":%d,"choices":[{"index":0,"delta":{"content":"word "},"finish_reason":%s}]}`+"\n\n", id, i, finish)
			w.(http.Flusher).Flush()
			<-t.C
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
}

// relayChild is a relay process.
type relayChild struct {
	b         *testing.B
	addresses [ways]string
}

func startRelay(b *testing.B, engine, processors string) *relayChild {
	b.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), engineVariable+"="+engine, "GOMAXPROCS="+processors)
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	assert.NilError(b, err)
	out, err := cmd.StdoutPipe()
	assert.NilError(b, err)
	assert.NilError(b, cmd.Start())
	b.Cleanup(func() {
		in.Close()
		_ = cmd.Wait()
	})
	c := &relayChild{b: b}
	lines := bufio.NewScanner(out)
	for way := range ways {
		assert.Assert(b, lines.Scan())
		c.addresses[way] = lines.Text()
	}
	return c
}

// spent returns the processor time that the process has used.
func (c *relayChild) spent() time.Duration {
	resp, err := http.Get("http://" + c.addresses[wayCost])
	assert.NilError(c.b, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(c.b, err)
	n, err := strconv.ParseInt(string(text), 10, 64)
	assert.NilError(c.b, err)
	return time.Duration(n)
}

// cost runs the load one way and returns the processor time for each token.
func (c *relayChild) cost(way int, load relayLoad) time.Duration {
	before, begun := c.spent(), time.Now()
	var wg sync.WaitGroup
	for i := range load.streams {
		wg.Go(func() {
			time.Sleep(load.every * time.Duration(i) / time.Duration(load.streams))
			assert.Check(c.b, c.stream(way) == load.tokens)
		})
	}
	wg.Wait()
	// Streams that had to wait for their turn would not load the process alike.
	assert.Check(c.b, time.Since(begun) < 2*load.every*time.Duration(load.tokens))
	return (c.spent() - before) / time.Duration(load.streams*load.tokens)
}

// stream asks for one answer and returns the number of its tokens.
func (c *relayChild) stream(way int) int {
	resp, err := http.Post("http://"+c.addresses[way]+"/v1/chat/completions", "application/json",
		strings.NewReader(`{"model":"m","stream":true,"messages":[{"role":"user","content":"hello"}]}`))
	if !assert.Check(c.b, err == nil) {
		return 0
	}
	defer resp.Body.Close()
	n := 0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data: {") {
			n++
		}
	}
	return n
}

// BenchmarkRelayProcess is the processor time of a whole process for each token
// that it passes on, all three ways in turns in one run: the entry, a bare copy by
// net/http, and the bare system calls.
func BenchmarkRelayProcess(b *testing.B) {
	for _, load := range []relayLoad{
		{streams: 1, tokens: 400, every: 5 * time.Millisecond},
		{streams: 200, tokens: 100, every: 20 * time.Millisecond},
		{streams: 200, tokens: 100, every: 20 * time.Millisecond, processors: "2"},
	} {
		b.Run(strconv.Itoa(load.streams)+"Streams"+load.processors, func(b *testing.B) {
			engine := httptest.NewServer(tokenEngine(&load))
			defer engine.Close()
			c := startRelay(b, engine.Listener.Addr().String(), load.processors)
			var sums [ways]time.Duration
			for b.Loop() {
				for way := range wayCost {
					sums[way] += c.cost(way, load)
				}
			}
			each := func(way int) float64 { return float64(sums[way].Nanoseconds()) / float64(b.N) / 1000 }
			b.ReportMetric(each(wayEntry), "entry-µs/token")
			b.ReportMetric(each(wayCopy), "copy-µs/token")
			b.ReportMetric(each(wayCalls), "calls-µs/token")
			b.ReportMetric(each(wayEntry)/each(wayCopy), "entryOfCopy")
			b.ReportMetric(0, "ns/op")
		})
	}
}
