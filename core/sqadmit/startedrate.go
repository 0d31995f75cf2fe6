package sqadmit

import (
	"math"
	"time"
)

// startedTimeConstantSeconds is the time constant, in seconds, with which the
// rate of started requests decays. It is longer than a role change, so that the
// rate of before is remembered while engines change their roles.
const startedTimeConstantSeconds = 30

// minStartedSeconds is the time, in seconds, over which the requests of a new
// pool are averaged at least. The first requests fill the empty pool and start
// faster than later ones.
const minStartedSeconds = 5

// startedRate is an exponentially decaying average of the cost that a pool starts
// per second, idle time included: a lower bound of its capacity. Unlike
// serviceRate, it is known before requests have waited for capacity.
type startedRate struct {
	cost      float64
	seconds   float64
	updatedAt time.Time
}

func (s *startedRate) add(now time.Time, cost float64) {
	s.cost, s.seconds = s.decayed(now)
	s.cost += cost
	s.updatedAt = now
}

// decayed returns the cost and the seconds over which it was started.
func (s *startedRate) decayed(now time.Time) (cost, seconds float64) {
	if s.updatedAt.IsZero() {
		return 0, 0
	}
	elapsed := max(0, now.Sub(s.updatedAt).Seconds())
	decay := math.Exp(-elapsed / startedTimeConstantSeconds)
	return s.cost * decay, s.seconds*decay + elapsed
}

func (s *startedRate) perSecond(now time.Time) float64 {
	cost, seconds := s.decayed(now)
	return cost / max(seconds, minStartedSeconds)
}
