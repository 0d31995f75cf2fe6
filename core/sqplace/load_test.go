package sqplace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The load that this test plays: many gateways, engines with room for a part of
// the shared parts each, long prompts that mostly repeat, and gateways that hear
// of each other late. The figures are those of an assistant that reads catalogues.
const (
	loadGateways  = 8
	loadEngines   = 8
	loadSubjects  = 150
	loadPerSecond = 23
	loadSeconds   = 60
	// loadWarm is after how many seconds answers count: before, most parts are read
	// for the first time, which no placing can spare.
	loadWarm   = 20
	loadShared = 13_000
	loadOwn    = 3700
	// tellEvery is how late gateways hear of each other's requests.
	tellEvery = 300 * time.Millisecond
	// onTime is within which a first token shall come, for onTimePercent of the
	// requests: what the users ask for at the size that they grow to.
	onTime        = 720 * time.Millisecond
	onTimePercent = 95
)

// simEngine reads prompts one after the other and keeps the parts used last.
type simEngine struct {
	free  time.Time
	cache *cache
}

// read returns when the engine has read a prompt that comes at now.
func (e *simEngine) read(now time.Time, q *Query) (done time.Time, unread int) {
	names, lengths := chains(&q.Prompt)
	unread = q.Prompt.Tokens - e.cache.known(names, lengths)
	e.cache.touch(now, names[0], loadShared, 300_000)
	begin := now
	if e.free.After(now) {
		begin = e.free
	}
	e.free = begin.Add(time.Duration(float64(unread) / prefillTokensPerMilli * float64(time.Millisecond)))
	return e.free, unread
}

// play returns the part of requests on time and the tokens that were read; choose
// places a request that comes to a gateway.
func play(choose func(now time.Time, gateway int, q *Query) string) (share float64, read int) {
	random := rand.New(rand.NewPCG(1, 2))
	engines := map[string]*simEngine{}
	for i := range loadEngines {
		engines[fmt.Sprintf("p%d", i)] = &simEngine{cache: newCache()}
	}
	good, all := 0, loadPerSecond*loadSeconds
	for n := range all {
		now := start.Add(time.Duration(n) * time.Second / loadPerSecond)
		gateway := random.IntN(loadGateways)
		q := ask(fmt.Sprintf("s%d", random.IntN(loadSubjects)), loadShared, loadOwn)
		done, unread := engines[choose(now, gateway, q)].read(now, q)
		read += unread
		if n >= loadWarm*loadPerSecond && done.Sub(now) <= onTime {
			good++
		}
	}
	return float64(good) / float64(all-loadWarm*loadPerSecond), read
}

// TestSharedPartsUnderLoad wants placing by kept parts to read less than half of
// what taking turns reads, and more requests on time.
func TestSharedPartsUnderLoad(t *testing.T) {
	fleet := []Endpoint{engine("d0", Decode)}
	for i := range loadEngines {
		fleet = append(fleet, engine(fmt.Sprintf("p%d", i), Prefill))
	}
	gateways := make([]*Placer, loadGateways)
	for i := range gateways {
		gateways[i] = newPlacer(t, fleet...)
		gateways[i].draws = uint64(i)
	}
	flights := make([][]flight, loadGateways)
	told := start
	choose := func(now time.Time, g int, q *Query) string {
		for i, p := range gateways {
			flights[i] = finished(flights[i], now)
			if now.Sub(told) >= tellEvery {
				reads := p.TakeCacheUpdates()
				for j := range gateways {
					if j != i {
						gateways[j].ApplyCacheUpdates(now, reads)
					}
				}
			}
		}
		if now.Sub(told) >= tellEvery {
			told = now
		}
		c := gateways[g].Choose(now, q)
		ticket := gateways[g].Begin(now, c.Prefill, q, c.PrefillUncachedTokens, c.PrefillLatency)
		flights[g] = append(flights[g], flight{ticket, now.Add(c.PrefillLatency)})
		return c.Prefill.ID()
	}
	share, read := play(choose)

	turn := 0
	baseShare, baseRead := play(func(time.Time, int, *Query) string {
		turn++
		return fmt.Sprintf("p%d", turn%loadEngines)
	})
	t.Logf("on time %.3f, taking turns %.3f; read %d, taking turns %d tokens", share, baseShare, read, baseRead)
	assert.Assert(t, read*2 < baseRead)
	assert.Assert(t, share > baseShare && share*100 >= onTimePercent)
}
