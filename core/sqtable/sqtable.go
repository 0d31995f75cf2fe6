// Package sqtable holds the routing table that operators declare: which service
// runs a request, for whom, and what may be repeated of it.
package sqtable

import (
	"cmp"
	"slices"
	"strings"

	"sequoiadock/core/sqerror"
)

// Table is one version of the routing table. It never changes.
type Table struct {
	cfg Config
	// byHost has the routes of each host, longest prefix first.
	byHost   map[string][]*Route
	services map[string]*Service
	teams    map[string]*Team
	// ranks has the most urgent rank of the routes of each service.
	ranks map[string]int
}

// New checks a declaration and returns its table. The error is of kind
// BadRequest and names the first fault.
func New(cfg Config) (*Table, error) {
	t := &Table{
		cfg: cfg, byHost: map[string][]*Route{}, services: map[string]*Service{}, teams: map[string]*Team{},
		ranks: map[string]int{},
	}
	if cfg.Version == 0 {
		return nil, fault("the version is missing or 0")
	}
	for _, c := range cfg.Services {
		if c.Name == "" || t.services[c.Name] != nil {
			return nil, fault("service " + c.Name + " has no name or is declared twice")
		}
		t.services[c.Name] = &Service{cfg: c}
	}
	for _, c := range cfg.Teams {
		if err := t.addTeam(c); err != nil {
			return nil, err
		}
	}
	for _, c := range cfg.Routes {
		if err := t.addRoute(c); err != nil {
			return nil, err
		}
	}
	for _, routes := range t.byHost {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.cfg.PathPrefix), len(a.cfg.PathPrefix)) })
	}
	return t, nil
}

func (t *Table) addTeam(c TeamConfig) error {
	if c.Name == "" {
		return fault("a team has no name")
	}
	team := &Team{cfg: c}
	for _, k := range c.Keys {
		if other := t.teams[k]; other != nil && other.cfg.Name != c.Name {
			return fault("teams " + other.cfg.Name + " and " + c.Name + " share a key")
		}
		t.teams[k] = team
	}
	return nil
}

func (t *Table) addRoute(c RouteConfig) error {
	c.Host = hostName(c.Host)
	if !strings.HasPrefix(c.PathPrefix, "/") || !strings.HasSuffix(c.PathPrefix, "/") {
		return fault("the prefix of route " + c.Name + " does not begin and end with a slash")
	}
	if c.Kind.String() == "unset" {
		return fault("route " + c.Name + " has no kind")
	}
	if c.Timeout <= 0 {
		return fault("the timeout of route " + c.Name + " is 0")
	}
	weights := 0
	for _, s := range c.TrafficSplit {
		if t.services[s.Service] == nil {
			return fault("route " + c.Name + " names the unknown service " + s.Service)
		}
		if s.Weight < 0 {
			return fault("route " + c.Name + " has a negative weight")
		}
		weights += s.Weight
	}
	if weights == 0 {
		return fault("the weights of route " + c.Name + " add up to 0")
	}
	for _, r := range t.byHost[c.Host] {
		if r.cfg.PathPrefix == c.PathPrefix {
			return fault("routes " + r.cfg.Name + " and " + c.Name + " share host and prefix")
		}
	}
	t.byHost[c.Host] = append(t.byHost[c.Host], &Route{cfg: c, weights: weights})
	t.noteRanks(c)
	return nil
}

func (t *Table) noteRanks(c RouteConfig) {
	for _, s := range c.TrafficSplit {
		if rank, ok := t.ranks[s.Service]; !ok || c.Priority < rank {
			t.ranks[s.Service] = c.Priority
		}
	}
}

// MostUrgent returns whether no route of the service is more urgent than r.
func (t *Table) MostUrgent(r *Route, service string) bool { return r.cfg.Priority <= t.ranks[service] }

// Version returns the number of the version.
func (t *Table) Version() uint64 { return t.cfg.Version }

// KeysRequired returns whether routes that are not open need a key.
func (t *Table) KeysRequired() bool { return t.cfg.KeysRequired }

// Limits returns the bounds on callers' input.
func (t *Table) Limits() Limits { return t.cfg.Limits }

// Service returns the service of the name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services in the order of their declaration.
func (t *Table) Services() []*Service {
	list := make([]*Service, 0, len(t.cfg.Services))
	for _, c := range t.cfg.Services {
		list = append(list, t.services[c.Name])
	}
	return list
}

// Match returns the route of a request, or nil: of the routes of the host, the
// one with the longest prefix of the path.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.cfg.PathPrefix) {
			return r
		}
	}
	return nil
}

// Team returns the team that holds the key, or nil.
func (t *Table) Team(key string) *Team { return t.teams[key] }

// hostName returns a host without its port, in lower case.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

func fault(detail string) error {
	return sqerror.New(sqerror.Config{Kind: sqerror.BadRequest, Detail: detail})
}
