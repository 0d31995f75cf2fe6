// Package sqtable holds the routing table that operators declare. It maps each
// request to a route and a service, maps API keys to teams, and says which
// requests may be retried.
package sqtable

import (
	"strings"

	"sequoiadock/core/sqerror"
)

// Table is one version of the routing table. It is immutable.
type Table struct {
	cfg    Config
	routes map[place]*Route
	// longestPrefix is the length of the longest path prefix of all routes.
	longestPrefix int
	services      map[string]*Service
	teamsByKey    map[string]*Team
	// quotas holds the quotas of the teams that have one, by name. It is nil if none has.
	quotas map[string]Quota
	// top maps each service to the most urgent priority (the lowest number)
	// among its routes.
	top map[string]int
}

// place is the host and path prefix of a route. No two routes share one.
type place struct{ host, prefix string }

// New validates a declaration and returns its table. The error is of kind
// BadRequest and describes the first problem found.
func New(cfg Config) (*Table, error) {
	t := &Table{
		cfg: cfg, routes: make(map[place]*Route, len(cfg.Routes)), services: map[string]*Service{}, teamsByKey: map[string]*Team{},
		top: map[string]int{},
	}
	if cfg.Version == 0 {
		return nil, invalid("the version is missing or 0")
	}
	for _, c := range cfg.Services {
		if c.Name == "" || t.services[c.Name] != nil {
			return nil, invalid("service " + c.Name + " has no name or is declared twice")
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
	return t, nil
}

func (t *Table) addTeam(c TeamConfig) error {
	if c.Name == "" {
		return invalid("a team has no name")
	}
	if err := t.addQuota(c); err != nil {
		return err
	}
	team := &Team{cfg: c}
	for _, k := range c.Keys {
		if owner := t.teamsByKey[k]; owner != nil && owner.cfg.Name != c.Name {
			return invalid("teams " + owner.cfg.Name + " and " + c.Name + " share a key")
		}
		t.teamsByKey[k] = team
	}
	return nil
}

func (t *Table) addRoute(c RouteConfig) error {
	c.Host = hostName(c.Host)
	if !strings.HasPrefix(c.PathPrefix, "/") || !strings.HasSuffix(c.PathPrefix, "/") {
		return invalid("the prefix of route " + c.Name + " does not begin and end with a slash")
	}
	if c.Kind.String() == "unset" {
		return invalid("route " + c.Name + " has no kind")
	}
	if c.Timeout <= 0 {
		return invalid("the timeout of route " + c.Name + " is 0")
	}
	total := 0
	for _, s := range c.TrafficSplit {
		if t.services[s.Service] == nil {
			return invalid("route " + c.Name + " names the unknown service " + s.Service)
		}
		if s.Weight < 0 {
			return invalid("route " + c.Name + " has a negative weight")
		}
		total += s.Weight
	}
	if total == 0 {
		return invalid("the weights of route " + c.Name + " add up to 0")
	}
	p := place{host: c.Host, prefix: c.PathPrefix}
	if other := t.routes[p]; other != nil {
		return invalid("routes " + other.cfg.Name + " and " + c.Name + " share host and prefix")
	}
	t.routes[p] = &Route{cfg: c, totalWeight: total}
	t.longestPrefix = max(t.longestPrefix, len(c.PathPrefix))
	t.recordTopPriorities(c)
	return nil
}

func (t *Table) recordTopPriorities(c RouteConfig) {
	for _, s := range c.TrafficSplit {
		if best, ok := t.top[s.Service]; !ok || c.Priority < best {
			t.top[s.Service] = c.Priority
		}
	}
}

// MostUrgent reports whether no route of the service has a more urgent priority
// than r.
func (t *Table) MostUrgent(r *Route, service string) bool { return r.cfg.Priority <= t.top[service] }

// Version returns the version of the table.
func (t *Table) Version() uint64 { return t.cfg.Version }

// KeysRequired reports whether routes that are not public require a key.
func (t *Table) KeysRequired() bool { return t.cfg.KeysRequired }

// Limits returns the limits on what callers may send.
func (t *Table) Limits() Limits { return t.cfg.Limits }

// Service returns the service with the given name, or nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Services returns all services in declaration order.
func (t *Table) Services() []*Service {
	list := make([]*Service, 0, len(t.cfg.Services))
	for _, c := range t.cfg.Services {
		list = append(list, t.services[c.Name])
	}
	return list
}

// Match returns the route of a request, or nil if none matches. Among the
// routes of the host, the one with the longest matching path prefix wins. As prefixes end
// with a slash, only the beginnings of the path that end with one can be prefixes.
func (t *Table) Match(host, path string) *Route {
	p := place{host: hostName(host)}
	path = path[:min(len(path), t.longestPrefix)]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		p.prefix = path[:end+1]
		if r := t.routes[p]; r != nil {
			return r
		}
	}
	return nil
}

// Team returns the team that the key belongs to, or nil if the key is unknown.
func (t *Table) Team(key string) *Team { return t.teamsByKey[key] }

// hostName returns the host without its port, in lower case.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

func invalid(detail string) error {
	return sqerror.New(sqerror.Config{Kind: sqerror.BadRequest, Detail: detail})
}
