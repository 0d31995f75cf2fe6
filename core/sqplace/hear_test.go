package sqplace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The load that this test plays: quick questions and long prompts share the
// engines that read, and gateways hear only now and then what the others sent.
const (
	hearQuickPerSecond = 185
	hearLongPerSecond  = 23
	hearSeconds        = 30
	// hearTarget is within which the prompt of a quick question shall be read.
	hearTarget = 150 * time.Millisecond
)

// flight is a request at an engine that reads, until its prompt is read.
type flight struct {
	ticket *InFlightRequest
	until  time.Time
}

// hearing plays the load with gateways that hear of each other each period, and
// returns the part of quick questions read in time.
func hearing(t *testing.T, period time.Duration) float64 {
	random := rand.New(rand.NewPCG(3, 4))
	fleet := []Endpoint{engine("d0", Decode)}
	engines := map[string]*simEngine{}
	for i := range loadEngines {
		id := fmt.Sprintf("p%d", i)
		fleet = append(fleet, engine(id, Prefill))
		engines[id] = &simEngine{cache: newCache()}
	}
	gateways := make([]*Placer, loadGateways)
	for i := range gateways {
		gateways[i] = newPlacer(t, fleet...)
		gateways[i].draws = uint64(i)
	}
	flights := make([][]flight, loadGateways)
	told, good, quick := start, 0, 0
	const perSecond = hearQuickPerSecond + hearLongPerSecond
	for n := range perSecond * hearSeconds {
		now := start.Add(time.Duration(n) * time.Second / perSecond)
		for g := range flights {
			flights[g] = finished(flights[g], now)
		}
		if now.Sub(told) >= period {
			told = now
			exchange(now, gateways)
		}
		g := random.IntN(loadGateways)
		q := ask(fmt.Sprintf("s%d", random.IntN(loadSubjects)), loadShared, loadOwn)
		long := random.IntN(perSecond) < hearLongPerSecond
		if !long {
			q = ask("greeting", 92, 291)
			q.Urgent = true
		}
		c := gateways[g].Choose(now, q)
		if c.Prefill == nil {
			continue
		}
		done, _ := engines[c.Prefill.ID()].read(now, q)
		ticket := gateways[g].Begin(now, c.Prefill, q, c.PrefillUncachedTokens, c.PrefillLatency)
		flights[g] = append(flights[g], flight{ticket, done})
		if !long {
			quick++
			if done.Sub(now) <= hearTarget {
				good++
			}
		}
	}
	return float64(good) / float64(quick)
}

// finished ends the requests whose prompt was read by now.
func finished(list []flight, now time.Time) []flight {
	kept := list[:0]
	for _, f := range list {
		if f.until.After(now) {
			kept = append(kept, f)
			continue
		}
		f.ticket.RecordFirstToken(f.until)
		f.ticket.End(f.until, true, true)
	}
	return kept
}

// exchange tells each gateway what all others have in flight and gave to read.
func exchange(now time.Time, gateways []*Placer) {
	for i, p := range gateways {
		sum := map[string]Load{}
		for j, other := range gateways {
			if j == i {
				continue
			}
			for id, l := range other.LocalLoads() {
				sum[id] = Load{Running: sum[id].Running + l.Running, PendingPrefillTokens: sum[id].PendingPrefillTokens + l.PendingPrefillTokens}
			}
		}
		p.SetRemoteLoads(sum)
		reads := p.TakeCacheUpdates()
		for j, other := range gateways {
			if j != i {
				other.ApplyCacheUpdates(now, reads)
			}
		}
	}
}

// TestHearingSooner wants fewer quick questions behind long prompts that the
// gateway did not know of when gateways hear of each other sooner.
func TestHearingSooner(t *testing.T) {
	late, soon := hearing(t, 200*time.Millisecond), hearing(t, 100*time.Millisecond)
	t.Logf("quick questions read in time: %.3f with 0.2 s, %.3f with 0.1 s", late, soon)
	assert.Assert(t, soon > late)
}
