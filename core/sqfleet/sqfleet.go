// Package sqfleet keeps the holder's table of endpoints: what the platform
// lists, what the engines say of themselves, and what is being drained.
package sqfleet

import (
	"sort"
	"time"
)

// State is what entries may do with an endpoint.
type State string

// The states of an endpoint.
const (
	// Live endpoints take work.
	Live State = "live"
	// Draining endpoints finish what they have.
	Draining State = "draining"
	// Leaving endpoints are being withdrawn by the platform.
	Leaving State = "leaving"
)

// EndpointConfig holds what is known of one endpoint.
type EndpointConfig struct {
	ID      string
	Zone    string
	Address string
	// Kind is "engine" or the name of a plain service.
	Kind           string
	Role           string
	Cheap          bool
	HonoursFencing bool
	// Models are the "model@version" names that an engine has loaded.
	Models []string
	State  State
	// LeavesUnixNano is when the platform takes the endpoint, in Unix nanoseconds.
	LeavesUnixNano int64
}

// Endpoint is one row of the table.
type Endpoint struct {
	cfg     EndpointConfig
	listed  time.Time
	drained bool
	// drainSince is the revision in which the endpoint began to drain.
	drainSince uint64
	firstSeen  time.Time
	reported   bool
	load       Load
}

// ID returns the platform's name of the VM.
func (e Endpoint) ID() string { return e.cfg.ID }

// Zone returns the availability zone.
func (e Endpoint) Zone() string { return e.cfg.Zone }

// Address returns where the endpoint listens.
func (e Endpoint) Address() string { return e.cfg.Address }

// Kind returns "engine" or the name of a plain service.
func (e Endpoint) Kind() string { return e.cfg.Kind }

// IsEngine returns whether the endpoint is an engine.
func (e Endpoint) IsEngine() bool { return e.cfg.Kind == EngineKind }

// Role returns an engine's role.
func (e Endpoint) Role() string { return e.cfg.Role }

// Cheap returns whether the platform may reclaim the endpoint.
func (e Endpoint) Cheap() bool { return e.cfg.Cheap }

// HonoursFencing returns whether the engine refuses old fencing numbers.
func (e Endpoint) HonoursFencing() bool { return e.cfg.HonoursFencing }

// Models returns the models that an engine has loaded.
func (e Endpoint) Models() []string { return e.cfg.Models }

// LeavesUnixNano returns when the platform takes the endpoint, in Unix nanoseconds.
func (e Endpoint) LeavesUnixNano() int64 { return e.cfg.LeavesUnixNano }

// DrainRevision returns the revision in which the endpoint began to drain.
func (e Endpoint) DrainRevision() uint64 { return e.drainSince }

// FirstListed returns when the platform first listed the endpoint.
func (e Endpoint) FirstListed() time.Time { return e.firstSeen }

// Reported returns whether the engine has answered since it was listed.
func (e Endpoint) Reported() bool { return e.reported }

// Load returns the engine's last load report.
func (e Endpoint) Load() Load { return e.load }

// State returns what entries may do with the endpoint.
func (e Endpoint) State() State {
	if e.cfg.State == Leaving {
		return Leaving
	}
	if e.drained {
		return Draining
	}
	return Live
}

// EngineKind is the kind of endpoints that run models.
const EngineKind = "engine"

// Load is an engine's own report, as late as it came.
type Load struct {
	Running       uint32
	Queued        uint32
	PrefillTokens uint64
	DecodeTokens  uint64
}

// StatusConfig holds what an engine says of itself.
type StatusConfig struct {
	Role           string
	Models         []string
	HonoursFencing bool
	Load           Load
}

// Config configures a Table.
type Config struct {
	// Retention is how long an endpoint that the platform no longer lists stays.
	Retention time.Duration
}

// Table is the table of endpoints.
type Table struct {
	cfg       Config
	revision  uint64
	endpoints map[string]*Endpoint
}

// New returns an empty table. Revisions start from base, which must be larger
// than any revision of an earlier holder.
func New(cfg Config, base uint64) *Table {
	return &Table{cfg: cfg, revision: base, endpoints: make(map[string]*Endpoint)}
}

// Revision grows with each change that entries must hear of.
func (t *Table) Revision() uint64 { return t.revision }

// ApplyList takes over a list of the platform. Endpoints that it no longer has are
// removed after Keep, since lists come late and may miss a VM once.
func (t *Table) ApplyList(now time.Time, list []EndpointConfig) {
	for _, cfg := range list {
		t.listOne(now, cfg)
	}
	for id, e := range t.endpoints {
		if now.Sub(e.listed) > t.cfg.Retention {
			delete(t.endpoints, id)
			t.revision++
		}
	}
}

func (t *Table) listOne(now time.Time, cfg EndpointConfig) {
	e := t.endpoints[cfg.ID]
	if e == nil || e.cfg.Address != cfg.Address {
		t.endpoints[cfg.ID] = &Endpoint{cfg: cfg, listed: now, firstSeen: now}
		t.revision++
		return
	}
	e.listed = now
	if e.cfg.State != cfg.State || e.cfg.LeavesUnixNano != cfg.LeavesUnixNano {
		e.cfg.State = cfg.State
		e.cfg.LeavesUnixNano = cfg.LeavesUnixNano
		t.revision++
	}
}

// ApplyStatus takes over what an engine says of itself.
func (t *Table) ApplyStatus(id string, s StatusConfig) {
	e := t.endpoints[id]
	if e == nil {
		return
	}
	e.load = s.Load
	if e.reported && e.cfg.Role == s.Role && equal(e.cfg.Models, s.Models) {
		return
	}
	e.reported = true
	e.cfg.Role = s.Role
	e.cfg.Models = s.Models
	e.cfg.HonoursFencing = s.HonoursFencing
	t.revision++
}

// SetDraining sets which endpoints take no new work.
func (t *Table) SetDraining(want func(id string) bool) {
	for id, e := range t.endpoints {
		drained := want(id)
		if drained == e.drained {
			continue
		}
		e.drained = drained
		t.revision++
		e.drainSince = t.revision
	}
}

// Find returns the endpoint of an identity.
func (t *Table) Find(id string) (Endpoint, bool) {
	e := t.endpoints[id]
	if e == nil {
		return Endpoint{}, false
	}
	return *e, true
}

// All returns every endpoint, by identity.
func (t *Table) All() []Endpoint {
	all := make([]Endpoint, 0, len(t.endpoints))
	for _, e := range t.endpoints {
		all = append(all, *e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID() < all[j].ID() })
	return all
}

func equal(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
