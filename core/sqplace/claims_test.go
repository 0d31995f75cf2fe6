package sqplace

import (
	"math"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqattempt"
)

// TestAbsurdTokenCounts guards against the token counts that one caller claims making sums
// negative, or closing an endpoint to others for longer than the request runs.
func TestAbsurdTokenCounts(t *testing.T) {
	for _, tokens := range []int{1 << 40, math.MaxInt / 2, math.MaxInt} {
		p := limitedPlacer(t, 0)
		q := engineQuery("s", 1000, 100)
		q.Prompt.Tokens, q.Prompt.MaxOutputTokens = tokens, tokens
		d := p.StartDispatch(start, &p.services["engines"].nodes[0].endpoint, q, 0, 0)
		held := p.OwnLoads()["d1"].MemoryTokens
		assert.Assert(t, held > 0 && held <= 400_000, "%d", held)
		d.Finish(start.Add(100*time.Millisecond), true, true)
		o := &p.services["engines"].occupancy
		assert.Assert(t, o.meanSize > 0 && o.meanSize <= 400_000, "%v", o.meanSize)
	}
}

// TestPartsBeyondPrompt guards against a prompt whose parts claim more tokens than the whole:
// a negative remainder must not change what is known of the memory.
func TestPartsBeyondPrompt(t *testing.T) {
	p := limitedPlacer(t, 0)
	for _, part := range []int{10_000, math.MaxInt} {
		q := engineQuery("s", part, 0)
		q.Prompt.Tokens = 100
		n := p.services["engines"].nodes[0]
		p.StartDispatch(start, &n.endpoint, q, 0, 0).Finish(start, true, true)
		assert.Assert(t, p.services["engines"].residency.privateShare >= 0)
		assert.Assert(t, n.resident.filled >= 0, "%d", n.resident.filled)
		for _, u := range p.TakeCacheUpdates() {
			assert.Assert(t, u.Tokens >= 0 && u.Tokens <= 400_000 && u.SuffixTokens >= 0, "%v", u)
		}
	}
}

// TestManyEmptyParts guards against a record of uses that grows without bound with parts that
// claim no or few tokens.
func TestManyEmptyParts(t *testing.T) {
	p := limitedPlacer(t, 0)
	n := p.services["engines"].nodes[0]
	for i := range 100_000 {
		q := engineQuery(strconv.Itoa(i), 0, 0)
		q.Prompt = sqattempt.Prompt{Parts: []sqattempt.Part{{ID: strconv.Itoa(i), Tokens: i % 2}, {ID: "own"}}}
		p.StartDispatch(start, &n.endpoint, q, 0, 0).Finish(start, true, true)
		p.TakeCacheUpdates()
	}
	assert.Assert(t, len(n.resident.uses) <= 10_000, "%d", len(n.resident.uses))
}

// TestAbsurdPromptLength guards against a prompt whose claimed length overflows the expected
// time, so that its endpoint looks free, or is in use, for all others.
func TestAbsurdPromptLength(t *testing.T) {
	for _, tokens := range []int{1 << 40, 1e15, math.MaxInt} {
		p := New(Config{Zone: "a", Seed: 1})
		p.SetServices(testServices(t))
		d1 := engineEndpoint("d1", Decode)
		p.SetEndpoints([]Endpoint{d1, engineEndpoint("d2", Decode)})
		absurd := engineQuery("x", 0, tokens)
		assert.Assert(t, p.Choose(start, absurd).Endpoint == nil, "%d", tokens)
		d := p.StartDispatch(start, &d1, absurd, tokens, time.Second)
		e := p.StartDispatch(start, &d1, absurd, tokens, time.Second)
		for range 20 {
			c := p.Choose(start, engineQuery("s", 1000, 100))
			assert.Assert(t, c.Endpoint != nil && c.Endpoint.ID() == "d2", "%d", tokens)
		}
		d.Abandon()
		e.Abandon()
		assert.Equal(t, len(p.OwnLoads()), 0)
	}
}
