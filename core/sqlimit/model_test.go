package sqlimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// In the model, as many gateways as they can send requests to one endpoint that names a
// limit, over a lease holder that is replaced now and then. Heartbeats are lost and late.
const (
	modelStep = 10 * time.Millisecond
	// modelRequestsPerStep is how many requests each gateway has in a step, on average.
	modelRequestsPerStep = 0.5
	// modelWindow is the time over which requests are counted.
	modelWindow = 4 * time.Second
)

type modelGateway struct {
	keeper   *Keeper
	interval time.Duration
	nextBeat time.Time
	// inTouchFrom is when the gateway reaches the holder again.
	inTouchFrom  time.Time
	hasRestarted bool
	// pending is a heartbeat whose response is under way.
	pending *modelBeat
}

type modelBeat struct {
	sentAt, arrivesAt time.Time
	term              uint64
	message           Message
	limits            []Limit
}

type model struct {
	rng      *rand.Rand
	now      time.Time
	issuer   *Issuer
	term     uint64
	gateways []*modelGateway
	// arrivals are the requests that reached the endpoint.
	arrivals []time.Time
}

func newModel(seed uint64, gateways int, interval time.Duration) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 1)), now: at(0), issuer: NewIssuer(), term: 1}
	for range gateways {
		m.gateways = append(m.gateways, &modelGateway{keeper: NewKeeper(), interval: interval, nextBeat: m.now.Add(m.random(interval))})
	}
	return m
}

func (m *model) random(limit time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(limit) + 1))
}

// step lets a little time pass. The endpoint names the limit in each response, which comes
// at once.
func (m *model) step(perSecond float64, isLimited, faults bool) {
	m.now = m.now.Add(modelStep)
	for _, g := range m.gateways {
		m.beat(g)
		if faults {
			m.injectFault(g)
		}
		if m.rng.Float64() >= modelRequestsPerStep {
			continue
		}
		if !g.keeper.Available(m.now, "i1") {
			g.keeper.Want("i1")
			continue
		}
		// A gateway that has started again while a new holder knows of no limit yet cannot
		// know of it either.
		isExcused := g.hasRestarted && !g.keeper.Limited("i1")
		if g.keeper.Take(m.now, "i1") {
			if !isExcused {
				m.arrivals = append(m.arrivals, m.now)
			}
			g.keeper.Record(Report{Endpoint: "i1", Named: isLimited, PerSecond: perSecond, At: m.now})
		}
	}
}

// injectFault cuts a gateway off, starts it again without what it knew, or replaces the
// holder by one that knows nothing.
func (m *model) injectFault(g *modelGateway) {
	switch m.rng.IntN(20_000) {
	case 0, 1:
		g.inTouchFrom = m.now.Add(m.random(4 * time.Second))
	case 2:
		// A gateway that has just started serves nobody before its first heartbeat.
		g.keeper, g.pending, g.hasRestarted = NewKeeper(), nil, true
		g.keeper.Apply(m.now, m.term, nil, m.issuer.Limits())
	case 3:
		m.issuer, m.term = NewIssuer(), m.term+1
	}
}

// beat sends the gateway's next heartbeat if it is due, and applies the response to the last
// one when it arrives.
func (m *model) beat(g *modelGateway) {
	if p := g.pending; p != nil && !m.now.Before(p.arrivesAt) {
		g.keeper.Apply(p.sentAt, p.term, p.message.Reports, p.limits)
		g.pending = nil
	}
	if g.pending != nil || m.now.Before(g.nextBeat) || m.now.Before(g.inTouchFrom) {
		return
	}
	g.nextBeat = m.now.Add(g.interval)
	message := g.keeper.Message()
	for _, r := range message.Reports {
		m.issuer.Record(m.now, r)
	}
	wanted := 0
	for _, w := range message.Wants {
		wanted = w.Requests
	}
	limits := m.issuer.Limits()
	for i := range limits {
		limits[i].Permits = m.issuer.Issue(m.now, "i1", wanted)
	}
	if m.rng.IntN(50) == 0 {
		return
	}
	g.pending = &modelBeat{sentAt: m.now, arrivesAt: m.now.Add(m.random(80 * time.Millisecond)), term: m.term, message: message, limits: limits}
}

// most returns the largest number of requests in a window that begins at from or later.
func (m *model) most(from time.Time) int {
	most, first := 0, 0
	for i, a := range m.arrivals {
		for m.arrivals[first].Before(from) || a.Sub(m.arrivals[first]) > modelWindow {
			if first == i {
				break
			}
			first++
		}
		if !a.Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// TestSumKeepsToLimit checks that gateways of any number keep together to the limit that an
// endpoint names, with heartbeats lost and late, gateways cut off and started again, and
// new holders, and that they use it.
func TestSumKeepsToLimit(t *testing.T) {
	const contact, length = 3 * time.Second, 24 * time.Second
	for _, size := range []struct {
		gateways int
		interval time.Duration
	}{{1, 100 * time.Millisecond}, {7, 100 * time.Millisecond}, {69, 172 * time.Millisecond}, {340, 600 * time.Millisecond}} {
		for _, perSecond := range []float64{0.3, 2.4, 40} {
			for seed := range uint64(4) {
				m := newModel(seed, size.gateways, size.interval)
				faults := seed > 0
				for m.now.Before(at(2)) {
					m.step(perSecond, false, false)
				}
				for m.now.Before(at(2).Add(length)) {
					m.step(perSecond, true, faults)
				}
				allowed := int(1.5*perSecond*modelWindow.Seconds()) + 5
				got := m.most(at(2).Add(contact))
				assert.Assert(t, got <= allowed, "%d gateways, limit %v, seed %d: %d in 4 s, %d allowed", size.gateways, perSecond, seed, got, allowed)
				used := 0
				for _, a := range m.arrivals {
					if a.After(at(2).Add(contact)) {
						used++
					}
				}
				want := perSecond * (length - contact).Seconds()
				assert.Assert(t, faults || float64(used) > want/3-1, "%d gateways, limit %v: %d of %v used", size.gateways, perSecond, used, want)
			}
		}
	}
}

// TestEndOfLimitIsHeard checks that all gateways send freely again soon after the endpoint
// has ended its limit.
func TestEndOfLimitIsHeard(t *testing.T) {
	m := newModel(1, 69, 172*time.Millisecond)
	for m.now.Before(at(8)) {
		m.step(2.4, true, false)
	}
	for m.now.Before(at(10)) {
		m.step(2.4, false, false)
	}
	for i, g := range m.gateways {
		assert.Assert(t, !g.keeper.Limited("i1"), "gateway %d", i)
	}
}
