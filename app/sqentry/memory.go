package sqentry

import (
	"sync"
	"sync/atomic"

	"sequoiadock/core/sqerror"
)

// maxAnswerBytes is the memory that answers may take in all while they are put
// together. Streams pass through and take none.
const maxAnswerBytes = 128 << 20

// memory bounds what many requests hold together.
type memory struct {
	limit int64
	used  atomic.Int64
}

func (m *memory) take(n int64) bool {
	if m.used.Add(n) <= m.limit {
		return true
	}
	m.used.Add(-n)
	return false
}

// holding is one request's part of a memory. It is safe for concurrent use: a
// call that must not be repeated may outlive its request.
type holding struct {
	memory *memory

	mu     sync.Mutex
	n      int64
	closed bool
}

// take asks for n more bytes. Once the request is over, what little a call still
// holds is no longer counted.
func (h *holding) take(n int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return true
	}
	if !h.memory.take(int64(n)) {
		return false
	}
	h.n += int64(n)
	return true
}

// release gives everything back.
func (h *holding) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.memory.used.Add(-h.n)
	h.n = 0
	h.closed = true
}

// errNoMemory ends an answer for which there is no memory.
var errNoMemory = sqerror.New(sqerror.Config{
	Kind: sqerror.Overloaded, Detail: "the answers of all requests take too much memory", Execution: sqerror.MayHaveRun,
	RetryAfter: comeBack(sqerror.Overloaded),
})
