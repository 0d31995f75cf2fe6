package sqentry

import (
	"sync"
	"sync/atomic"

	"sequoiadock/core/sqerror"
)

// maxTotalResponseBytes bounds the memory for all responses that are buffered
// before they are sent. Streams are relayed unbuffered and take none.
const maxTotalResponseBytes = 128 << 20

// memoryPool bounds the memory that many requests reserve together.
type memoryPool struct {
	limit     int64
	usedBytes atomic.Int64
}

func (p *memoryPool) reserve(n int64) bool {
	if p.usedBytes.Add(n) <= p.limit {
		return true
	}
	p.usedBytes.Add(-n)
	return false
}

// reservation is the memory that one request has reserved in a pool. It
// is safe for concurrent use: a once-only call may outlive its request.
type reservation struct {
	pool *memoryPool

	mu       sync.Mutex
	bytes    int64
	released bool
}

// reserve reserves n more bytes and reports whether they were available. After
// release it always succeeds: the little that a call still holds is no longer
// counted.
func (r *reservation) reserve(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.released {
		return true
	}
	if !r.pool.reserve(int64(n)) {
		return false
	}
	r.bytes += int64(n)
	return true
}

// release returns all reserved bytes to the pool.
func (r *reservation) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pool.usedBytes.Add(-r.bytes)
	r.bytes = 0
	r.released = true
}

// errResponseMemory ends a response for which no memory is available.
var errResponseMemory = sqerror.New(sqerror.Config{
	Kind: sqerror.Overloaded, Detail: "the answers of all requests take too much memory", Execution: sqerror.MayHaveRun,
	RetryAfter: retryAfter(sqerror.Overloaded),
})
