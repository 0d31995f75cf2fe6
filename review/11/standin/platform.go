package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// listLag is lagMs of the site file.
const listLag = 800 * time.Millisecond

// entry is one worker of the platform's list.
type entry struct {
	ID              string  `json:"id"`
	Service         string  `json:"service"`
	Address         string  `json:"address"`
	Zone            string  `json:"zone"`
	Version         string  `json:"version"`
	Slots           int     `json:"slots"`
	State           string  `json:"state"`
	ColdRemainingMs float64 `json:"coldRemainingMs"`
	Stage           string  `json:"stage"`
	Models          []model `json:"models"`
}

// model is a model that a worker serves.
type model struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// snapshot is the list from a moment on.
type snapshot struct {
	at      time.Time
	entries []entry
}

// platform lists workers with a lag and takes usage reports.
type platform struct {
	record *record
	mu     sync.Mutex
	// entries is the true state, snapshots what the list shows once listLag has passed.
	entries   []entry
	snapshots []snapshot
}

func startPlatform(r *record, address string) (*platform, error) {
	p := &platform{record: r}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(ln, p) }()
	return p, nil
}

// set adds the worker, or replaces the entry with its id.
func (p *platform) set(e entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []entry{}
	known := false
	for _, old := range p.entries {
		if old.ID == e.ID {
			old, known = e, true
		}
		list = append(list, old)
	}
	if !known {
		list = append(list, e)
	}
	p.change(list)
	p.record.printf("platform: %s of %s, version %s, is %s at %s", e.ID, e.Service, e.Version, e.State, e.Address)
}

// remove takes a worker off the list.
func (p *platform) remove(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []entry{}
	for _, old := range p.entries {
		if old.ID != id {
			list = append(list, old)
		}
	}
	p.change(list)
	p.record.printf("platform: %s is gone", id)
}

func (p *platform) change(list []entry) {
	p.entries = list
	p.snapshots = append(p.snapshots, snapshot{time.Now(), list})
}

// listed returns the list as of listLag ago.
func (p *platform) listed() []entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []entry{}
	for _, s := range p.snapshots {
		if time.Since(s.at) >= listLag {
			list = s.entries
		}
	}
	return list
}

func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/instances":
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"instances": p.listed(), "next": nil})
	default:
		w.WriteHeader(http.StatusOK)
	}
}
