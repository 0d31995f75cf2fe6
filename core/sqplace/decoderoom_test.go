package sqplace

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDecodeEngineWithoutRoom guards against a request that is sent to a decode engine which
// has no memory for it, because its prompt is prefilled elsewhere, and against one that waits
// for room past its deadline.
func TestDecodeEngineWithoutRoom(t *testing.T) {
	p := limitedPlacer(t, 0)
	p.SetPeerLoads(map[string]Load{"d1": {Running: 3, MemoryTokens: 395_000}})
	q := engineQuery("s", 13_000, 4000)
	c := p.ChooseDecode(start, q)
	assert.Assert(t, c.Endpoint == nil && c.Wait > 0, "%+v", c)
	q.TimeLeft = time.Millisecond
	c = p.ChooseDecode(start, q)
	assert.Assert(t, c.Endpoint == nil && c.Wait == 0 && c.RetryAfter > 0, "%+v", c)
	q.TimeLeft = time.Second
	p.SetPeerLoads(nil)
	assert.Assert(t, p.ChooseDecode(start, q).Endpoint != nil)
}
