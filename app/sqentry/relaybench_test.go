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

// engineAddressEnv makes the test binary run as a relay process in front of the
// engine at this address, so that the CPU time of the relay is separate from
// that of the client and the engine.
const engineAddressEnv = "SEQUOIADOCK_BENCH_ENGINE"

func TestMain(m *testing.M) {
	if engine := os.Getenv(engineAddressEnv); engine != "" {
		runRelayProcess(engine)
		return
	}
	os.Exit(m.Run())
}

// Routes of a relay process, each of which relays streams in a different way.
const (
	// entryRelay is the entry itself.
	entryRelay = iota
	// copyRelay copies with net/http and flushes after each read.
	copyRelay
	// syscallRelay is one thread that only waits, reads and writes.
	syscallRelay
	// cpuTimeRoute returns the CPU time of the process.
	cpuTimeRoute
	routeCount
)

// runRelayProcess serves each route on its own address, prints the addresses
// and runs until its standard input is closed.
func runRelayProcess(engine string) {
	handlers := map[int]http.Handler{entryRelay: newEntryRelay(engine), copyRelay: newCopyRelay(engine), cpuTimeRoute: http.HandlerFunc(writeCPUTime)}
	for route := range routeCount {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		if route == syscallRelay {
			go serveSyscallRelay(l, engine)
		} else {
			go func() { _ = http.Serve(l, handlers[route]) }()
		}
		fmt.Println(l.Addr())
	}
	_, _ = io.Copy(io.Discard, os.Stdin)
}

func newEntryRelay(engine string) http.Handler {
	cfg := benchConfig()
	cfg.Limits.MaxConnsPerEndpoint = 1000
	e := newEntry(context.Background(), cfg)
	conf := testConfiguration()
	conf.Services[0].Open = true
	conf.Services[0].DeadlineMillis = uint32((10 * time.Minute).Milliseconds())
	e.routes.Store(newRoutes(1, conf))
	now := sqclock.Now()
	var views []*sqrpc.EndpointView
	for i := range 64 {
		// One listener stands for 64 engines, so that no request is queued.
		views = append(views, &sqrpc.EndpointView{
			Id: fmt.Sprint("engine", i), Zone: "a", Address: engine, Kind: "engine", Role: "both", State: stateLive, Models: []string{"m@1"},
		})
	}
	e.fleet.setEndpoints(now, views)
	e.admission.setTeams(now, []sqadmit.Team{sqadmit.NewTeam(sqadmit.TeamConfig{
		Weight: 1, TokensPerSecond: sqadmit.Unbounded, MaxRunning: sqadmit.Unbounded, MaxQueued: sqadmit.Unbounded,
	})})
	e.admission.setPoolLimits(now, e.fleet, e.routes.Load().pools)
	return e.callersHandler()
}

func newCopyRelay(engine string) http.Handler {
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
		buf := make([]byte, 4<<10)
		for {
			n, err := resp.Body.Read(buf)
			_, _ = w.Write(buf[:n])
			if err != nil {
				return
			}
			w.(http.Flusher).Flush()
		}
	})
}

// serveSyscallRelay relays connections with one thread that waits, reads and
// writes.
func serveSyscallRelay(l net.Listener, engine string) {
	epollFD, err := unix.EpollCreate1(0)
	if err != nil {
		panic(err)
	}
	peers := &sync.Map{}
	go forwardConnections(epollFD, peers)
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
			if err := unix.EpollCtl(epollFD, unix.EPOLL_CTL_ADD, fd, &unix.EpollEvent{Events: unix.EPOLLIN, Fd: int32(fd)}); err != nil {
				panic(err)
			}
		}
	}
}

// descriptor returns a duplicate of the connection's file descriptor that the
// runtime's poller does not manage.
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

func forwardConnections(epollFD int, peers *sync.Map) {
	runtime.LockOSThread()
	buf := make([]byte, 4<<10)
	events := make([]unix.EpollEvent, 64)
	for {
		n, err := unix.EpollWait(epollFD, events, -1)
		if err != nil && err != unix.EINTR {
			panic(err)
		}
		for i := range max(0, n) {
			from := int(events[i].Fd)
			to, _ := peers.Load(from)
			if got, err := unix.Read(from, buf); err == nil && got > 0 {
				_, _ = unix.Write(to.(int), buf[:got])
				continue
			}
			_ = unix.Shutdown(to.(int), unix.SHUT_WR)
			_ = unix.Close(from)
		}
	}
}

func writeCPUTime(w http.ResponseWriter, _ *http.Request) {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	fmt.Fprint(w, u.Utime.Nano()+u.Stime.Nano())
}

// relayLoad describes a number of concurrent streams.
type relayLoad struct {
	streams, tokens int
	tokenInterval   time.Duration
	// maxProcs is the GOMAXPROCS of the relay process; "" is no limit. Entry
	// VMs are smaller than the machines that benchmarks run on.
	maxProcs string
}

// tokenEngine streams one token per tick, each in one write.
func tokenEngine(load *relayLoad) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		id := "x"
		if _, rest, ok := strings.Cut(string(body), `"request_id":"`); ok {
			id, _, _ = strings.Cut(rest, `"`)
		}
		w.Header().Set("Content-Type", "text/event-stream")
		t := time.NewTicker(load.tokenInterval)
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

// relayProcess is a running relay process.
type relayProcess struct {
	b         *testing.B
	addresses [routeCount]string
}

func startRelayProcess(b *testing.B, engine, maxProcs string) *relayProcess {
	b.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), engineAddressEnv+"="+engine, "GOMAXPROCS="+maxProcs)
	cmd.Stderr = os.Stderr
	stdin, err := cmd.StdinPipe()
	assert.NilError(b, err)
	stdout, err := cmd.StdoutPipe()
	assert.NilError(b, err)
	assert.NilError(b, cmd.Start())
	b.Cleanup(func() {
		stdin.Close()
		_ = cmd.Wait()
	})
	p := &relayProcess{b: b}
	lines := bufio.NewScanner(stdout)
	for route := range routeCount {
		assert.Assert(b, lines.Scan())
		p.addresses[route] = lines.Text()
	}
	return p
}

// cpuTime returns the CPU time that the process has used.
func (p *relayProcess) cpuTime() time.Duration {
	resp, err := http.Get("http://" + p.addresses[cpuTimeRoute])
	assert.NilError(p.b, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(p.b, err)
	n, err := strconv.ParseInt(string(text), 10, 64)
	assert.NilError(p.b, err)
	return time.Duration(n)
}

// cpuTimePerToken runs the load over one route and returns the CPU time for
// each token.
func (p *relayProcess) cpuTimePerToken(route int, load relayLoad) time.Duration {
	cpuBefore, startedAt := p.cpuTime(), time.Now()
	var wg sync.WaitGroup
	for i := range load.streams {
		wg.Go(func() {
			time.Sleep(load.tokenInterval * time.Duration(i) / time.Duration(load.streams))
			assert.Check(p.b, p.countStreamTokens(route) == load.tokens)
		})
	}
	wg.Wait()
	// Queued streams would not put the same load on the process.
	assert.Check(p.b, time.Since(startedAt) < 2*load.tokenInterval*time.Duration(load.tokens))
	return (p.cpuTime() - cpuBefore) / time.Duration(load.streams*load.tokens)
}

// countStreamTokens requests one stream and returns the number of its tokens.
func (p *relayProcess) countStreamTokens(route int) int {
	resp, err := http.Post("http://"+p.addresses[route]+"/v1/chat/completions", "application/json",
		strings.NewReader(`{"model":"m","stream":true,"messages":[{"role":"user","content":"hello"}]}`))
	if !assert.Check(p.b, err == nil) {
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

// BenchmarkRelayProcess measures the CPU time of a whole process for each
// relayed token. It alternates between three routes in one run: the entry, a
// plain copy with net/http, and plain system calls.
func BenchmarkRelayProcess(b *testing.B) {
	for _, load := range []relayLoad{
		{streams: 1, tokens: 400, tokenInterval: 5 * time.Millisecond},
		{streams: 200, tokens: 100, tokenInterval: 20 * time.Millisecond},
		{streams: 200, tokens: 100, tokenInterval: 20 * time.Millisecond, maxProcs: "2"},
	} {
		b.Run(strconv.Itoa(load.streams)+"Streams"+load.maxProcs, func(b *testing.B) {
			engine := httptest.NewServer(tokenEngine(&load))
			defer engine.Close()
			p := startRelayProcess(b, engine.Listener.Addr().String(), load.maxProcs)
			var sums [routeCount]time.Duration
			for b.Loop() {
				for route := range cpuTimeRoute {
					sums[route] += p.cpuTimePerToken(route, load)
				}
			}
			meanMicros := func(route int) float64 { return float64(sums[route].Nanoseconds()) / float64(b.N) / 1000 }
			b.ReportMetric(meanMicros(entryRelay), "entry-µs/token")
			b.ReportMetric(meanMicros(copyRelay), "copy-µs/token")
			b.ReportMetric(meanMicros(syscallRelay), "calls-µs/token")
			b.ReportMetric(meanMicros(entryRelay)/meanMicros(copyRelay), "entryOfCopy")
			b.ReportMetric(0, "ns/op")
		})
	}
}
