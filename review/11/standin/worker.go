package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// workerConfig describes one start of a worker.
type workerConfig struct {
	id, service, address, zone, version, stage string
	slots                                      int
	// events and gap say what a stream consists of.
	events int
	gap    time.Duration
	// crashPart is a part of prompts that crashes the worker once it begins to write an
	// answer on it, and onCrash is called then. onHarmful is called when a request with it
	// arrives.
	crashPart string
	onCrash   func(w *worker)
	onHarmful func()
}

// worker is a stand-in for a server of the platform.
type worker struct {
	cfg      workerConfig
	platform *platform
	record   *record
	server   *http.Server
	cancel   context.CancelFunc
	ctx      context.Context
	running  atomic.Int64
	crash    sync.Once
	born     time.Time
}

// startWorker starts a worker and lists it as ready.
func startWorker(p *platform, cfg workerConfig) (*worker, error) {
	w := &worker{cfg: cfg, platform: p, record: p.record, born: time.Now()}
	ln, err := net.Listen("tcp", cfg.address)
	if err != nil {
		return nil, err
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.server = &http.Server{Handler: w, IdleTimeout: 10 * time.Second}
	go func() { _ = w.server.Serve(ln) }()
	p.set(w.entry("ready"))
	return w, nil
}

func (w *worker) entry(state string) entry {
	return entry{ID: w.cfg.id, Service: w.cfg.service, Address: w.cfg.address, Zone: w.cfg.zone, Version: w.cfg.version, Slots: w.cfg.slots, State: state,
		Stage: w.cfg.stage, Models: []model{{Name: "m", Version: 1, Adapters: []string{}}}}
}

// end ends the worker's process: all its connections are closed.
func (w *worker) end() {
	w.record.printf("worker %s ends with %d streams running", w.cfg.id, w.running.Load())
	w.cancel()
	_ = w.server.Close()
}

func (w *worker) ServeHTTP(res http.ResponseWriter, req *http.Request) {
	h := res.Header()
	if id := req.Header.Get("Sequoiadock-Request-Id"); id != "" {
		h.Set("Sequoiadock-Request-Id", id)
	}
	h.Set("Sequoiadock-Instance-Load", fmt.Sprintf("%d,0,%d", w.running.Load(), w.cfg.slots))
	h.Set("Keep-Alive", "timeout=10")
	if expected := req.Header.Get("Sequoiadock-Expect-Instance"); expected != "" && expected != w.cfg.id {
		h.Set("Sequoiadock-Not-Executed", "1")
		res.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case req.Method == http.MethodGet && req.URL.Path == "/health":
		h.Set("Sequoiadock-Instance-Id", w.cfg.id)
		return
	case req.Method == http.MethodGet && req.URL.Path == "/sequoiadock/report":
		w.report(res)
		return
	case strings.HasPrefix(req.URL.Path, "/sequoiadock/"):
		// The scenarios need no orders and no handles.
		res.WriteHeader(http.StatusBadRequest)
		return
	case w.cfg.stage == "prefill", req.Header.Get("Sequoiadock-Serving-Stage") == "prefill":
		h.Set("Sequoiadock-Not-Executed", "1")
		res.WriteHeader(http.StatusMisdirectedRequest)
		return
	case req.Header.Get("Sequoiadock-Request-Id") == "":
		h.Set("Sequoiadock-Not-Executed", "1")
		res.WriteHeader(http.StatusBadRequest)
		return
	}
	body, _ := io.ReadAll(req.Body)
	if string(body) == harmfulBody {
		req.Header.Set("Sequoiadock-Prefix-Hash", deadlyPart+":")
	}
	if w.isHarmful(req) {
		w.cfg.onHarmful()
	}
	if w.running.Add(1) > int64(w.cfg.slots) {
		w.running.Add(-1)
		h.Set("Sequoiadock-Not-Executed", "1")
		res.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.running.Add(-1)
	w.stream(res, req)
}

// isHarmful reports whether the prompt has the part that crashes the worker.
func (w *worker) isHarmful(req *http.Request) bool {
	return w.cfg.crashPart != "" && strings.Contains(req.Header.Get("Sequoiadock-Prefix-Hash"), w.cfg.crashPart+":")
}

// report tells the worker's state.
func (w *worker) report(res http.ResponseWriter) {
	res.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(res).Encode(map[string]any{
		"stage": w.cfg.stage, "models": w.entry("").Models, "busy": false, "sequence": 0, "waiting": 0, "running": w.running.Load(),
		"kvUsed": 0, "kvTotal": 354082, "handles": 0, "born": w.born.UnixMilli(),
	})
}

// stream writes the events after Last-Event-Id. Each names the worker and its version.
func (w *worker) stream(res http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Sequoiadock-Request-Id")
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	w.record.printf("worker %s %s runs %s after event %d", w.cfg.id, w.cfg.version, id, last)
	h := res.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Sequoiadock-Server-Signature", "sig."+w.cfg.id+"."+id)
	flush := http.NewResponseController(res)
	for n := last + 1; n <= w.cfg.events; n++ {
		select {
		case <-time.After(w.cfg.gap):
		case <-req.Context().Done():
			w.record.printf("worker %s drops %s", w.cfg.id, id)
			panic(http.ErrAbortHandler)
		case <-w.ctx.Done():
			panic(http.ErrAbortHandler)
		}
		if w.isHarmful(req) {
			w.crash.Do(func() {
				w.record.printf("worker %s crashes on %s", w.cfg.id, id)
				w.end()
				w.cfg.onCrash(w)
			})
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(res, "id: %d\ndata: %s %s\n\n", n, w.cfg.id, w.cfg.version); err != nil {
			panic(http.ErrAbortHandler)
		}
		_ = flush.Flush()
	}
}
