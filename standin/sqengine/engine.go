package sqengine

import (
	"context"
	"strings"
	"sync"
	"time"

	"sequoiadock/standin/sqfault"
	"sequoiadock/standin/sqrecord"
	"sequoiadock/standin/sqserver"
)

// Engine is a running simulated engine. It is safe for concurrent use.
type Engine struct {
	cfg    Config
	faults *sqfault.Injector
	server *sqserver.Server

	mu           sync.Mutex
	role         string
	changingRole bool
	models       []string
	sessions     map[string]*session
	running      []*session
	queue        []*session
	arrivalCount uint64
	cache        *cache
	loadReports  []loadReport
	orders       orderTracker
	// lastArrival closes when the order that came last is handled.
	lastArrival chan struct{}
	exports     map[string]kvExport
	// workArrived closes when a session is queued.
	workArrived chan struct{}
	stopped     chan struct{}
	// down is true from a crash to the restart.
	down bool
}

// Start runs an engine that listens on "ip:port".
func Start(cfg Config, listen string) (*Engine, error) {
	e := &Engine{cfg: cfg.withDefaults(), faults: sqfault.NewInjector()}
	e.cache = newCache(e.cfg.Limits.CacheBlocks, e.cfg.Limits.LostEventPercent, e.cfg.Seed)
	e.reset()
	server, err := sqserver.Start(sqserver.Config{Listen: listen, Handler: e.router()})
	if err != nil {
		return nil, err
	}
	e.server = server
	go e.runSteps()
	return e, nil
}

// reset sets all state that a process loses in a crash to its initial value.
func (e *Engine) reset() {
	e.role = e.cfg.Role
	e.changingRole = false
	e.models = append([]string{}, e.cfg.Models...)
	e.sessions = map[string]*session{}
	e.running = nil
	e.queue = nil
	e.loadReports = nil
	e.orders = newOrderTracker()
	e.exports = map[string]kvExport{}
	e.workArrived = make(chan struct{})
	e.stopped = make(chan struct{})
	e.down = false
}

// Address returns the "ip:port" that the engine listens on.
func (e *Engine) Address() string { return e.server.Address() }

// Name returns the endpoint's identity.
func (e *Engine) Name() string { return e.cfg.Name }

// Crash stops the engine as if its process was killed: every connection is
// reset and all state is lost.
func (e *Engine) Crash() {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.down = true
	close(e.stopped)
	for _, s := range append(append([]*session{}, e.running...), e.queue...) {
		e.record(sessionEntry(s, sqrecord.RequestAborted, "crash"))
		e.endSession(s, endedAborted)
	}
	e.mu.Unlock()
	e.server.Crash()
}

// Restart starts a crashed engine again at its address with an empty cache.
func (e *Engine) Restart() error {
	e.mu.Lock()
	if !e.down {
		e.mu.Unlock()
		return nil
	}
	e.cache.clear(time.Now())
	e.reset()
	e.mu.Unlock()
	if err := e.server.Restart(); err != nil {
		return err
	}
	go e.runSteps()
	return nil
}

// Stop shuts the engine down gracefully, and closes all connections when ctx is
// done.
func (e *Engine) Stop(ctx context.Context) {
	e.server.Shutdown(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.down {
		e.down = true
		close(e.stopped)
	}
}

// InFlight returns the number of running and queued requests.
func (e *Engine) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running) + len(e.queue)
}

// enqueue adds an unfinished session to the queue; the lock is held.
func (e *Engine) enqueue(s *session) {
	e.arrivalCount++
	s.arrivalNumber = e.arrivalCount
	e.queue = append(e.queue, s)
	close(e.workArrived)
	e.workArrived = make(chan struct{})
}

// hasModel reports whether the engine has a model, given with or without its
// version; the lock is held.
func (e *Engine) hasModel(model string) bool {
	for _, m := range e.models {
		if m == model || strings.HasPrefix(m, model+"@") {
			return true
		}
	}
	return false
}

func (e *Engine) record(r sqrecord.Entry) {
	if e.cfg.Record == nil {
		return
	}
	r.Source = e.cfg.Name
	e.cfg.Record.Append(r)
}

func sessionEntry(s *session, kind, detail string) sqrecord.Entry {
	return sqrecord.Entry{
		Kind: kind, RequestID: s.id, Position: s.position,
		PromptTokens: s.promptTokens, CachedTokens: s.cachedTokens, OutputTokens: s.position, Detail: detail,
	}
}
