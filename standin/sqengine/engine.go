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

// Engine is a running engine. It is safe for concurrent use.
type Engine struct {
	cfg    Config
	faults *sqfault.Injector
	server *sqserver.Server

	mu       sync.Mutex
	role     string
	changing bool
	models   []string
	sessions map[string]*session
	active   []*session
	queue    []*session
	arrivals uint64
	cache    *cache
	loads    []load
	orders   orderBook
	exports  map[string]export
	// wake closes when work arrives.
	wake    chan struct{}
	stopped chan struct{}
	// down is true from a crash to the restart.
	down bool
}

// Start opens the port "ip:port" and runs the engine.
func Start(cfg Config, listen string) (*Engine, error) {
	e := &Engine{cfg: cfg.withDefaults(), faults: sqfault.NewInjector()}
	e.cache = newCache(e.cfg.Limits.CacheBlocks, e.cfg.Limits.LostEventPercent, e.cfg.Seed)
	e.reset()
	server, err := sqserver.Start(sqserver.Config{Listen: listen, Handler: e.router()})
	if err != nil {
		return nil, err
	}
	e.server = server
	go e.run()
	return e, nil
}

// reset puts everything that a process loses into its first state.
func (e *Engine) reset() {
	e.role = e.cfg.Role
	e.changing = false
	e.models = append([]string{}, e.cfg.Models...)
	e.sessions = map[string]*session{}
	e.active = nil
	e.queue = nil
	e.loads = nil
	e.orders = newOrderBook()
	e.exports = map[string]export{}
	e.wake = make(chan struct{})
	e.stopped = make(chan struct{})
	e.down = false
}

// Address returns the "ip:port" that the engine serves.
func (e *Engine) Address() string { return e.server.Address() }

// Name returns the endpoint's identity.
func (e *Engine) Name() string { return e.cfg.Name }

// Crash ends the engine as a kill does: every connection breaks and all memory
// is lost.
func (e *Engine) Crash() {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.down = true
	close(e.stopped)
	for _, s := range append(append([]*session{}, e.active...), e.queue...) {
		e.record(entryOf(s, sqrecord.RequestAborted, "crash"))
		e.end(s, endedCut)
	}
	e.mu.Unlock()
	e.server.Crash()
}

// Restart brings a crashed engine back at its address with an empty cache.
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
	go e.run()
	return nil
}

// Stop ends the engine in order, and by force when ctx is over.
func (e *Engine) Stop(ctx context.Context) {
	e.server.Shutdown(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.down {
		e.down = true
		close(e.stopped)
	}
}

// InFlight returns the number of requests that run or wait.
func (e *Engine) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.active) + len(e.queue)
}

// enqueue adds a session that has work left; the lock is held.
func (e *Engine) enqueue(s *session) {
	e.arrivals++
	s.arrived = e.arrivals
	e.queue = append(e.queue, s)
	close(e.wake)
	e.wake = make(chan struct{})
}

// loaded reports whether the engine has a model, given with or without its
// version; the lock is held.
func (e *Engine) loaded(model string) bool {
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

func entryOf(s *session, kind, detail string) sqrecord.Entry {
	return sqrecord.Entry{
		Kind: kind, RequestID: s.id, Position: s.position,
		PromptTokens: s.prompt, CachedTokens: s.cached, OutputTokens: s.position, Detail: detail,
	}
}
