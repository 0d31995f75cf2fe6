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

// stopped lists the endpoints that take no new work and have none left of this
// entry.
func (f *fleet) stopped() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []string
	for id, p := range f.points {
		if !p.live() && p.running == 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// work returns the entry's own work in flight, by place in the list.
func (f *fleet) work() *sqrpc.Readings {
	f.mu.Lock()
	defer f.mu.Unlock()
	own := make(map[string]sqroute.Load)
	for _, l := range f.routing.OwnLoads() {
		own[l.Endpoint()] = l
	}
	out := sqrpc.NewReadingsWriter()
	for i, id := range f.order {
		l, ok := own[id]
		if !ok {
			continue
		}
		out.AddWork(sqrpc.Reading{
			Place: i, Running: uint32(max(0, l.Running())),
			PrefillTokens: uint32(max(0, l.PrefillTokens())), DecodeTokens: uint32(max(0, l.DecodeTokens())),
		})
	}
	return out.Readings()
}

// setOtherWork takes the other entries' work, by place in the list.
func (f *fleet) setOtherWork(now time.Time, in *sqrpc.Readings) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows, ok := in.WorkRows()
	if !ok {
		return
	}
	list := make([]sqroute.Load, 0, len(rows))
	for _, row := range rows {
		if p := f.at(row.Place); p != nil {
			list = append(list, sqroute.NewLoad(sqroute.LoadConfig{
				Endpoint: p.view.GetId(), Running: int(row.Running),
				PrefillTokens: int(row.PrefillTokens), DecodeTokens: int(row.DecodeTokens),
			}))
		}
	}
	f.routing.SetPeerLoads(now, list)
}

// room returns how much an entry may have in flight for a pool.
func (f *fleet) room(now time.Time, p pool) sqadmit.PoolLimits {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.routing.Capacity(now, p.kind, p.model)
	return sqadmit.NewPoolLimits(sqadmit.PoolLimitsConfig{MaxRunning: r.Running(), MaxPrefillTokens: r.PrefillTokens()})
}

// nextEvent returns the number after which to ask for cache events.
func (f *fleet) nextEvent(id string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.routing.NextEventNumber(id); n > 0 {
		return n - 1
	}
	return 0
}

// setEvents takes cache events; those that cannot be read are left out, which
// the policy sees as a gap.
func (f *fleet) setEvents(now time.Time, id string, events []sqendpoint.CacheEvent) {
	list := make([]sqcache.Event, 0, len(events))
	for i := range events {
		if e, ok := cacheEvent(&events[i]); ok {
			list = append(list, e)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.routing.ApplyEvents(now, id, list)
}

func cacheEvent(e *sqendpoint.CacheEvent) (sqcache.Event, bool) {
	kind, ok := sqcache.ParseEventKind(e.Kind)
	if !ok {
		return sqcache.Event{}, false
	}
	var piece uint64
	if kind != sqcache.Cleared {
		name, err := strconv.ParseUint(e.BlockHash, 16, 64)
		if err != nil {
			return sqcache.Event{}, false
		}
		piece = sqprompt.ModelBlockHash(e.Model, name)
	}
	return sqcache.NewEvent(sqcache.EventConfig{Number: e.Number, Kind: kind, Block: piece}), true
}
