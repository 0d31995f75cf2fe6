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
