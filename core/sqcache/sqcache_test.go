package sqcache

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func stored(n, block uint64) Event {
	return NewEvent(EventConfig{Number: n, Kind: Stored, Block: block})
}

func expectBlocks(t *testing.T, x *Index, now time.Time, blocks []uint64, want map[uint32]float64) {
	t.Helper()
	got := make(map[uint32]float64)
	for _, h := range x.Lookup(now, blocks) {
		got[h.Endpoint()] = h.Blocks()
	}
	assert.Equal(t, len(got), len(want), "%v", got)
	for e, n := range want {
		assert.Assert(t, got[e] > n-0.01 && got[e] < n+0.01, "endpoint %d: got %v, want %v", e, got[e], n)
	}
}

func TestLookupCountsOnlyContiguousPrefixes(t *testing.T) {
	x := New(Config{})
	for n, block := range []uint64{10, 11, 13} {
		x.Apply(start, 1, stored(uint64(n), block))
	}
	x.Apply(start, 2, stored(0, 11))
	x.RecordDispatch(start, 3, []uint64{10})
	expectBlocks(t, x, start, []uint64{10, 11, 12, 13}, map[uint32]float64{1: 2, 3: 0.8})
	expectBlocks(t, x, start, []uint64{11}, map[uint32]float64{1: 1, 2: 1})
	expectBlocks(t, x, start, []uint64{99}, map[uint32]float64{})
}

func TestHalfLifeHalvesConfidence(t *testing.T) {
	x := New(Config{HalfLife: time.Minute})
	x.Apply(start, 1, stored(1, 10))
	expectBlocks(t, x, start.Add(time.Minute), []uint64{10}, map[uint32]float64{1: 0.5})
}

func TestEventsChangeConfidence(t *testing.T) {
	for name, c := range map[string]struct {
		event Event
		want  map[uint32]float64
	}{
		"next event":         {stored(4, 90), map[uint32]float64{1: 3}},
		"repeated event":     {NewEvent(EventConfig{Number: 2, Kind: Cleared}), map[uint32]float64{1: 3}},
		"one lost event":     {stored(5, 90), map[uint32]float64{1: 3 * 0.98 * 5 / 6}},
		"many lost events":   {stored(50, 90), map[uint32]float64{}},
		"last block removed": {NewEvent(EventConfig{Number: 4, Kind: Removed, Block: 12}), map[uint32]float64{1: 2}},
		"cleared":            {NewEvent(EventConfig{Number: 4, Kind: Cleared}), map[uint32]float64{}},
	} {
		t.Run(name, func(t *testing.T) {
			x := New(Config{})
			for n, block := range []uint64{10, 11, 12} {
				x.Apply(start, 1, stored(uint64(n+1), block))
			}
			x.Apply(start, 1, c.event)
			expectBlocks(t, x, start, []uint64{10, 11, 12}, c.want)
		})
	}
}

func TestEventsAfterGapHaveFullConfidence(t *testing.T) {
	x := New(Config{})
	x.Apply(start, 1, stored(1, 10))
	x.Apply(start, 1, stored(100, 11))
	expectBlocks(t, x, start, []uint64{10}, map[uint32]float64{})
	x.Apply(start, 1, stored(101, 10))
	expectBlocks(t, x, start, []uint64{10, 11}, map[uint32]float64{1: 2})
	assert.Equal(t, x.Gaps(1), uint64(1))
	assert.Equal(t, x.NextEventNumber(1), uint64(102))
}

func TestForgottenEndpointNumberCanBeReused(t *testing.T) {
	x := New(Config{})
	x.Apply(start, 1, stored(7, 10))
	x.Forget(1)
	expectBlocks(t, x, start, []uint64{10}, map[uint32]float64{})
	x.Apply(start, 1, stored(1, 11))
	expectBlocks(t, x, start, []uint64{11}, map[uint32]float64{1: 1})
}

// reference is a simple implementation that stores the confidence of every copy
// separately.
type reference struct {
	copies map[[2]uint64]float64
	next   map[uint64]uint64
}

func (r *reference) apply(endpoint uint64, e Event) {
	next, known := r.next[endpoint]
	if known && e.Number() < next {
		return
	}
	if known && e.Number() > next {
		r.loseEvents(endpoint, e.Number()-next)
	}
	r.next[endpoint] = e.Number() + 1
	switch e.Kind() {
	case Stored:
		r.copies[[2]uint64{endpoint, e.Block()}] = 1
	case Removed:
		delete(r.copies, [2]uint64{endpoint, e.Block()})
	case Cleared:
		for k := range r.copies {
			if k[0] == endpoint {
				delete(r.copies, k)
			}
		}
	}
}

func (r *reference) loseEvents(endpoint, lost uint64) {
	copies := 0
	for k := range r.copies {
		if k[0] == endpoint {
			copies++
		}
	}
	remaining := max(0, 1-float64(lost)/float64(max(2*copies, 2)))
	for range lost {
		remaining *= 1 - DefaultClearProbability
	}
	for k := range r.copies {
		if k[0] != endpoint {
			continue
		}
		r.copies[k] *= remaining
		if remaining == 0 {
			delete(r.copies, k)
		}
	}
}

func (r *reference) blocks(endpoint uint64, prompt []uint64) float64 {
	sum, confidence := 0.0, 1.0
	for _, block := range prompt {
		c := r.copies[[2]uint64{endpoint, block}]
		if c < 1.0/(1<<16) {
			break
		}
		confidence = min(confidence, c)
		sum += confidence
	}
	return sum
}

func TestIndexMatchesReference(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		x := New(Config{})
		ref := &reference{copies: make(map[[2]uint64]float64), next: make(map[uint64]uint64)}
		const endpoints = 4
		for range rapid.IntRange(1, 60).Draw(rt, "events") {
			endpoint := rapid.Uint64Range(0, endpoints-1).Draw(rt, "endpoint")
			number := ref.next[endpoint] + rapid.SampledFrom([]uint64{0, 0, 0, 1, 3}).Draw(rt, "gap")
			kind := rapid.SampledFrom([]EventKind{Stored, Stored, Stored, Removed, Cleared}).Draw(rt, "kind")
			e := NewEvent(EventConfig{Number: number, Kind: kind, Block: rapid.Uint64Range(1, 6).Draw(rt, "piece")})
			x.Apply(start, uint32(endpoint), e)
			ref.apply(endpoint, e)
		}
		prompt := rapid.SliceOfNDistinct(rapid.Uint64Range(1, 6), 1, 6, rapid.ID[uint64]).Draw(rt, "prompt")
		hits := x.Lookup(start, prompt)
		for e := range uint64(endpoints) {
			got := 0.0
			for _, h := range hits {
				if uint64(h.Endpoint()) == e {
					got = h.Blocks()
				}
			}
			want := ref.blocks(e, prompt)
			assert.Assert(rt, got > want-0.05 && got < want+0.05, "endpoint %d: got %v, want %v", e, got, want)
		}
	})
}

func TestMemoryIsBounded(t *testing.T) {
	x := New(Config{MaxBlocks: 64})
	for i := range uint64(1000) {
		x.RecordDispatch(start, uint32(i%40), []uint64{i, i % 8})
	}
	assert.Equal(t, x.Len(), 64)
	validCopies := 0
	for _, s := range x.endpoints {
		validCopies += s.validCopies
	}
	copies := 0
	for i := range x.blocks {
		copies += int(x.blocks[i].count)
	}
	assert.Equal(t, validCopies, copies)
}
