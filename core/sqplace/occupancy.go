package sqplace

import (
	"time"

	"sequoiadock/core/sqattempt"
)

const (
	// urgentReservePercent is the share of an engine's memory, and of the bound on bodies,
	// that is left to urgent requests and to those that have waited for a large part of
	// their time.
	urgentReservePercent = 10
	// patiencePercent is that part of a request's time.
	patiencePercent = 50
	// unsharedPercent is the share of an engine's memory below which gateways add requests
	// without regard to what others may add at the same time.
	unsharedPercent = 50
	// initialHoldTime is the assumed time for which requests occupy memory before the first
	// one has ended.
	initialHoldTime = 300 * time.Millisecond
	// holdTimeWeight is the weight in the mean time of a request of mean size, and
	// maxHoldTimeWeight that of a request of any size.
	holdTimeWeight    = 0.05
	maxHoldTimeWeight = 0.5
	// minRoomRecheck and maxRoomRecheck bound the time after which a request that waits for
	// room chooses again: the estimate is a mean, and other gateways' requests end too. It is
	// recheckPercent of its time left at most.
	minRoomRecheck = 5 * time.Millisecond
	maxRoomRecheck = 250 * time.Millisecond
	recheckPercent = 15
	// maxMemoryTokens bounds the memory of an engine, so that sums over requests and gateways
	// do not overflow.
	maxMemoryTokens = 1 << 30
)

// occupancy is the mean of how long requests occupy the memory of endpoints of a service,
// weighted with the memory: by Little's law, occupied memory over this time is the rate at
// which memory becomes free.
type occupancy struct {
	holdTime time.Duration
	meanSize float64
	// held is the memory that requests occupy at all engines, waiting that which requests
	// that wait at this gateway will occupy.
	held, waiting int
}

func newOccupancy() occupancy { return occupancy{holdTime: initialHoldTime} }

// reservation is the memory that a request occupies at an endpoint until its end.
type reservation struct {
	tokens, bodyBytes int
}

// size returns the size by which hold times are weighted.
func (r reservation) size() float64 {
	if r.tokens > 0 {
		return float64(r.tokens)
	}
	return float64(r.bodyBytes)
}

func (r reservation) release(n *node) {
	n.local.MemoryTokens -= r.tokens
	n.local.BodyBytes -= r.bodyBytes
}

// SetGateways sets the number of gateways that share the bounds of endpoints. 0 means that it
// is not known, and leaves the last one.
func (p *Placer) SetGateways(n int) {
	if n > 0 {
		p.gateways = n
	}
}

// AddPeerLoads records loads that may lack gateways, since the lease holder is new. What is
// known to occupy the memory of endpoints stays reserved until SetPeerLoads is called.
func (p *Placer) AddPeerLoads(loads map[string]Load) {
	for id, n := range p.nodes {
		old := n.remote
		n.remote, n.localAtSum = loads[id], n.local
		if p.cfg.LimitedMemory {
			n.remote.MemoryTokens = max(old.MemoryTokens, n.remote.MemoryTokens)
			n.remote.BodyBytes = max(old.BodyBytes, n.remote.BodyBytes)
		}
	}
}

// knownNode returns the state of an endpoint that is listed, or was while requests of this
// gateway run there, or nil.
func (p *Placer) knownNode(id string) *node {
	if n := p.nodes[id]; n != nil {
		return n
	}
	return p.unlisted[id]
}

// keepUnlisted keeps the endpoints that are missing in the new list and still hold requests
// of this gateway, so that what these occupy is neither lost nor given out twice.
func (p *Placer) keepUnlisted(listed map[string]*node) {
	unlisted := map[string]*node{}
	for _, nodes := range []map[string]*node{p.nodes, p.unlisted} {
		for id, n := range nodes {
			if listed[id] == nil && n.local != (Load{}) && p.pool(n.endpoint.Service()).countsMemory() {
				unlisted[id] = n
			}
		}
	}
	p.unlisted = unlisted
}

// countsMemory reports whether what requests occupy is counted.
func (s *pool) countsMemory() bool { return s.limitedMemory || s.reportsSpeed }

// memoryTokens returns the tokens of KV cache that the request occupies at its end. Parts
// that other requests share are counted too: whether they are shared at the endpoint is not
// known, and the endpoint fails if the sum is too low.
func (q *Query) memoryTokens() int { return memoryTokens(&q.Prompt) }

func memoryTokens(p *sqattempt.Prompt) int {
	return min(p.Tokens, maxMemoryTokens) + min(p.MaxOutputTokens, maxMemoryTokens)
}

// occupiedTokens returns the memoryTokens of a prompt, at most the whole memory of an engine:
// they are the caller's figures, and one that is too high must not close the engine to others.
func (s *pool) occupiedTokens(p *sqattempt.Prompt) int {
	if s.engine == nil {
		return 0
	}
	return min(memoryTokens(p), s.memory())
}

// memory returns the tokens of KV cache that fit into an engine, or maxMemoryTokens if the
// routing table does not say.
func (s *pool) memory() int {
	if s.engine.KVCapacityTokens <= 0 {
		return maxMemoryTokens
	}
	return min(s.engine.KVCapacityTokens, maxMemoryTokens)
}

// reserve counts what the request occupies at the endpoint.
func (s *pool) reserve(n *node, q *Query) reservation {
	if !s.countsMemory() {
		return reservation{}
	}
	r := reservation{tokens: s.occupiedTokens(&q.Prompt), bodyBytes: q.BodyBytes}
	n.local.MemoryTokens += r.tokens
	n.local.BodyBytes += r.bodyBytes
	return r
}

// record records for how long a request occupied memory.
func (o *occupancy) record(r reservation, d time.Duration) {
	size := r.size()
	if size <= 0 {
		return
	}
	if o.meanSize == 0 {
		o.meanSize = size
	}
	o.meanSize += holdTimeWeight * (size - o.meanSize)
	o.holdTime += time.Duration(min(holdTimeWeight*size/o.meanSize, maxHoldTimeWeight) * float64(d-o.holdTime))
}

// mayUseReserve reports whether the request may occupy the memory that is left to urgent
// requests. A request that has waited for long may too, so that no team's requests wait until
// their deadline behind those of others.
func (q *Query) mayUseReserve() bool {
	return q.Urgent || q.Waited > 0 && q.Waited >= (q.Waited+q.TimeLeft)*patiencePercent/100
}

// roomWait returns the time until the endpoint has room for the request, or 0 if it has.
func (p *Placer) roomWait(s *pool, r *request, n *node) time.Duration {
	if !s.countsMemory() {
		return 0
	}
	wait := time.Duration(0)
	if s.weighs() {
		u := use{n.local.MemoryTokens, n.localAtSum.MemoryTokens, n.remote.MemoryTokens, s.occupiedTokens(&r.Prompt), s.engine.KVCapacityTokens}
		wait = s.timeToFree(r, u)
		if s.limitedMemory && u.held()*100 > u.limit*unsharedPercent {
			wait = max(wait, p.shareWait(s, u))
		}
	}
	if bound := p.cfg.MaxEndpointBodyBytes; s.limitedMemory && bound > 0 && r.BodyBytes > 0 {
		u := use{n.local.BodyBytes, n.localAtSum.BodyBytes, n.remote.BodyBytes, r.BodyBytes, bound}
		wait = max(wait, s.timeToFree(r, u), p.shareWait(s, u))
	}
	return wait
}

// use is how much of one resource of an endpoint gateways use: this one, this one when it
// last heard of the others, and the others. A request that needs size more is to be placed
// under the limit.
type use struct {
	local, localAtSum, remote, size, limit int
}

func (u use) held() int { return u.local + u.remote }

// timeToFree returns the time until the request fits under the limit. One that is larger than
// the limit fits at an endpoint that holds nothing.
func (s *pool) timeToFree(r *request, u use) time.Duration {
	limit := u.limit
	if !r.mayUseReserve() {
		limit -= limit / 100 * urgentReservePercent
	}
	held := u.held()
	excess := min(held+u.size-limit, held)
	if excess <= 0 {
		return 0
	}
	return time.Duration(float64(s.occupancy.holdTime) * float64(excess) / float64(held))
}

// shareWait returns the time until this gateway may add the request to what the endpoint
// holds. Other gateways hear of it only with the next heartbeats, so between two sums each
// may add its part of what was free, and at least one request.
func (p *Placer) shareWait(s *pool, u use) time.Duration {
	added := u.local - u.localAtSum
	free := max(0, u.limit-u.localAtSum-u.remote)
	if added <= 0 || added+u.size <= free/p.gateways {
		return 0
	}
	return min(s.occupancy.holdTime, maxRoomRecheck)
}

// RoomWait is the wait of one request at the gateway until an endpoint has room for it.
type RoomWait struct {
	pool   *pool
	tokens int
}

// StartRoomWait records that a request waits for room.
func (p *Placer) StartRoomWait(q *Query) *RoomWait {
	s := p.pool(q.Service)
	w := &RoomWait{pool: s, tokens: s.occupiedTokens(&q.Prompt)}
	w.pool.occupancy.waiting += w.tokens
	return w
}

// End records that the request waits no longer, or is about to choose again.
func (w *RoomWait) End() {
	w.pool.occupancy.waiting -= w.tokens
	w.tokens = 0
}

// addQueueWait adds to the choice the time until the requests are served that wait before this
// one, here and probably at the other gateways. Urgent requests do not wait for them.
func (p *Placer) addQueueWait(s *pool, q *Query, c Choice) Choice {
	o := &s.occupancy
	if !s.limitedMemory || c.roomWait == 0 || q.Urgent || q.Waited > 0 || o.held == 0 {
		return c
	}
	wait := time.Duration(float64(o.holdTime) * float64(o.waiting) * float64(p.gateways) / float64(o.held))
	c.ExpectedLatency += wait
	c.roomWait += wait
	return c
}

// holdBack replaces a choice of an endpoint that has no room yet by the time after which to
// choose again, if endpoints fail when their memory is exceeded. Else the request waits at
// the endpoint.
func (p *Placer) holdBack(s *pool, q *Query, c Choice) Choice {
	if !s.limitedMemory || c.roomWait == 0 {
		return c
	}
	wait := max(min(c.roomWait, maxRoomRecheck, q.TimeLeft*recheckPercent/100), minRoomRecheck)
	return Choice{
		ExpectedLatency: c.ExpectedLatency, RetryAfter: max(c.roomWait, minRetryAfter), Reason: "no endpoint has room for the request",
		Wait: p.jitter(wait),
	}
}
