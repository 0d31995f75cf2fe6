// Package sqfleet keeps the lease holder's table of endpoints. It combines the
// platform's list, the engines' status reports and the set of endpoints to drain.
package sqfleet

import (
	"sort"
	"time"
)

// State tells entries whether an endpoint takes new requests.
type State string

// The states of an endpoint.
const (
	// Live endpoints take new requests.
	Live State = "live"
	// Draining endpoints finish their running requests and take no new ones.
	Draining State = "draining"
	// Leaving endpoints are being reclaimed by the platform.
	Leaving State = "leaving"
)

// EndpointConfig holds the attributes of one endpoint.
type EndpointConfig struct {
	// ID is the platform's name of the VM.
	ID      string
	Zone    string
	Address string
	// Kind is "engine" or the name of a plain service.
	Kind string
	Role string
	// Spot is true for a spot endpoint, which the platform may reclaim.
	Spot bool
	// HonoursFencing is true if the engine rejects stale fencing tokens.
	HonoursFencing bool
	// Models are the "model@version" names that an engine has loaded.
	Models []string
	State  State
	// LeavesUnixNano is when the platform reclaims the endpoint, in Unix
	// nanoseconds.
	LeavesUnixNano int64
}

// Endpoint is one row of the table.
type Endpoint struct {
	cfg EndpointConfig
	// lastListed is when the platform last listed the endpoint.
	lastListed time.Time
	draining   bool
	// drainRevision is the revision in which draining last changed, or 0.
	drainRevision uint64
	firstListed   time.Time
	// reported is true once the engine has answered a status request.
	reported bool
	load     LoadReport
}

// ID returns the platform's name of the VM.
func (e Endpoint) ID() string { return e.cfg.ID }

// Zone returns the availability zone.
func (e Endpoint) Zone() string { return e.cfg.Zone }

// Address returns the address on which the endpoint listens.
func (e Endpoint) Address() string { return e.cfg.Address }

// Kind returns "engine" or the name of a plain service.
func (e Endpoint) Kind() string { return e.cfg.Kind }

// IsEngine returns whether the endpoint is an engine.
func (e Endpoint) IsEngine() bool { return e.cfg.Kind == KindEngine }

// Role returns an engine's role.
func (e Endpoint) Role() string { return e.cfg.Role }

// Spot returns whether the endpoint is a spot endpoint, which the platform may
// reclaim.
func (e Endpoint) Spot() bool { return e.cfg.Spot }

// HonoursFencing returns whether the engine rejects stale fencing tokens.
func (e Endpoint) HonoursFencing() bool { return e.cfg.HonoursFencing }

// Models returns the "model@version" names that an engine has loaded.
func (e Endpoint) Models() []string { return e.cfg.Models }

// LeavesUnixNano returns when the platform reclaims the endpoint, in Unix
// nanoseconds.
func (e Endpoint) LeavesUnixNano() int64 { return e.cfg.LeavesUnixNano }

// DrainRevision returns the revision in which the endpoint last started or stopped
// draining, or 0 if it never did.
func (e Endpoint) DrainRevision() uint64 { return e.drainRevision }

// FirstListed returns when the platform first listed the endpoint at its current
// address.
func (e Endpoint) FirstListed() time.Time { return e.firstListed }

// Reported returns whether the engine has answered a status request since it was
// first listed.
func (e Endpoint) Reported() bool { return e.reported }

// Load returns the load in the engine's last status report.
func (e Endpoint) Load() LoadReport { return e.load }

// State returns the state that entries see. Leaving takes precedence over Draining.
func (e Endpoint) State() State {
	if e.cfg.State == Leaving {
		return Leaving
	}
	if e.draining {
		return Draining
	}
	return Live
}

// KindEngine is the kind of an endpoint that runs models.
const KindEngine = "engine"

// LoadReport holds an engine's numbers of requests and of tokens still to be processed,
// as of its last status report.
type LoadReport struct {
	Running       uint32
	Queued        uint32
	PrefillTokens uint64
	DecodeTokens  uint64
}

// EngineStatus is an engine's status report.
type EngineStatus struct {
	Role           string
	Models         []string
	HonoursFencing bool
	Load           LoadReport
}

// Config configures a Table.
type Config struct {
	// Retention is how long an endpoint stays in the table after the platform last
	// listed it.
	Retention time.Duration
}

// Table is the table of endpoints. It is not safe for concurrent use.
type Table struct {
	cfg       Config
	revision  uint64
	endpoints map[string]*Endpoint
}

// New returns an empty table. Revisions start from base, which must be larger than
// any revision of an earlier lease holder.
func New(cfg Config, base uint64) *Table {
	return &Table{cfg: cfg, revision: base, endpoints: make(map[string]*Endpoint)}
}

// Revision returns a number that increases with each change that entries must
// receive.
func (t *Table) Revision() uint64 { return t.revision }

// ApplyList updates the table from a list of the platform. Endpoints that are no
// longer listed are removed after the retention time and not at once, because
// lists arrive late and may miss a VM once.
func (t *Table) ApplyList(now time.Time, list []EndpointConfig) {
	for _, cfg := range list {
		t.applyListed(now, cfg)
	}
	for id, e := range t.endpoints {
		if now.Sub(e.lastListed) > t.cfg.Retention {
			delete(t.endpoints, id)
			t.revision++
		}
	}
}

func (t *Table) applyListed(now time.Time, cfg EndpointConfig) {
	e := t.endpoints[cfg.ID]
	if e == nil || e.cfg.Address != cfg.Address {
		t.endpoints[cfg.ID] = &Endpoint{cfg: cfg, lastListed: now, firstListed: now}
		t.revision++
		return
	}
	e.lastListed = now
	if e.cfg.State != cfg.State || e.cfg.LeavesUnixNano != cfg.LeavesUnixNano {
		e.cfg.State = cfg.State
		e.cfg.LeavesUnixNano = cfg.LeavesUnixNano
		t.revision++
	}
}

// ApplyStatus updates an endpoint from the engine's status report.
func (t *Table) ApplyStatus(id string, status EngineStatus) {
	e := t.endpoints[id]
	if e == nil {
		return
	}
	e.load = status.Load
	if e.reported && e.cfg.Role == status.Role && equalModels(e.cfg.Models, status.Models) {
		return
	}
	e.reported = true
	e.cfg.Role = status.Role
	e.cfg.Models = status.Models
	e.cfg.HonoursFencing = status.HonoursFencing
	t.revision++
}

// SetDraining sets each endpoint to draining or not, as shouldDrain returns for its
// ID.
func (t *Table) SetDraining(shouldDrain func(id string) bool) {
	for id, e := range t.endpoints {
		draining := shouldDrain(id)
		if draining == e.draining {
			continue
		}
		e.draining = draining
		t.revision++
		e.drainRevision = t.revision
	}
}

// Find returns the endpoint with the ID, and whether the table has one.
func (t *Table) Find(id string) (Endpoint, bool) {
	e := t.endpoints[id]
	if e == nil {
		return Endpoint{}, false
	}
	return *e, true
}

// All returns all endpoints, sorted by ID.
func (t *Table) All() []Endpoint {
	all := make([]Endpoint, 0, len(t.endpoints))
	for _, e := range t.endpoints {
		all = append(all, *e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID() < all[j].ID() })
	return all
}

func equalModels(a, b []string) bool {
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
