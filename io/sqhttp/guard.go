package sqhttp

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sequoiadock/core/sqevent"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqlog"
	"sequoiadock/io/sqmemory"
	"sequoiadock/io/sqmeter"
)

// How a process divides its memory. Its heap contains the budget, the buffers of connections,
// tables and garbage; the kernel's receive buffers and the program itself come on top.
const (
	// gcLimitPercent is the size of the process, in percent of its memory, above which the
	// garbage collector does all it can.
	gcLimitPercent = 68
	// budgetPercent is for requests and responses, connectionPercent for open connections
	// with what the kernel holds for them.
	budgetPercent     = 28
	connectionPercent = 32
	// connectionBytes is what an open connection takes besides the kernel's receive buffer: the
	// stack of its goroutine and two buffers of 4 KB.
	connectionBytes = 20 << 10
	// descriptorPercent is the part of the descriptors for accepted connections. The rest
	// is for connections to others and for files.
	descriptorPercent = 50
	// minConnections is the smallest limit of a listener's connections.
	minConnections = 16
	// requestBytes is what each request takes besides its body: its headers, the goroutines
	// that handle it, the buffers of its stream and its connection to an endpoint (48 KB), and
	// what the kernel usually holds of a response that is read slowly (64 KB).
	requestBytes = 112 << 10
)

const (
	// defaultMemoryBytes and defaultMaxDescriptors stand for settings that are 0.
	defaultMemoryBytes    = 128 << 20
	defaultMaxDescriptors = 4096
	// eventInterval is the shortest time between two events about refused callers.
	eventInterval = time.Second
)

// GuardConfig configures a guard.
type GuardConfig struct {
	// MemoryBytes is the memory that the process may use, and MaxDescriptors how many
	// descriptors it may have open. 0 stands for the default.
	MemoryBytes    int64
	MaxDescriptors int
	Metrics        *metrics.Set
	Log            *sqlog.Log
}

// Guard bounds the memory and the connections of all HTTP servers of a process. It is safe
// for concurrent use.
type Guard struct {
	cfg    GuardConfig
	budget *sqmemory.Budget

	mu          sync.Mutex
	eventAt     time.Time
	unreported  int
	hasReported bool
}

// NewGuard returns a guard without servers.
func NewGuard(cfg GuardConfig) *Guard {
	if cfg.MemoryBytes == 0 {
		cfg.MemoryBytes = defaultMemoryBytes
	}
	if cfg.MaxDescriptors == 0 {
		cfg.MaxDescriptors = defaultMaxDescriptors
	}
	g := &Guard{cfg: cfg, budget: sqmemory.NewBudget(sqmemory.BudgetConfig{Limit: cfg.MemoryBytes * budgetPercent / 100})}
	cfg.Metrics.NewGauge("sequoiadock_memory_used_bytes", func() float64 { return float64(g.budget.UsedBytes()) })
	cfg.Metrics.NewGauge("sequoiadock_memory_limit_bytes", func() float64 { return float64(g.budget.Limit()) })
	return g
}

// GCLimit returns the size of the process above which the garbage collector does all it can.
func (g *Guard) GCLimit() int64 { return g.cfg.MemoryBytes * gcLimitPercent / 100 }

// Budget returns the memory budget of the process.
func (g *Guard) Budget() *sqmemory.Budget { return g.budget }

// ServerConfig configures a server.
type ServerConfig struct {
	// Name is that of the listener in events and metrics.
	Name    string
	Handler http.Handler
	// HeaderTimeout, ReadTimeout, WriteTimeout and IdleTimeout are those of http.Server.
	HeaderTimeout, ReadTimeout, WriteTimeout, IdleTimeout time.Duration
	MaxHeaderBytes                                        int
	// ConnectionPercent is the part of the process's connections that the listener gets,
	// and Buffers are those with which it listens.
	ConnectionPercent int
	Buffers           SocketBuffers
	// SharePercent is the part of the budget that one connection may hold.
	SharePercent int
	// BodyCost is how many bytes the handler takes for each byte of a body that it reads.
	// 0 means that it reserves the memory itself, with ReadBody.
	BodyCost int
	// Traffic counts the bytes of all connections, unless it is nil.
	Traffic *sqmeter.Traffic
}

// Server is an HTTP server within the limits of a guard.
type Server struct {
	*http.Server
	guard          *Guard
	cfg            ServerConfig
	maxConnections int
	share          int64

	evicted, refusedRequests, refusedConnections *metrics.Counter

	mu   sync.Mutex
	open int
}

// NewServer returns a server within the limits of the guard.
func (g *Guard) NewServer(cfg ServerConfig) *Server {
	perConnection := int64(connectionBytes + 2*cfg.Buffers.Receive)
	byMemory := g.cfg.MemoryBytes * connectionPercent / 100 * int64(cfg.ConnectionPercent) / 100 / perConnection
	byDescriptors := int64(g.cfg.MaxDescriptors) * descriptorPercent / 100 * int64(cfg.ConnectionPercent) / 100
	s := &Server{
		guard: g, cfg: cfg, share: g.budget.Limit() * int64(cfg.SharePercent) / 100,
		maxConnections: int(max(minConnections, min(byMemory, byDescriptors))),
	}
	s.Server = &http.Server{
		Handler: guardedHandler{server: s, next: cfg.Handler}, ReadHeaderTimeout: cfg.HeaderTimeout, ReadTimeout: cfg.ReadTimeout,
		WriteTimeout: cfg.WriteTimeout, IdleTimeout: cfg.IdleTimeout, MaxHeaderBytes: cfg.MaxHeaderBytes,
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context { return context.WithValue(ctx, connKey{}, nc) },
		ConnState:   func(nc net.Conn, state http.ConnState) { nc.(*conn).setState(state) },
		// The lines of net/http are no numbered events, and quote what callers send.
		ErrorLog: log.New(io.Discard, "", 0),
	}
	name := `{listener="` + cfg.Name + `"`
	set := g.cfg.Metrics
	s.evicted = set.NewCounter("sequoiadock_memory_refusals" + name + `,reason="evicted"}`)
	s.refusedRequests = set.NewCounter("sequoiadock_memory_refusals" + name + `,reason="memory"}`)
	s.refusedConnections = set.NewCounter("sequoiadock_memory_refusals" + name + `,reason="connections"}`)
	set.NewGauge("sequoiadock_listener_connections"+name+"}", func() float64 { return float64(s.OpenConnections()) })
	set.NewGauge("sequoiadock_listener_connections_limit"+name+"}", func() float64 { return float64(s.maxConnections) })
	return s
}

// Serve serves the connections of a TCP listener until the server is closed.
func (s *Server) Serve(ln net.Listener) error {
	return s.Server.Serve(&listener{Listener: ln, server: s})
}

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// report counts a caller that was refused or closed and logs an event about it, at most one
// in eventInterval.
func (s *Server) report(counter *metrics.Counter, address net.Addr, reason string) {
	counter.Inc()
	g := s.guard
	now := sqclock.Now()
	g.mu.Lock()
	if g.hasReported && now.Sub(g.eventAt) < eventInterval {
		g.unreported++
		g.mu.Unlock()
		return
	}
	unreported := g.unreported
	g.eventAt, g.unreported, g.hasReported = now, 0, true
	g.mu.Unlock()
	if g.cfg.Log != nil {
		g.cfg.Log.Event(sqevent.CallerOverMemory, s.cfg.Name, address.String(), reason, g.budget.UsedBytes(), g.budget.Limit(), s.OpenConnections(), s.maxConnections, unreported)
	}
}
