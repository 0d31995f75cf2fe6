package sqframe

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const three = "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid: 3\r\ndata: d\r\n\r\n"

// TestPushCut wants the same events wherever the stream is cut into reads.
func TestPushCut(t *testing.T) {
	for i := range len(three) + 1 {
		var f Framer
		got := string(f.Push([]byte(three[:i])))
		assert.Assert(t, strings.HasPrefix(three, got))
		got += string(f.Push([]byte(three[i:])))
		assert.Equal(t, got, three)
		assert.Equal(t, f.LastID(), "3")
		assert.Equal(t, len(f.Buffered()), 0)
		assert.Assert(t, !f.Invalid())
	}
}

// TestBreak wants nothing of an event that is not whole.
func TestBreak(t *testing.T) {
	var f Framer
	assert.Equal(t, string(f.Push([]byte("id: 1\ndata: a\n\nid: 2\ndata"))), "id: 1\ndata: a\n\n")
	assert.Equal(t, f.LastID(), "1")
	assert.Equal(t, string(f.Buffered()), "id: 2\ndata")
}

// TestOrder wants an event refused that comes twice or goes back, and what was
// before it passed on.
func TestOrder(t *testing.T) {
	var f Framer
	assert.Equal(t, string(f.Push([]byte("id: 4\n\nid: 4\n\n"))), "id: 4\n\n")
	assert.Assert(t, f.Invalid())
	f = Framer{}
	f.ResumeAfter("7")
	assert.Equal(t, string(f.Push([]byte("id: 8\n\n"))), "id: 8\n\n")
	f.ResumeAfter("8")
	assert.Equal(t, string(f.Push([]byte("id: 3\n\n"))), "")
	assert.Assert(t, f.Invalid())
}

func TestTooLong(t *testing.T) {
	var f Framer
	f.Push(bytes.Repeat([]byte("x"), MaxEventBytes+1))
	assert.Assert(t, f.Invalid())
}

// FuzzPush wants what comes out to be what went in, however it is cut.
func FuzzPush(f *testing.F) {
	f.Add([]byte(three), 5)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		cut = min(max(cut, 0), len(data))
		var fr Framer
		out := append([]byte(nil), fr.Push(data[:cut])...)
		out = append(out, fr.Push(data[cut:])...)
		out = append(out, fr.Buffered()...)
		assert.Assert(t, bytes.Equal(out, data))
	})
}
