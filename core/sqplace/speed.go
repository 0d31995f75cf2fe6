package sqplace

import (
	"math"
	"time"

	"sequoiadock/core/sqspeed"
)

// costPerDecode is the cost of each request that an engine of usual speed is running.
const costPerDecode = 1 * time.Millisecond

// minSpreadWork is the least work of which the random part of a cost is made. With less, small
// requests all choose the fast engines, where they wait behind large ones.
const minSpreadWork = 50 * time.Millisecond

// lateCost is added to the cost of an endpoint that is expected to answer too late.
const lateCost = 1 * time.Hour

// speedState is what a gateway knows of the speeds of all its endpoints together.
type speedState struct {
	// inUse is set once an endpoint of any service has reported its speed, to this gateway
	// or to another one. Before that, no estimate is used.
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
func (n *node) slowed(d time.Duration) time.Duration {
	if n.slowFactor == 0 {
		return d
	}
	return time.Duration(float64(d) * n.slowFactor)
}

// usual returns how long work usually takes that took d at the endpoint.
func (n *node) usual(now time.Time, d time.Duration) time.Duration {
	if !n.speed.Known() {
		return d
	}
	return time.Duration(float64(d) / n.speed.Factor(now))
}

// decodeLoad returns the cost of the tokens of all requests that the engine would run, without
// its random part.
func (n *node) decodeLoad(now time.Time) time.Duration {
	return n.slowed(time.Duration(n.running(now)+1) * costPerDecode)
}

// decodeCost returns the cost of the tokens that the engine generates for others at the
// same time.
func (p *Placer) decodeCost(now time.Time, s *pool, r *request, n *node) time.Duration {
	cost := n.decodeLoad(now)
	if s.reportsSpeed && r.spreadShare > 0 {
		cost += time.Duration(float64(cost) * (p.randomWeight() - 1) * r.spreadShare)
	}
	return cost - costPerDecode
}

// spread returns a random change of an endpoint's cost for the choice among endpoints
// of a service that reports speeds. It is proportional to the least work that the request
// causes at the endpoint, so that faster endpoints are chosen more often and not always:
// otherwise all gateways would choose the same few until they hear of each other's requests.
// What a cached prefix saves is not changed, and nothing among endpoints of equal speed. An
// endpoint that is expected to be late comes after all others.
func (p *Placer) spread(s *pool, r *request, n *node, latency time.Duration) time.Duration {
	if !s.reportsSpeed || r.spreadShare == 0 {
		return 0
	}
	if latency > r.maxLatency() {
		return lateCost
	}
	return time.Duration(float64(n.slowed(r.leastWork[n.endpoint.Stage()])) * (p.randomWeight() - 1) * r.spreadShare)
}

// setSpeeds sets what the estimates of a request use of the speeds of endpoints, if any of
// the deployment reports one.
func (r *request) setSpeeds(now time.Time, s *pool) {
	if !s.speeds.inUse {
		return
	}
	fastest, slowest := math.Inf(1), 0.0
	for _, n := range s.nodes {
		n.slowFactor = n.speed.Factor(now)
		fastest, slowest = min(fastest, n.slowFactor), max(slowest, n.slowFactor)
	}
	r.spreadShare = min(1, slowest/fastest-1)
	if s.engine == nil {
		r.leastWork[AnyStage] = s.meanDuration
		return
	}
	least := r.Prompt.Tokens
	if last := len(r.lengths) - 1; last >= 0 {
		least = max(0, least-r.lengths[last])
	}
	for stage := range r.leastWork {
		prefill := s.prefillTime(least, Stage(stage))
		r.leastWork[stage] = max(minSpreadWork, firstTokenOverhead+prefill+prefill*interferencePercent/100)
	}
}

// randomWeight returns a random number with a Weibull distribution of shape 2. If each cost
// of several endpoints is multiplied by one, an endpoint has the lowest cost with a
// probability that falls with the square of its cost.
func (p *Placer) randomWeight() float64 { return randomWeights[p.nextRandom()>>(64-weightBits)] }

// weightBits is the binary logarithm of the number of random weights.
const weightBits = 8

// randomWeights are the quantiles of the distribution of random weights.
var randomWeights = func() (quantiles [1 << weightBits]float64) {
	for i := range quantiles {
		quantiles[i] = math.Sqrt(-math.Log((float64(i) + 0.5) / float64(len(quantiles))))
	}
	return quantiles
}()

// learn corrects later estimates by the time to the first token that was observed at now.
// The expected time contains the estimate of the endpoint's speed; where the endpoint has
// reported its speed since, it is corrected by the report, so that the latency ratio of the
// service does not learn the speed of the endpoint. An endpoint without figures among others
// with figures corrects its own estimate only.
func (r *Dispatch) learn(now time.Time) {
	expected, observed := r.expectedLatency, now.Sub(r.startedAt)
	n := r.node
	if r.speedFactor > 0 && n.speed.Known() && !n.speed.ReportedAt().Before(r.startedAt) {
		expected = time.Duration(float64(expected) / r.speedFactor * n.speed.Factor(n.speed.ReportedAt()))
	}
	corrected := r.pool.speeds.inUse && n.speed.RecordMeasured(now, expected, observed)
	if !corrected || !r.pool.reportsSpeed {
		r.pool.updateLatencyRatio(n.endpoint.Stage(), expected, observed)
	}
}
