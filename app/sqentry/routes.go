package sqentry

import (
	"sort"
	"strings"
	"time"

	"sequoiadock/core/sqcommand"
)

// defaultDeadline applies to services that declare no deadline.
const defaultDeadline = time.Minute

// routes is a configuration indexed for request lookups. It is immutable.
type routes struct {
	version       uint64
	services      map[string]*service
	assistants    map[string][]*service
	plainServices []*service
	pools         []pool
}

// pool is a set of endpoints that requests compete for: the engines of a model
// or the endpoints of a plain service.
type pool struct {
	name  string
	kind  string
	model string
}

// service is a declared service with its once-only calls parsed.
type service struct {
	conf      *sqcommand.Service
	onceCalls []oncePattern
}

// oncePattern matches calls with a method to a path and to all paths below it.
type oncePattern struct {
	method, path string
}

func newRoutes(version uint64, conf *sqcommand.Configuration) *routes {
	r := &routes{
		version:    version,
		services:   map[string]*service{},
		assistants: map[string][]*service{},
	}
	for _, s := range conf.GetServices() {
		r.add(newService(s))
	}
	sort.SliceStable(r.plainServices, func(i, j int) bool {
		return len(r.plainServices[i].conf.GetRoute()) > len(r.plainServices[j].conf.GetRoute())
	})
	return r
}

func newService(conf *sqcommand.Service) *service {
	s := &service{conf: conf}
	for _, call := range conf.GetOnceCalls() {
		method, path, ok := strings.Cut(call, " ")
		if ok {
			s.onceCalls = append(s.onceCalls, oncePattern{method: method, path: strings.TrimRight(path, "/")})
		}
	}
	return s
}

func (r *routes) add(s *service) {
	r.services[s.conf.GetName()] = s
	if s.conf.GetKind() == sqcommand.ServiceKind_SERVICE_KIND_PLAIN {
		r.plainServices = append(r.plainServices, s)
		r.pools = append(r.pools, pool{name: poolName(s.conf.GetName(), ""), kind: s.conf.GetName()})
		return
	}
	for _, m := range s.conf.GetModels() {
		name, _, _ := strings.Cut(m, "@")
		if len(r.assistants[name]) == 0 {
			r.pools = append(r.pools, pool{name: poolName("", name), model: name})
		}
		r.assistants[name] = append(r.assistants[name], s)
	}
}

// poolName prefixes the names of plain services so that they cannot collide
// with model names.
func poolName(plain, model string) string {
	if plain != "" {
		return "plain:" + plain
	}
	return model
}

// plainServiceFor returns the plain service whose route contains path, or nil.
// The longest route is matched first.
func (r *routes) plainServiceFor(path string) *service {
	for _, s := range r.plainServices {
		if pathWithin(path, s.conf.GetRoute()) {
			return s
		}
	}
	return nil
}

// pathWithin reports whether path equals route or lies below it.
func pathWithin(path, route string) bool {
	if !strings.HasPrefix(path, route) {
		return false
	}
	return len(path) == len(route) || route == "/" || path[len(route)] == '/'
}

// isOnceCall reports whether the call must not be repeated.
func (s *service) isOnceCall(method, path string) bool {
	for _, p := range s.onceCalls {
		if p.method == method && pathWithin(path, p.path) {
			return true
		}
	}
	return false
}

func (s *service) deadline() time.Duration {
	if ms := s.conf.GetDeadlineMillis(); ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return defaultDeadline
}

func (s *service) firstTokenLimit() time.Duration {
	return time.Duration(s.conf.GetFirstTokenMillis()) * time.Millisecond
}

func (s *service) betweenTokensLimit() time.Duration {
	return time.Duration(s.conf.GetBetweenTokensMillis()) * time.Millisecond
}
