package sqlog

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqevent"
)

// TestNeverBlocks wants a process to go on whose output nobody reads, and to
// know afterwards how much it dropped.
func TestNeverBlocks(t *testing.T) {
	r, w, err := os.Pipe()
	assert.NilError(t, err)
	defer r.Close()
	defer w.Close()
	q := NewAsyncWriter(w)
	log := New(Config{Name: "n", Output: q, Level: sqevent.Info})
	const lines = 20_000
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range lines {
			log.Event(sqevent.Stopped, "role", fmt.Sprint(i))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging waits for a reader")
	}
	dropped := q.Dropped()
	assert.Assert(t, dropped >= lines-burstLines-queueLines, "%d dropped", dropped)
	assert.Equal(t, q.Dropped(), uint64(0))
	q.Close(10 * time.Millisecond)
}

// slow is a writer that keeps what it gets.
type slow struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (s *slow) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(b)
}

// TestClose wants the lines that wait written at the end, in order, and none after.
func TestClose(t *testing.T) {
	w := &slow{}
	q := NewAsyncWriter(w)
	for i := range 100 {
		_, err := fmt.Fprintf(q, "line %d\n", i)
		assert.NilError(t, err)
	}
	q.Close(5 * time.Second)
	_, err := fmt.Fprintln(q, "late")
	assert.NilError(t, err)
	lines := strings.Split(strings.TrimSpace(w.buf.String()), "\n")
	assert.Equal(t, len(lines), 100)
	assert.Equal(t, lines[99], "line 99")
	assert.Equal(t, q.Dropped(), uint64(1))
}
