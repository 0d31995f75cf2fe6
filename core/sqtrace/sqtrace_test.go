package sqtrace

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const logs = `
  3.1 core-1 {"@module":"core-1","@timestamp":"2026-12-04T10:00:02Z","event":3001,"term":2}
{"@module":"gateway-1","@timestamp":"2026-12-04T10:00:05.5Z","event":6007,"request":"a","status":503,"reason":"no holder"}
{"@module":"gateway-1","@timestamp":"2026-12-04T10:00:05Z","event":6001,"silentMillis":4000}
{"@module":"gateway-2","@timestamp":"2026-12-04T10:00:05Z","event":6001,"silentMillis":4000}
{"@module":"core-1","@timestamp":"2026-12-04T09:00:00Z","event":3002,"term":1}
{"@module":"gateway-1","@timestamp":"2026-12-04T10:00:06Z","event":6007,"request":"b","status":401}
{"@module":"gateway-1","@timestamp":"2026-12-04T10:00:07Z","event":6009,"request":"c"}
not a line
{"@module":"gateway-1","event":6007,"request":"d"}
`

// TestFollow wants the lines of one request, and around them what its own gateway
// and the coordinators believed, oldest first, and nothing of long before.
func TestFollow(t *testing.T) {
	lines, unreadable := Parse([]byte(logs))
	assert.Equal(t, unreadable, 2)
	assert.Equal(t, len(lines), 7)
	trace, ok := Find(lines, "a")
	assert.Assert(t, ok)
	assert.Equal(t, len(trace.RequestLines()), 1)
	assert.Assert(t, strings.Contains(trace.RequestLines()[0].Text(), "no holder"))
	var around []string
	for _, l := range trace.Context() {
		around = append(around, l.Process())
	}
	assert.DeepEqual(t, around, []string{"core-1", "gateway-1"})
	assert.Equal(t, trace.Advice(), adviceRefused)
	_, ok = Find(lines, "nobody")
	assert.Assert(t, !ok)
}

// TestAdvice wants a refusal for a key told from one for a missing holder, and a
// request without an end named so.
func TestAdvice(t *testing.T) {
	lines, _ := Parse([]byte(logs))
	b, _ := Find(lines, "b")
	assert.Equal(t, b.Advice(), adviceStatus)
	c, _ := Find(lines, "c")
	assert.Equal(t, c.Advice(), adviceOpen)
}
