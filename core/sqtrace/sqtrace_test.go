package sqtrace

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const testLogs = `
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

// TestFind checks that a trace holds the lines of one request and, oldest first, the
// state changes of its own gateway and of the coordinators around that time, but no
// lines of other gateways or from long before.
func TestFind(t *testing.T) {
	lines, unreadable := Parse([]byte(testLogs))
	assert.Equal(t, unreadable, 2)
	assert.Equal(t, len(lines), 7)
	trace, ok := Find(lines, "a")
	assert.Assert(t, ok)
	assert.Equal(t, len(trace.RequestLines()), 1)
	assert.Assert(t, strings.Contains(trace.RequestLines()[0].Text(), "no holder"))
	var contextProcesses []string
	for _, l := range trace.Context() {
		contextProcesses = append(contextProcesses, l.Process())
	}
	assert.DeepEqual(t, contextProcesses, []string{"core-1", "gateway-1"})
	assert.Equal(t, trace.Advice(), adviceUnavailable)
	_, ok = Find(lines, "nobody")
	assert.Assert(t, !ok)
}

// TestAdvice checks that the advice for an unknown key differs from that for a missing
// lease holder, and that a request without a logged end is reported as such.
func TestAdvice(t *testing.T) {
	lines, _ := Parse([]byte(testLogs))
	unauthorized, _ := Find(lines, "b")
	assert.Equal(t, unauthorized.Advice(), adviceUnknownRouteOrKey)
	unfinished, _ := Find(lines, "c")
	assert.Equal(t, unfinished.Advice(), adviceNoEnd)
}
