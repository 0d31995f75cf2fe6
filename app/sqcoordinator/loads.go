package sqcoordinator

import (
	"context"
	"slices"
	"strings"
	"time"

	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqplace"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqrpc"
)

// loadsEvery is the period of logging the loads of all services.
const loadsEvery = 2 * time.Second

// poolKey names the endpoints of one service and stage.
type poolKey struct {
	service string
	stage   sqplace.Stage
}

// poolLoad is what gateways have in flight at these endpoints.
type poolLoad struct {
	endpoints, away int
	running         uint32
	unread          uint64
}

// logLoads logs the load of each service while this process holds the lease.
func (c *coordinator) logLoads(ctx context.Context) {
	every(ctx, loadsEvery, func() {
		t, err := c.current(sqclock.Now())
		if err != nil {
			return
		}
		c.mu.Lock()
		pools := t.poolLoads()
		c.mu.Unlock()
		for _, k := range sortedPools(pools) {
			p := pools[k]
			c.log.Event(sqevent.LoadSeen, k.service, k.stage.String(), p.endpoints, p.away, p.running, p.unread)
		}
	})
}

// poolLoads sums the loads; the coordinator's mu must be held.
func (t *tenure) poolLoads() map[poolKey]*poolLoad {
	inFlight := map[string]*sqrpc.InFlight{}
	for _, g := range t.gateways {
		addLoads(inFlight, g.loads)
	}
	pools := map[poolKey]*poolLoad{}
	for _, e := range t.inForce() {
		k := poolKey{e.Service(), e.Stage()}
		p := pools[k]
		if p == nil {
			p = &poolLoad{}
			pools[k] = p
		}
		p.endpoints++
		if e.Draining() {
			p.away++
		}
		p.running += inFlight[e.ID()].GetRunning()
		p.unread += inFlight[e.ID()].GetUnreadTokens()
	}
	return pools
}

func sortedPools(pools map[poolKey]*poolLoad) []poolKey {
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
