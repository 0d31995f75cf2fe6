package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
)

// platform is the stand-in of the platform's API. It checks no fencing tokens, as on
// installations where requireFence is false.
type platform struct {
	lab      *lab
	server   *http.Server
	listener net.Listener

	mu      sync.Mutex
	workers []*worker
	// foreignEntry is the raw text of an entry of another writer, or "".
	foreignEntry string
	// withoutVersion holds the workers whose entries come from another writer and lack the
	// field version.
	withoutVersion map[*worker]bool
}

func startPlatform(l *lab, address string) (*platform, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &platform{lab: l, listener: ln}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", p.serveList)
	mux.HandleFunc("POST /usage", p.serveDuty)
	mux.HandleFunc("POST /scale", p.serveDuty)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(ln) }()
	return p, nil
}

func (p *platform) close() {
	_ = p.server.Close()
	p.mu.Lock()
	workers := p.workers
	p.mu.Unlock()
	for _, w := range workers {
		w.stop()
	}
}

// listEntry is one entry of the list of workers.
type listEntry struct {
	ID              string `json:"id"`
	Service         string `json:"service"`
	Address         string `json:"address"`
	Zone            string `json:"zone"`
	Version         string `json:"version,omitempty"`
	Slots           int    `json:"slots"`
	State           string `json:"state"`
	ColdRemainingMs int    `json:"coldRemainingMs"`
}

// serveList serves the whole list as one page.
func (p *platform) serveList(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var entries []string
	for _, wk := range p.workers {
		e := wk.listEntry()
		if p.withoutVersion[wk] {
			e.Version = ""
		}
		entry, err := json.Marshal(e)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		entries = append(entries, string(entry))
	}
	if p.foreignEntry != "" {
		entries = append(entries, p.foreignEntry)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(`{"instances":[` + strings.Join(entries, ",") + `],"next":null}`))
}

func (p *platform) serveDuty(w http.ResponseWriter, r *http.Request) {
	p.lab.record("platform: %s from %s, token %s", r.URL.Path, r.Header.Get("Sequoiadock-Lease-Holder"), r.Header.Get("Sequoiadock-Fencing-Token"))
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte("{}"))
}

// add starts a worker and lists it.
func (p *platform) add(w *worker) error {
	if err := w.start(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.workers = append(p.workers, w)
	return nil
}
