package sqtable

import "time"

// Route describes how the requests for a host and a path prefix are handled.
type Route struct {
	cfg         RouteConfig
	totalWeight int
}

// Name returns the name of the route.
func (r *Route) Name() string { return r.cfg.Name }

// Kind returns whether and how the requests of the route may be retried.
func (r *Route) Kind() RouteKind { return r.cfg.Kind }

// Timeout returns the maximum time that a caller waits for a response.
func (r *Route) Timeout() time.Duration { return r.cfg.Timeout }

// LatencyObjective returns the time within which a response, or its first event,
// counts as on time.
func (r *Route) LatencyObjective() time.Duration { return r.cfg.LatencyObjective }

// AbandonAfter returns how long callers wait for the first event of a stream
// before they disconnect, or 0 if that is not known.
func (r *Route) AbandonAfter() time.Duration { return r.cfg.AbandonAfter }

// MaxSends returns the maximum number of endpoints that one request is sent
// to; it is at least 1.
func (r *Route) MaxSends() int { return max(1, r.cfg.MaxSends) }

// Public reports whether requests of the route need no key.
func (r *Route) Public() bool { return r.cfg.Public }

// Retryable reports whether a request may be run more than once.
func (r *Route) Retryable() bool {
	return r.cfg.Kind == Idempotent || r.cfg.Kind == Stream && r.cfg.Resumable
}

// PickService returns the service for a request, chosen at random by weight.
// The random number u is uniform in [0, 1).
func (r *Route) PickService(u float64) string {
	remaining := u * float64(r.totalWeight)
	last := ""
	for _, s := range r.cfg.TrafficSplit {
		if s.Weight == 0 {
			continue
		}
		if remaining < float64(s.Weight) {
			return s.Service
		}
		remaining -= float64(s.Weight)
		last = s.Service
	}
	return last
}

// Services returns the names of the services that get requests of the route.
func (r *Route) Services() []string {
	var services []string
	for _, s := range r.cfg.TrafficSplit {
		if s.Weight > 0 {
			services = append(services, s.Service)
		}
	}
	return services
}

// Priority returns the priority of a request of the team, 0 being the most
// urgent. The priority of the team, if it has one, overrides that of the route.
// The team may be nil.
func (r *Route) Priority(team *Team) int {
	if team != nil && team.cfg.HasPriority {
		return team.cfg.Priority
	}
	return r.cfg.Priority
}

// Service is a set of endpoints that serve the same requests.
type Service struct {
	cfg ServiceConfig
}

// Name returns the name of the service.
func (s *Service) Name() string { return s.cfg.Name }

// MaxConnections returns the limit on connections to one endpoint, summed over
// all clients; 0 means no limit.
func (s *Service) MaxConnections() int { return s.cfg.MaxConnections }

// Engine returns the parameters of the inference engines of the service, or nil
// for a plain service.
func (s *Service) Engine() *Engine { return s.cfg.Engine }

// Scaling returns the scaling limits and prices, or nil if the number of
// endpoints is fixed.
func (s *Service) Scaling() *Scaling { return s.cfg.Scaling }

// Team is a customer of the deployment.
type Team struct {
	cfg TeamConfig
}

// Name returns the name of the team.
func (t *Team) Name() string { return t.cfg.Name }
