package sqcoordinator

import (
	"context"
	"slices"
	"strings"
	"time"

	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqplace"
	"sequoiadock/io/sqclock"
)

// loadLogInterval is the period of logging the load of each service and stage.
const loadLogInterval = 2 * time.Second

// poolKey identifies a pool: the endpoints of one service and stage.
type poolKey struct {
	service string
	stage   sqplace.Stage
}

// poolLoad counts a pool's endpoints and what gateways have in flight at them.
type poolLoad struct {
	endpoints, draining  int
	runningRequests      uint32
	pendingPrefillTokens uint64
	speeds               speedSpread
}

// logLoads logs the load of each pool while this process holds the lease.
func (c *coordinator) logLoads(ctx context.Context) {
	every(ctx, loadLogInterval, func() {
		now := sqclock.Now()
		t, err := c.currentTerm(now)
		if err != nil {
			return
		}
		c.mu.Lock()
		pools := t.poolLoads(now)
		c.mu.Unlock()
		for _, k := range sortedPoolKeys(pools) {
			p := pools[k]
			c.log.Event(sqevent.ServiceLoad, k.service, k.stage.String(), p.endpoints, p.draining, p.runningRequests, p.pendingPrefillTokens)
			if s := p.speeds; s.reporting > 0 {
				c.log.Event(sqevent.ServiceSpeed, k.service, k.stage.String(), s.reporting, int(s.fastest), int(s.mean), int(s.slowest),
					s.newestAge.Milliseconds(), s.oldestAge.Milliseconds())
			}
		}
	})
}

// poolLoads sums the loads of each pool over all gateways. The caller must hold the
// coordinator's mu.
func (t *termState) poolLoads(now time.Time) map[poolKey]*poolLoad {
	pools := map[poolKey]*poolLoad{}
	for _, e := range t.endpointsForGateways() {
		k := poolKey{e.Service(), e.Stage()}
		p := pools[k]
		if p == nil {
			p = &poolLoad{}
			pools[k] = p
		}
		p.endpoints++
		if e.Draining() {
			p.draining++
		}
		if l := t.gateways.inFlight[e.ID()]; l != nil {
			p.runningRequests += l.running
			p.pendingPrefillTokens += l.uncachedTokens
		}
		if s, ok := t.gateways.speeds.Speed(now, e.ID()); ok {
			p.speeds.add(s)
		}
	}
	return pools
}

func sortedPoolKeys(pools map[poolKey]*poolLoad) []poolKey {
	keys := make([]poolKey, 0, len(pools))
	for k := range pools {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b poolKey) int {
		if a.service != b.service {
			return strings.Compare(a.service, b.service)
		}
		return int(a.stage) - int(b.stage)
	})
	return keys
}
