package sqentry

import (
	"strconv"
	"time"

	"sequoiadock/core/sqadmit"
	"sequoiadock/core/sqcache"
	"sequoiadock/core/sqprompt"
	"sequoiadock/core/sqroute"
	"sequoiadock/io/sqendpoint"
	"sequoiadock/io/sqrpc"
)

// drainedEndpoints lists the endpoints that are not live and have no running
// requests of this entry.
func (f *fleet) drainedEndpoints() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []string
	for id, p := range f.endpoints {
		if !p.live() && p.runningRequests == 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// ownWork returns the entry's own work in flight, by index in the endpoint
// list.
func (f *fleet) ownWork() *sqrpc.Readings {
	f.mu.Lock()
	defer f.mu.Unlock()
	own := make(map[string]sqroute.Load)
	for _, l := range f.routing.OwnLoads() {
		own[l.Endpoint()] = l
	}
	w := sqrpc.NewReadingsBuilder()
	for i, id := range f.endpointOrder {
		l, ok := own[id]
		if !ok {
			continue
		}
		w.AddInFlight(sqrpc.Reading{
			Index: i, Running: uint32(max(0, l.Running())),
			PrefillTokens: uint32(max(0, l.PrefillTokens())), DecodeTokens: uint32(max(0, l.DecodeTokens())),
		})
	}
	return w.Readings()
}

// setPeerWork applies the other entries' work in flight, by index in the
// endpoint list.
func (f *fleet) setPeerWork(now time.Time, readings *sqrpc.Readings) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows, ok := readings.InFlightRows()
	if !ok {
		return
	}
	list := make([]sqroute.Load, 0, len(rows))
	for _, row := range rows {
		if p := f.endpointAt(row.Index); p != nil {
			list = append(list, sqroute.NewLoad(sqroute.LoadConfig{
				Endpoint: p.view.GetId(), Running: int(row.Running),
				PrefillTokens: int(row.PrefillTokens), DecodeTokens: int(row.DecodeTokens),
			}))
		}
	}
	f.routing.SetPeerLoads(now, list)
}

// poolLimits returns how much work the entry may have in flight in a pool.
func (f *fleet) poolLimits(now time.Time, p pool) sqadmit.PoolLimits {
	f.mu.Lock()
	defer f.mu.Unlock()
	limits := f.routing.PoolLimits(now, p.kind, p.model)
	return sqadmit.NewPoolLimits(sqadmit.PoolLimitsConfig{MaxRunning: limits.MaxRunning(), MaxPrefillTokens: limits.MaxPrefillTokens()})
}

// lastEventNumber returns the number of the last cache event received from an
// endpoint.
func (f *fleet) lastEventNumber(id string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.routing.NextEventNumber(id); n > 0 {
		return n - 1
	}
	return 0
}

// applyEvents applies cache events. Events that cannot be parsed are left out,
// which the routing policy detects as a gap.
func (f *fleet) applyEvents(now time.Time, id string, events []sqendpoint.CacheEvent) {
	list := make([]sqcache.Event, 0, len(events))
	for i := range events {
		if e, ok := cacheEvent(&events[i]); ok {
			list = append(list, e)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.routing.ApplyCacheEvents(now, id, list)
}

func cacheEvent(e *sqendpoint.CacheEvent) (sqcache.Event, bool) {
	kind, ok := sqcache.ParseEventKind(e.Kind)
	if !ok {
		return sqcache.Event{}, false
	}
	var block uint64
	if kind != sqcache.Cleared {
		hash, err := strconv.ParseUint(e.BlockHash, 16, 64)
		if err != nil {
			return sqcache.Event{}, false
		}
		block = sqprompt.ModelBlockHash(e.Model, hash)
	}
	return sqcache.NewEvent(sqcache.EventConfig{Number: e.Number, Kind: kind, Block: block}), true
}
