package sqplace

import (
	"testing"
	"time"
)

func TestTrial(t *testing.T) {
	kinds := []mixedLoad{
		{name: "A", engines: 15, memory: 393_899, chunk: 4096, tokensPerMilli: 61, longPerSecond: 26.0 / 3, longObjective: 1200 * time.Millisecond},
		{name: "B", engines: 19, memory: 336_918, chunk: 1024, tokensPerMilli: 48, longPerSecond: 49.0 / 3, longObjective: 600 * time.Millisecond},
	}
	for _, k := range kinds {
		k.parts, k.exchangeEvery = 200, 600*time.Millisecond
		for _, v := range []string{"mis", "misB", "x5", "small", "lost", "restarts", "parts", "x8"} {
			l := k
			l.longPerSecond *= 4
			l.exchangeEvery = 1200 * time.Millisecond
			switch v {
			case "mis":
				l.declaredMemory, l.memory = l.memory, l.memory*2/5
			case "misB":
				l.declaredMemory, l.memory = l.memory, l.memory*2/5
				l.longPerSecond /= 2
			case "small":
				l.memory = 140_000
			case "lost":
				l.lostPercent = 50
			case "parts":
				l.parts = 500
			case "restarts":
				l.restartEvery = 2 * time.Second
			case "x8":
				l.longPerSecond *= 2
			}
			for seed := uint64(1); seed <= 3; seed++ {
				l.seed = seed
				before := newMixedRun(t, &l, false).play()
				run := newMixedRun(t, &l, true)
				now := run.play()
				s := run.gateways[0].services["engines"]
				t.Logf("%s %s %d\n  before %v\n  now    %v  [reach %.2f others %.0f private %.2f ratio %.2f]", k.name, v, seed, before, now, s.residency.reach, s.residency.othersRate, s.residency.privateShare, s.latencyRatio[Decode])
			}
		}
	}
}
