package sqcache

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func stored(n, piece uint64) Event {
	return NewEvent(EventConfig{Number: n, Kind: Stored, Block: piece})
}

func expectPieces(t *testing.T, x *Index, now time.Time, pieces []uint64, want map[uint32]float64) {
	t.Helper()
	got := make(map[uint32]float64)
	for _, h := range x.Lookup(now, pieces) {
		got[h.Endpoint()] = h.Blocks()
	}
	assert.Equal(t, len(got), len(want), "%v", got)
	for e, p := range want {
		assert.Assert(t, got[e] > p-0.01 && got[e] < p+0.01, "endpoint %d: got %v, want %v", e, got[e], p)
	}
}

func TestLookupCountsOnlyUnbrokenPrefixes(t *testing.T) {
	x := New(Config{})
	for n, p := range []uint64{10, 11, 13} {
		x.Apply(start, 1, stored(uint64(n), p))
	}
	x.Apply(start, 2, stored(0, 11))
	x.RecordDispatch(start, 3, []uint64{10})
	expectPieces(t, x, start, []uint64{10, 11, 12, 13}, map[uint32]float64{1: 2, 3: 0.8})
	expectPieces(t, x, start, []uint64{11}, map[uint32]float64{1: 1, 2: 1})
	expectPieces(t, x, start, []uint64{99}, map[uint32]float64{})
}

func TestAgeHalvesTrust(t *testing.T) {
	x := New(Config{HalfLife: time.Minute})
	x.Apply(start, 1, stored(1, 10))
	expectPieces(t, x, start.Add(time.Minute), []uint64{10}, map[uint32]float64{1: 0.5})
}

func TestEventsChangeTrust(t *testing.T) {
	for name, c := range map[string]struct {
		event Event
		want  map[uint32]float64
	}{
		"next event":   {stored(4, 90), map[uint32]float64{1: 3}},
		"known event":  {NewEvent(EventConfig{Number: 2, Kind: Cleared}), map[uint32]float64{1: 3}},
		"one lost":     {stored(5, 90), map[uint32]float64{1: 3 * 0.98 * 5 / 6}},
		"many lost":    {stored(50, 90), map[uint32]float64{}},
		"removed last": {NewEvent(EventConfig{Number: 4, Kind: Removed, Block: 12}), map[uint32]float64{1: 2}},
		"cleared":      {NewEvent(EventConfig{Number: 4, Kind: Cleared}), map[uint32]float64{}},
	} {
		t.Run(name, func(t *testing.T) {
			x := New(Config{})
			for n, p := range []uint64{10, 11, 12} {
				x.Apply(start, 1, stored(uint64(n+1), p))
			}
			x.Apply(start, 1, c.event)
			expectPieces(t, x, start, []uint64{10, 11, 12}, c.want)
		})
	}
}

func TestWhatIsLearnedAfterAGapIsTrusted(t *testing.T) {
	x := New(Config{})
	x.Apply(start, 1, stored(1, 10))
	x.Apply(start, 1, stored(100, 11))
	expectPieces(t, x, start, []uint64{10}, map[uint32]float64{})
	x.Apply(start, 1, stored(101, 10))
	expectPieces(t, x, start, []uint64{10, 11}, map[uint32]float64{1: 2})
	assert.Equal(t, x.Gaps(1), uint64(1))
	assert.Equal(t, x.NextEventNumber(1), uint64(102))
}

func TestForgottenNumberStartsAnew(t *testing.T) {
	x := New(Config{})
	x.Apply(start, 1, stored(7, 10))
	x.Forget(1)
	expectPieces(t, x, start, []uint64{10}, map[uint32]float64{})
	x.Apply(start, 1, stored(1, 11))
	expectPieces(t, x, start, []uint64{11}, map[uint32]float64{1: 1})
}

// naive is the plainly right version: every copy with its own trust.
type naive struct {
	copies map[[2]uint64]float64
	next   map[uint64]uint64
}

func (n *naive) apply(endpoint uint64, e Event) {
	next, known := n.next[endpoint]
	if known && e.Number() < next {
		return
	}
	if known && e.Number() > next {
		n.doubt(endpoint, e.Number()-next)
	}
	n.next[endpoint] = e.Number() + 1
	switch e.Kind() {
	case Stored:
		n.copies[[2]uint64{endpoint, e.Block()}] = 1
	case Removed:
		delete(n.copies, [2]uint64{endpoint, e.Block()})
	case Cleared:
		for k := range n.copies {
			if k[0] == endpoint {
				delete(n.copies, k)
			}
		}
	}
}

func (n *naive) doubt(endpoint, lost uint64) {
	held := 0
	for k := range n.copies {
		if k[0] == endpoint {
			held++
		}
	}
	left := max(0, 1-float64(lost)/float64(max(2*held, 2)))
	for range lost {
		left *= 1 - DefaultClearProbability
	}
	for k := range n.copies {
		if k[0] != endpoint {
			continue
		}
		n.copies[k] *= left
		if left == 0 {
			delete(n.copies, k)
		}
	}
}

func (n *naive) pieces(endpoint uint64, prompt []uint64) float64 {
	sum, trust := 0.0, 1.0
	for _, p := range prompt {
		c := n.copies[[2]uint64{endpoint, p}]
		if c < 1.0/(1<<16) {
			break
		}
		trust = min(trust, c)
		sum += trust
	}
	return sum
}

func TestIndexAgreesWithNaive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		x := New(Config{})
		n := &naive{copies: make(map[[2]uint64]float64), next: make(map[uint64]uint64)}
		const endpoints = 4
		for range rapid.IntRange(1, 60).Draw(rt, "events") {
			endpoint := rapid.Uint64Range(0, endpoints-1).Draw(rt, "endpoint")
			number := n.next[endpoint] + rapid.SampledFrom([]uint64{0, 0, 0, 1, 3}).Draw(rt, "gap")
			kind := rapid.SampledFrom([]EventKind{Stored, Stored, Stored, Removed, Cleared}).Draw(rt, "kind")
			e := NewEvent(EventConfig{Number: number, Kind: kind, Block: rapid.Uint64Range(1, 6).Draw(rt, "piece")})
			x.Apply(start, uint32(endpoint), e)
			n.apply(endpoint, e)
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
			want := n.pieces(e, prompt)
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
	held := 0
	for _, s := range x.sources {
		held += s.held
	}
	copies := 0
	for i := range x.pieces {
		copies += int(x.pieces[i].count)
	}
	assert.Equal(t, held, copies)
}
