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

// TestNeverBlocks checks that logging does not block if nobody reads the output, and
// that the dropped lines are counted.
func TestNeverBlocks(t *testing.T) {
	r, w, err := os.Pipe()
	assert.NilError(t, err)
	defer r.Close()
	defer w.Close()
	a := NewAsyncWriter(w)
	log := New(Config{Name: "n", Output: a, Level: sqevent.Info})
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
		t.Fatal("logging blocks while nobody reads the output")
	}
	dropped := a.Dropped()
	assert.Assert(t, dropped >= lines-maxBurstLines-maxQueuedLines, "%d dropped", dropped)
	assert.Equal(t, a.Dropped(), uint64(0))
	a.Close(10 * time.Millisecond)
}

// lockedBuffer is a buffer that is safe for concurrent writes.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (s *lockedBuffer) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(b)
}

// TestClose checks that Close writes the queued lines in order and that lines written
// after Close are dropped.
func TestClose(t *testing.T) {
	w := &lockedBuffer{}
	a := NewAsyncWriter(w)
	for i := range 100 {
		_, err := fmt.Fprintf(a, "line %d\n", i)
		assert.NilError(t, err)
	}
	a.Close(5 * time.Second)
	_, err := fmt.Fprintln(a, "late")
	assert.NilError(t, err)
	lines := strings.Split(strings.TrimSpace(w.buf.String()), "\n")
	assert.Equal(t, len(lines), 100)
	assert.Equal(t, lines[99], "line 99")
	assert.Equal(t, a.Dropped(), uint64(1))
}
