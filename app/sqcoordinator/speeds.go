package sqcoordinator

import (
	"time"

	"sequoiadock/core/sqplace"
	"sequoiadock/core/sqspeed"
	"sequoiadock/io/sqrpc"
)

// maxIdleSpeeds is how many speeds of endpoints without requests a sum of loads holds at most.
// Speeds of the long term change slowly, while each gateway is sent a sum with each heartbeat.
const maxIdleSpeeds = 128

// recordSpeeds records what endpoints reported of their speed to a gateway.
func (r *gatewayRegistry) recordSpeeds(now time.Time, req *sqrpc.BeatRequest) {
	for _, s := range req.GetSpeeds() {
		r.speeds.Record(sqrpc.ToSpeedReport(now, s))
	}
}

// addIdleSpeeds adds the speeds of endpoints at which no gateway has a request. In a large
// fleet each sum holds others of them.
func (r *gatewayRegistry) addIdleSpeeds(now time.Time, list *sqrpc.InFlightList) {
	r.speeds.Forget(now)
	busy := len(list.Loads)
	for _, id := range r.speeds.Endpoints() {
		if len(list.Loads)-busy >= maxIdleSpeeds {
			return
		}
		if r.inFlight[id] != nil {
			continue
		}
		if s, ok := r.speeds.Speed(now, id); ok {
			l := &sqrpc.InFlight{Id: id}
			l.SetSpeed(s)
			list.Loads = append(list.Loads, l)
		}
	}
}

// workFactors returns how long work takes at endpoints in the long term, relative to the
// usual time, by ID. Endpoints that do not report it are left out.
func (t *termState) workFactors(now time.Time, endpoints []sqplace.Endpoint) map[string]float64 {
	factors := map[string]float64{}
	for i := range endpoints {
		if s, ok := t.gateways.speeds.Speed(now, endpoints[i].ID()); ok {
			factors[endpoints[i].ID()] = s.Mean / sqspeed.UsualPercent
		}
	}
	return factors
}

// speedSpread summarizes the speeds of some endpoints, in percent of the usual time.
type speedSpread struct {
	reporting              int
	fastest, mean, slowest float64
	// newestAge and oldestAge are the times since the last reports of the endpoints.
	newestAge, oldestAge time.Duration
}

// add adds the estimate for one endpoint.
func (s *speedSpread) add(speed sqspeed.Speed) {
	s.reporting++
	if s.reporting == 1 {
		s.fastest, s.slowest, s.newestAge = speed.Percent, speed.Percent, speed.Age
	}
	s.fastest, s.slowest = min(s.fastest, speed.Percent), max(s.slowest, speed.Percent)
	s.mean += (speed.Percent - s.mean) / float64(s.reporting)
	s.newestAge, s.oldestAge = min(s.newestAge, speed.Age), max(s.oldestAge, speed.Age)
}

// speedSpread returns the spread of the speeds of all listed endpoints that report them.
func (t *termState) speedSpread(now time.Time) speedSpread {
	var spread speedSpread
	for i := range t.fleet {
		if s, ok := t.gateways.speeds.Speed(now, t.fleet[i].ID()); ok {
			spread.add(s)
		}
	}
	return spread
}

// registerSpeedGauges registers the gauges of the speeds of endpoints.
func (c *coordinator) registerSpeedGauges() {
	c.metrics.NewGauge("sequoiadock_coordinator_speed_reporting_endpoints", func() float64 {
		return c.termGauge(func(now time.Time, t *termState) float64 { return float64(t.speedSpread(now).reporting) })
	})
	c.metrics.NewGauge("sequoiadock_coordinator_fastest_work_percent", func() float64 {
		return c.termGauge(func(now time.Time, t *termState) float64 { return t.speedSpread(now).fastest })
	})
	c.metrics.NewGauge("sequoiadock_coordinator_mean_work_percent", func() float64 {
		return c.termGauge(func(now time.Time, t *termState) float64 { return t.speedSpread(now).mean })
	})
	c.metrics.NewGauge("sequoiadock_coordinator_slowest_work_percent", func() float64 {
		return c.termGauge(func(now time.Time, t *termState) float64 { return t.speedSpread(now).slowest })
	})
	c.metrics.NewGauge("sequoiadock_coordinator_oldest_speed_age_seconds", func() float64 {
		return c.termGauge(func(now time.Time, t *termState) float64 { return t.speedSpread(now).oldestAge.Seconds() })
	})
}
