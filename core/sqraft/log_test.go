package sqraft

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

// TestLogBytesAfterTruncation guards against sizes that do not follow the entries when a
// follower replaces uncommitted ones.
func TestLogBytesAfterTruncation(t *testing.T) {
	l := newEntryLog(nil, nil)
	for i := range uint64(10) {
		l.append(&Entry{Index: i + 1, Term: 1, Command: make([]byte, 100*(i+1))})
	}
	size := func(first, last uint64) (n int) {
		for i := first; i <= last; i++ {
			n += proto.Size(l.entryAt(i))
		}
		return n
	}
	l.truncateAfter(7)
	l.append(&Entry{Index: 8, Term: 2, Command: make([]byte, 5)})
	assert.Equal(t, l.bytesBetween(1, 8), size(1, 8))
	l.dropThrough(3)
	l.append(&Entry{Index: 9, Term: 2, Command: make([]byte, 6)})
	assert.Equal(t, l.bytesBetween(4, 9), size(4, 9))
	assert.Equal(t, l.bytesBetween(1, 9), size(4, 9))
	assert.Equal(t, l.bytesBetween(6, 7), size(6, 7))
	assert.Equal(t, l.bytesBetween(9, 20), size(9, 9))
	assert.Equal(t, l.bytesBetween(9, 8), 0)
}
