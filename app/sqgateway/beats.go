package sqgateway

import (
	"time"

	"google.golang.org/protobuf/proto"

	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqplace"
	"sequoiadock/io/sqrpc"
)

// maxRememberedBeats is for how many heartbeats a gateway remembers the load that it
// reported. The lease holder's sum includes the load of one of the last two or three.
const maxRememberedBeats = 8

// beatLog remembers the loads of the last heartbeats, so that they can be subtracted from a
// sum that includes one of them. The gateway's mu guards it.
type beatLog struct {
	// number is that of the last heartbeat.
	number uint64
	loads  map[uint64]map[string]sqplace.Load
}

func newBeatLog() beatLog { return beatLog{loads: map[uint64]map[string]sqplace.Load{}} }

// record remembers the load that a heartbeat reports.
func (b *beatLog) record(number uint64, loads map[string]sqplace.Load) {
	b.loads[number] = loads
	delete(b.loads, number-maxRememberedBeats)
}

// subtract subtracts from the sum the load of a heartbeat that it includes. A number of 0,
// or one that is not remembered, subtracts nothing.
func (b *beatLog) subtract(sum map[string]sqplace.Load, number uint64) {
	for id, own := range b.loads[number] {
		l, ok := sum[id]
		if !ok {
			continue
		}
		l.Running = max(0, l.Running-own.Running)
		l.PrefillTokens = max(0, l.PrefillTokens-own.PrefillTokens)
		l.MemoryTokens = max(0, l.MemoryTokens-own.MemoryTokens)
		l.BodyBytes = max(0, l.BodyBytes-own.BodyBytes)
		sum[id] = l
	}
}

// applyLoadSum records the speeds of endpoints and returns the loads of the other gateways.
// The caller must hold the gateway's mu.
func (g *gateway) applyLoadSum(receivedAt time.Time, res *sqrpc.BeatResponse) map[string]sqplace.Load {
	if len(res.GetLoadSum()) == 0 {
		return loadsByEndpoint(res.GetOthers())
	}
	var sum sqrpc.InFlightList
	if err := proto.Unmarshal(res.GetLoadSum(), &sum); err != nil {
		g.log.Event(sqevent.BeatNotDecoded, "loads", err.Error())
		return nil
	}
	g.placer.SetSpeeds(receivedAt, sqrpc.ToSpeeds(&sum))
	loads := loadsByEndpoint(sum.GetLoads())
	g.beats.subtract(loads, res.GetIncludedBeat())
	return loads
}

func loadsByEndpoint(inFlight []*sqrpc.InFlight) map[string]sqplace.Load {
	loads := make(map[string]sqplace.Load, len(inFlight))
	for _, load := range inFlight {
		loads[load.GetId()] = sqplace.Load{
			Running: int(load.GetRunning()), PrefillTokens: int(load.GetUncachedTokens()),
			MemoryTokens: int(load.GetMemoryTokens()), BodyBytes: int(load.GetBodyBytes()),
		}
	}
	return loads
}

// cacheUpdatesOf returns the cache updates of other gateways.
func (g *gateway) cacheUpdatesOf(res *sqrpc.BeatResponse) []*sqrpc.CacheUpdate {
	updates := res.GetCacheUpdates()
	own := sqrpc.ReporterHash(g.cfg.Name)
	for _, encoded := range res.GetCacheUpdateLists() {
		var list sqrpc.CacheUpdateList
		if err := proto.Unmarshal(encoded, &list); err != nil {
			g.log.Event(sqevent.BeatNotDecoded, "cache updates", err.Error())
			continue
		}
		for _, u := range list.GetUpdates() {
			if u.GetReporter() != own {
				updates = append(updates, u)
			}
		}
	}
	return updates
}
