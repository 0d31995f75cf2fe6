package sqadmit

import "time"

// bucketCapacity returns the size of a team's token bucket.
func (f *FairQueue) bucketCapacity(t *team) float64 {
	return max(0, t.cfg.TokensPerSecond) * f.cfg.Burst.Seconds()
}

// refillBucket adds the tokens of the time since the last refill to the team's
// bucket.
func (f *FairQueue) refillBucket(now time.Time, t *team) {
	elapsed := now.Sub(t.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	t.refilledAt = now
	t.bucketTokens = min(f.bucketCapacity(t), t.bucketTokens+elapsed*max(0, t.cfg.TokensPerSecond))
}

// withinLimits reports whether the team's own limits let the request start. A
// request larger than the bucket starts when the bucket is full and leaves it
// with a negative number of tokens.
func (f *FairQueue) withinLimits(t *team, req *Request) bool {
	return f.withinRunningLimit(t) && f.withinRateLimit(t, req)
}

func (f *FairQueue) withinRunningLimit(t *team) bool {
	return t.cfg.MaxRunning < 0 || t.running < t.cfg.MaxRunning
}

func (f *FairQueue) withinRateLimit(t *team, req *Request) bool {
	if t.cfg.TokensPerSecond < 0 || req.rateTokens() == 0 {
		return true
	}
	return t.cfg.TokensPerSecond > 0 && t.bucketTokens >= min(req.rateTokens(), f.bucketCapacity(t))
}

// bucketWait returns the seconds until the bucket has enough tokens to start the
// request.
func (f *FairQueue) bucketWait(t *team, req *Request) float64 {
	if t.cfg.TokensPerSecond < 0 {
		return 0
	}
	if t.cfg.TokensPerSecond == 0 {
		return zeroRateWaitSeconds
	}
	tokens := min(req.rateTokens(), f.bucketCapacity(t))
	return max(0, tokens-t.bucketTokens) / t.cfg.TokensPerSecond
}

// zeroRateWaitSeconds is the assumed wait, in seconds, when an entry's share of a
// team's rate is zero: new shares arrive within about a second.
const zeroRateWaitSeconds = 1

// rateWait returns the seconds until the rate limit lets a request start behind
// the team's queue. It uses the team's rate over all entries where that is
// known, because this entry's share of the rate follows its demand within about
// a second.
func (f *FairQueue) rateWait(t *team, req *Request) float64 {
	if t.cfg.TokensPerSecond < 0 {
		return 0
	}
	rate := max(t.cfg.TokensPerSecond, t.cfg.TotalTokensPerSecond)
	if rate == 0 {
		return zeroRateWaitSeconds
	}
	tokens := min(req.rateTokens(), rate*f.cfg.Burst.Seconds())
	return max(0, tokens-t.bucketTokens+t.queuedTokens) / rate
}

// runningWait returns the seconds until the team's limit of running requests
// lets a request start behind the team's queue.
func (f *FairQueue) runningWait(t *team) float64 {
	if f.withinRunningLimit(t) {
		return 0
	}
	return float64(t.queued+1) * t.meanDuration / float64(max(1, t.cfg.MaxRunning))
}

// queueWait returns the expected seconds that a request waits in the flow's
// queue, from the pool's service rate and the team's share of it.
func (f *FairQueue) queueWait(fl *flow, req *Request) float64 {
	rate := f.flowServiceRate(fl)
	if rate <= 0 {
		return 0
	}
	return max(0, fl.costBefore(req)+fl.costAhead()) / rate
}

// flowServiceRate returns the cost per second that the pool starts for the flow
// as long as all flows that are active now stay active, or 0 if it is not known.
func (f *FairQueue) flowServiceRate(fl *flow) float64 {
	return fl.pool.serviceRate.perSecond() * fl.weightFraction()
}

// weightFraction returns the flow's weight as a fraction of the weights of all
// flows that are active now, the flow itself included.
func (fl *flow) weightFraction() float64 {
	weight := fl.team.cfg.Weight
	totalWeight := weight
	for _, other := range fl.pool.active {
		if other != fl {
			totalWeight += other.team.cfg.Weight
		}
	}
	return weight / totalWeight
}

// maxExactQueue is the longest queue for which costBefore compares each request;
// for a longer queue it returns the cost of the whole queue.
const maxExactQueue = 64

// costBefore returns the cost of the queued requests that run before req.
func (fl *flow) costBefore(req *Request) float64 {
	if len(fl.queue) > maxExactQueue {
		return fl.queuedCost
	}
	probe := requestState{request: *req, sequence: ^uint64(0)}
	var cost float64
	for _, r := range fl.queue {
		if r.before(&probe) {
			cost += r.cost
		}
	}
	return cost
}

// durationSmoothing is the weight of a new sample in a team's mean duration.
const durationSmoothing = 0.1

func (t *team) recordDuration(d time.Duration) {
	if t.meanDuration == 0 {
		t.meanDuration = d.Seconds()
		return
	}
	t.meanDuration += durationSmoothing * (d.Seconds() - t.meanDuration)
}
