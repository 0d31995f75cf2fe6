package sqdirectory

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

// zoneOf returns n gateways of a zone with the weights in turn.
func zoneOf(zone string, n int, weights ...uint32) []Gateway {
	var list []Gateway
	for i := range n {
		list = append(list, Gateway{Address: fmt.Sprint(zone, i), Zone: zone, Weight: weights[i%len(weights)]})
	}
	return list
}

// TestWeightOfScarcestResource fails if VMs of one size differ in weight, a large resource
// hides a small one, or a VM whose link and processor are not configured has a weight.
func TestWeightOfScarcestResource(t *testing.T) {
	small := VM{MemoryBytes: 144 << 20, LinkMegabits: 7.5, ProcessorShare: 0.144}
	for _, c := range []struct {
		vm   VM
		want uint32
	}{
		{small, 100},
		{VM{MemoryBytes: 424 << 20, LinkMegabits: 25, ProcessorShare: 0.48}, 294},
		{VM{MemoryBytes: 424 << 20, LinkMegabits: 25, ProcessorShare: 0.144}, 100},
		{VM{MemoryBytes: 288 << 20, ProcessorShare: 0.48}, 200},
		{VM{MemoryBytes: 128 << 20}, 0},
		{VM{LinkMegabits: math.Inf(1), ProcessorShare: math.NaN()}, maxWeight},
	} {
		assert.Equal(t, c.vm.Weight(), c.want, "%+v", c.vm)
	}
}

// TestMeter fails if a rate is not relative to the VM and the time that has passed, or is
// forgotten at once.
func TestMeter(t *testing.T) {
	m := NewMeter(VM{MemoryBytes: 200 << 20, LinkMegabits: 8, ProcessorShare: 0.2})
	assert.Equal(t, m.Record(Reading{At: start, MemoryBytes: 50 << 20}), Utilization{MemoryPercent: 25})
	used := Reading{At: start.Add(2 * time.Second), MemoryBytes: 100 << 20, BytesRead: 1_000_000, BytesWritten: 1_500_000, ProcessorTime: 300 * time.Millisecond}
	want := Utilization{MemoryPercent: 50, LinkPercent: 75, ProcessorPercent: 75}
	assert.Equal(t, m.Record(used), want)
	used.At = used.At.Add(time.Second)
	want.LinkPercent, want.ProcessorPercent = 37, 37
	assert.Equal(t, m.Record(used), want, "half of the value before, as nothing was used since")
	used.At = used.At.Add(minMeterInterval - 1)
	assert.Equal(t, m.Record(used), want)
	assert.Equal(t, NewMeter(VM{MemoryBytes: 1 << 20}).Record(Reading{At: start, MemoryBytes: 1 << 20}), Utilization{})
}

// TestEqualWeights fails if the answer with equal weights is not every gateway of the zone
// once, or every gateway if the zone has fewer than two.
func TestEqualWeights(t *testing.T) {
	for _, weight := range []uint32{0, 100} {
		list := append(zoneOf("a", 28, weight), zoneOf("b", 1, weight)...)
		assert.DeepEqual(t, Answer(list, "a"), addresses(list[:28]))
		assert.DeepEqual(t, Answer(list, "b"), addresses(list))
		assert.DeepEqual(t, Answer(list, "c"), addresses(list))
	}
	assert.Equal(t, len(Answer(nil, "a")), 0)
}

func addresses(list []Gateway) (all []string) {
	for _, g := range list {
		all = append(all, g.Address)
	}
	return all
}

// TestUnevenGatewaysGetTheirShare fails if callers that pick entries of the answers at
// random load a small gateway of a zone much more than a large one.
func TestUnevenGatewaysGetTheirShare(t *testing.T) {
	for _, n := range []int{3, 9, 28, 40} {
		list := zoneOf("a", n, 100, 330, 200)
		answer := Answer(list, "a")
		assert.Assert(t, len(answer) <= MaxAddresses)
		counts, total := map[string]int{}, 0.0
		for _, a := range answer {
			counts[a]++
		}
		for _, g := range list {
			total += float64(g.Weight)
		}
		highest, equal := 0.0, float64(total)/float64(n)/100
		for _, g := range list {
			assert.Assert(t, counts[g.Address] > 0, "%s is not named", g.Address)
			load := float64(counts[g.Address]) / float64(len(answer)) * total / float64(g.Weight)
			highest = max(highest, load)
		}
		t.Logf("%d gateways: the most loaded has %.2f of its share, %.2f with equal weights", n, highest, equal)
		assert.Assert(t, highest < 1.25 || n > 28 && highest < equal)
	}
}

// TestAnswersAreStable fails if two gateways with the same list answer differently, or the
// loss of one gateway removes others from an answer that names a part of them.
func TestAnswersAreStable(t *testing.T) {
	list := append(zoneOf("a", 50, 100, 300), zoneOf("b", 50, 200)...)
	before := Answer(list, "c")
	assert.Equal(t, len(before), MaxAddresses)
	assert.DeepEqual(t, Answer(list, "c"), before)
	lost := before[0]
	after := Answer(slices.DeleteFunc(slices.Clone(list), func(g Gateway) bool { return g.Address == lost }), "c")
	for _, a := range before[1:] {
		assert.Assert(t, slices.Contains(after, a))
	}
}

// TestOverloadedGatewaysAreNotNamed fails if an answer names an overloaded gateway while
// there are others, or nobody if all are.
func TestOverloadedGatewaysAreNotNamed(t *testing.T) {
	for _, weights := range [][]uint32{{100}, {100, 300}} {
		list := zoneOf("a", 3, weights...)
		list[1].Overloaded = true
		assert.Assert(t, !slices.Contains(Answer(list, "a"), "a1"))
		list[0].Overloaded, list[2].Overloaded = true, true
		assert.Assert(t, len(Answer(list, "a")) >= 3)
	}
}

func report(name, zone string, processorPercent uint32) Report {
	return Report{Name: name, Zone: zone, Utilization: Utilization{ProcessorPercent: processorPercent}}
}

// TestHysteresis fails if a gateway returns before its load has been low for callers who
// left, flaps between the thresholds, or comes back as soon after each relapse.
func TestHysteresis(t *testing.T) {
	o := NewOverloads()
	update := func(at time.Duration, percent uint32) bool {
		o.Update(start.Add(at), []Report{report("g0", "a", percent), report("g1", "a", 0), report("g2", "a", 0)})
		return o.LeftOut("g0")
	}
	assert.Assert(t, !update(0, enterPercent-1))
	assert.Assert(t, update(time.Second, enterPercent))
	assert.Assert(t, update(2*time.Second, 0), "callers have not left yet")
	assert.Assert(t, update(7*time.Second, leavePercent+1))
	assert.Assert(t, !update(8*time.Second, leavePercent))
	assert.Assert(t, update(9*time.Second, enterPercent))
	assert.Assert(t, update(15*time.Second, 0), "a relapse lasts longer")
	assert.Assert(t, !update(19*time.Second, 0))
	assert.Assert(t, !update(40*time.Second, 0))
	assert.Equal(t, len(o.byName), 0, "a gateway that has recovered is forgotten")
}

// TestThirdOfZoneAtMost fails if more than a third of a zone's gateways, or its last ones,
// are left out, in random sequences of loads and losses, or if overloaded gateways take
// turns while nothing changes.
func TestThirdOfZoneAtMost(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		o, now := NewOverloads(), start
		for range 200 {
			now = now.Add(time.Duration(rng.IntN(3000)) * time.Millisecond)
			var reports []Report
			sizes := map[string]int{}
			for i := range 12 {
				if rng.IntN(4) > 0 {
					zone := string(rune('a' + i%3))
					sizes[zone]++
					reports = append(reports, report(fmt.Sprint("g", i), zone, uint32(rng.IntN(130))))
				}
			}
			o.Update(now, reports)
			leftOut := map[string]int{}
			for _, r := range reports {
				if o.LeftOut(r.Name) {
					leftOut[r.Zone]++
				}
			}
			for zone, n := range leftOut {
				assert.Assert(t, n*leftOutDivisor <= sizes[zone], "seed %d", seed)
			}
			assert.Equal(t, len(o.Update(now, reports)), 0, "seed %d", seed)
		}
	}
}

// BenchmarkAnswer measures the answer to one caller, with equal and uneven gateways.
func BenchmarkAnswer(b *testing.B) {
	for name, weights := range map[string][]uint32{"equal": {100}, "uneven": {100, 330, 200}} {
		b.Run(name, func(b *testing.B) {
			list := append(zoneOf("a", 28, weights...), append(zoneOf("b", 28, weights...), zoneOf("c", 28, weights...)...)...)
			for b.Loop() {
				if len(Answer(list, "b")) == 0 {
					b.Fatal("no gateway is named")
				}
			}
		})
	}
}

// BenchmarkUpdate measures the decision over all gateways, which the holder makes ten times
// a second, with a fifth of them overloaded.
func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{84, 340} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var reports []Report
			for i := range n {
				reports = append(reports, report(fmt.Sprint("g", i), fmt.Sprint("z", i%3), uint32(i%5*24)))
			}
			o := NewOverloads()
			for b.Loop() {
				o.Update(start, reports)
			}
		})
	}
}
