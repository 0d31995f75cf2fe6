package sqtable

import "time"

// Route says where the requests of a host and path go.
type Route struct {
	cfg     RouteConfig
	weights int
}

// Name returns the name of the route.
func (r *Route) Name() string { return r.cfg.Name }

// Kind returns what may be repeated.
func (r *Route) Kind() RouteKind { return r.cfg.Kind }

// Timeout returns the longest that a caller is kept waiting.
func (r *Route) Timeout() time.Duration { return r.cfg.Timeout }

// LatencyTarget returns within which an answer is on time.
func (r *Route) LatencyTarget() time.Duration { return r.cfg.LatencyTarget }

// AbandonAfter returns the longest that callers wait for the first event of a stream,
// or 0.
func (r *Route) AbandonAfter() time.Duration { return r.cfg.AbandonAfter }

// MaxAttempts returns to how many endpoints one attempt may be sent; at least 1.
func (r *Route) MaxAttempts() int { return max(1, r.cfg.MaxAttempts) }

// Public returns whether no key is needed.
func (r *Route) Public() bool { return r.cfg.Public }

// Retryable returns whether a request may run more than once.
func (r *Route) Retryable() bool {
	return r.cfg.Kind == Idempotent || r.cfg.Kind == Stream && r.cfg.Resumable
}

// PickService returns the service of a request; draw is uniform in [0, 1).
func (r *Route) PickService(draw float64) string {
	left := draw * float64(r.weights)
	last := ""
	for _, s := range r.cfg.TrafficSplit {
		if s.Weight == 0 {
			continue
		}
		if left < float64(s.Weight) {
			return s.Service
		}
		left -= float64(s.Weight)
		last = s.Service
	}
	return last
}

// Priority returns the rank of a team's request on the route, 0 first.
func (r *Route) Priority(team *Team) int {
	if team != nil && team.cfg.HasPriority {
		return team.cfg.Priority
	}
	return r.cfg.Priority
}

// Service is a set of endpoints that can run the same requests.
type Service struct {
	cfg ServiceConfig
}

// Name returns the name of the service.
func (s *Service) Name() string { return s.cfg.Name }

// MaxConnections returns the bound on connections to one endpoint, over all
// callers; 0 means none.
func (s *Service) MaxConnections() int { return s.cfg.MaxConnections }

// Engine returns the engine's figures, or nil for a plain service.
func (s *Service) Engine() *Engine { return s.cfg.Engine }

// Scaling returns the bounds on orders, or nil if the fleet is fixed.
func (s *Service) Scaling() *Scaling { return s.cfg.Scaling }

// Team is a customer.
type Team struct {
	cfg TeamConfig
}

// Name returns the name of the team.
func (t *Team) Name() string { return t.cfg.Name }
