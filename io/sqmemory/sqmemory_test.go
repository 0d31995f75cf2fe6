package sqmemory

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestReservationsShareThePool checks that requests together reserve no more than the pool
// has, and that all of it returns.
func TestReservationsShareThePool(t *testing.T) {
	p := NewPool(100)
	a, b := p.NewReservation(), p.NewReservation()
	assert.Assert(t, a.Reserve(60))
	assert.Assert(t, !b.Reserve(50))
	assert.Assert(t, b.Resize(40))
	assert.Assert(t, !b.Resize(41))
	assert.Assert(t, b.Resize(10) && a.Resize(90))
	assert.Equal(t, p.UsedBytes(), int64(100))
	a.Release()
	assert.Assert(t, a.Reserve(1000), "a call that outlives its request is not counted")
	b.Release()
	b.Release()
	assert.Equal(t, p.UsedBytes(), int64(0))
}
