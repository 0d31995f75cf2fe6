package sqlog

import (
	"io"
	"sync"
	"time"
)

const (
	// maxQueuedLines is how many lines may wait for a slow output.
	maxQueuedLines = 2048
	// maxLinesPerSecond is the maximum sustained rate, and maxBurstLines the maximum
	// burst.
	maxLinesPerSecond = 400
	maxBurstLines     = 1200
)

// AsyncWriter is a writer that never blocks: a goroutine writes the queued lines to
// the output. Lines are dropped and counted while the queue is full or the rate limit
// is exceeded. It is safe for concurrent use.
type AsyncWriter struct {
	lines chan []byte
	// done is closed when all lines that were queued at Close are written.
	done chan struct{}

	mu         sync.Mutex
	closed     bool
	tokens     float64
	refilledAt time.Time
	dropped    uint64
}

// NewAsyncWriter returns an AsyncWriter that writes to w, one line for each call.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{
		lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}),
		tokens: maxBurstLines, refilledAt: time.Now(),
	}
	go a.run(w)
	return a
}

// Write queues one line. It always reports success, since a logger cannot handle an
// error.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || !a.allow(time.Now()) {
		a.dropped++
		return len(line), nil
	}
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped++
	}
	return len(line), nil
}

// allow takes one token from the token bucket that limits the rate. It returns false
// if there is none; mu must be held.
func (a *AsyncWriter) allow(now time.Time) bool {
	a.tokens = min(maxBurstLines, a.tokens+now.Sub(a.refilledAt).Seconds()*maxLinesPerSecond)
	a.refilledAt = now
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

// Dropped returns how many lines were dropped since the previous call of Dropped.
func (a *AsyncWriter) Dropped() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := a.dropped
	a.dropped = 0
	return n
}

// Close waits until the queued lines are written, but no longer than timeout. Lines
// written after Close are dropped.
func (a *AsyncWriter) Close(timeout time.Duration) {
	a.mu.Lock()
	if !a.closed {
		a.closed = true
		close(a.lines)
	}
	a.mu.Unlock()
	select {
	case <-a.done:
	case <-time.After(timeout):
	}
}

func (a *AsyncWriter) run(w io.Writer) {
	defer close(a.done)
	for line := range a.lines {
		// A write error is ignored: there is no other output to report it to.
		_, _ = w.Write(line)
	}
}
