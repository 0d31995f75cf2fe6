package sqlog

import (
	"io"
	"sync"
	"time"
)

const (
	// queueLines is how many lines wait for a reader that is slow.
	queueLines = 2048
	// linesPerSecond bounds what is written on the long run, and burstLines what
	// may come at once.
	linesPerSecond = 400
	burstLines     = 1200
)

// AsyncWriter is a writer that never blocks: a goroutine of its own writes what it is
// given. Lines that come while too many wait, or too fast on the long run, are
// dropped and counted. It is safe for concurrent use.
type AsyncWriter struct {
	lines chan []byte
	// ended is closed when everything that waited at Close was written.
	ended chan struct{}

	mu      sync.Mutex
	closed  bool
	tokens  float64
	filled  time.Time
	dropped uint64
}

// NewAsyncWriter returns a queue in front of w, which gets one line a call.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	q := &AsyncWriter{
		lines: make(chan []byte, queueLines), ended: make(chan struct{}),
		tokens: burstLines, filled: time.Now(),
	}
	go q.run(w)
	return q
}

// Write takes one line. It always reports success: there is nobody to tell.
func (q *AsyncWriter) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || !q.allow(time.Now()) {
		q.dropped++
		return len(line), nil
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped++
	}
	return len(line), nil
}

// allow takes one token of the bucket that bounds the rate.
func (q *AsyncWriter) allow(now time.Time) bool {
	q.tokens = min(burstLines, q.tokens+now.Sub(q.filled).Seconds()*linesPerSecond)
	q.filled = now
	if q.tokens < 1 {
		return false
	}
	q.tokens--
	return true
}

// Dropped returns how many lines were dropped since the last call.
func (q *AsyncWriter) Dropped() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := q.dropped
	q.dropped = 0
	return n
}

// Close writes what waits, for at most the given time.
func (q *AsyncWriter) Close(most time.Duration) {
	q.mu.Lock()
	if !q.closed {
		q.closed = true
		close(q.lines)
	}
	q.mu.Unlock()
	select {
	case <-q.ended:
	case <-time.After(most):
	}
}

func (q *AsyncWriter) run(w io.Writer) {
	defer close(q.ended)
	for line := range q.lines {
		// A line that cannot be written is lost; there is nowhere else to say so.
		_, _ = w.Write(line)
	}
}
