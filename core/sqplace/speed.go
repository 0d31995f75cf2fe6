package sqplace

import (
	"math"
	"time"

	"sequoiadock/core/sqspeed"
)

// costPerDecode is the cost of each request that an engine of usual speed is running.
const costPerDecode = 1 * time.Millisecond

// lateCost is added to the cost of an endpoint that is expected to answer too late.
const lateCost = 1 * time.Hour

// speedState is what a gateway knows of the speeds of all its endpoints together.
type speedState struct {
	// inUse is set once an endpoint of the deployment has reported its speed, to this
	// gateway or to another one.
	inUse bool
	// collector holds the reports for the lease holder.
	collector *sqspeed.Collector
}

func newSpeedState() *speedState { return &speedState{collector: sqspeed.NewCollector()} }

// Speeds returns the reports on the speed of endpoints that the lease holder does not have.
func (p *Placer) Speeds() *sqspeed.Collector { return p.speeds.collector }

// SetSpeeds records the lease holder's estimates of the speed of endpoints.
func (p *Placer) SetSpeeds(now time.Time, list []sqspeed.Speed) {
	for _, s := range list {
		p.speeds.inUse = true
		if n := p.nodes[s.Endpoint]; n != nil {
			n.speed.Adopt(now, s)
			p.pool(n.endpoint.Service()).reportsSpeed = true
		}
	}
}

// recordSpeed records how long work takes at the endpoint, as it has reported; 0 means that
// it has not.
func (p *Placer) recordSpeed(now time.Time, n *node, percent int) {
	if percent <= 0 {
		return
	}
	p.speeds.inUse = true
	p.pool(n.endpoint.Service()).reportsSpeed = true
	n.speed.Record(sqspeed.Report{Percent: float64(percent), Count: 1, At: now})
	p.speeds.collector.Record(now, n.endpoint.ID(), float64(percent))
}

// slowed returns how long work takes at the endpoint that usually takes d.
func (n *node) slowed(now time.Time, d time.Duration) time.Duration {
	if !n.speed.Known() {
		return d
	}
	return time.Duration(float64(d) * n.speed.Factor(now))
}

// usual returns how long work usually takes that took d at the endpoint.
func (n *node) usual(now time.Time, d time.Duration) time.Duration {
	if !n.speed.Known() {
		return d
	}
	return time.Duration(float64(d) / n.speed.Factor(now))
}

// decodeCost returns the cost of the tokens that the engine generates for others at the
// same time.
func (p *Placer) decodeCost(now time.Time, s *pool, n *node) time.Duration {
	cost := n.slowed(now, time.Duration(n.running(now)+1)*costPerDecode)
	if s.reportsSpeed {
		cost = time.Duration(float64(cost) * p.randomWeight())
	}
	return cost - costPerDecode
}

// spread returns a random change of the cost of an endpoint for the choice among endpoints
// of a service that reports speeds. It is proportional to the least work that the request
// causes at the endpoint, so that faster endpoints are chosen more often and not always:
// otherwise all gateways would choose the same few until they hear of each other's requests.
// What a cached prefix saves is not changed. An endpoint that is expected to be late comes
// after all others.
func (p *Placer) spread(now time.Time, s *pool, r *request, n *node, latency time.Duration) time.Duration {
	if !s.reportsSpeed {
		return 0
	}
	if latency > r.TimeLeft*maxLatencyPercent/100 {
		return lateCost
	}
	work := n.slowed(now, s.meanDuration)
	if s.engine != nil {
		least := r.leastTokens()
		work = n.slowed(now, firstTokenOverhead+s.prefillTime(least, n.endpoint.Stage())) + s.interference(now, n, least)
	}
	return time.Duration(float64(work) * (p.randomWeight() - 1))
}

// leastTokens returns how many prompt tokens no endpoint can have cached.
func (r *request) leastTokens() int {
	if last := len(r.lengths) - 1; last >= 0 {
		return max(0, r.Prompt.Tokens-r.lengths[last])
	}
	return r.Prompt.Tokens
}

// randomWeight returns a random number with a Weibull distribution of shape 2. If each cost
// of several endpoints is multiplied by one, an endpoint has the lowest cost with a
// probability that falls with the square of its cost.
func (p *Placer) randomWeight() float64 {
	const bits = 53
	return math.Sqrt(-math.Log((float64(p.nextRandom()>>(64-bits)) + 0.5) / (1 << bits)))
}

// learn corrects later estimates by the time to the first token that was observed at now.
// The expected time contains the estimate of the endpoint's speed; where the endpoint has
// reported its speed since, it is corrected by the report, so that the latency ratio of the
// service does not learn the speed of the endpoint.
func (r *Dispatch) learn(now time.Time) {
	expected, observed := r.expectedLatency, now.Sub(r.startedAt)
	n := r.node
	if r.speedFactor > 0 && n.speed.Known() && !n.speed.ReportedAt().Before(r.startedAt) {
		expected = time.Duration(float64(expected) / r.speedFactor * n.speed.Factor(n.speed.ReportedAt()))
	}
	r.pool.updateLatencyRatio(n.endpoint.Stage(), expected, observed)
	if r.pool.speeds.inUse {
		n.speed.RecordMeasured(now, expected, observed)
	}
}
