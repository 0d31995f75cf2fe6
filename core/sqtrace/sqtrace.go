// Package sqtrace follows one request of a caller through the log lines of
// gateways and coordinators, from its identity to its cause.
package sqtrace

import (
	"bytes"
	"encoding/json"
	"slices"
	"time"

	"sequoiadock/core/sqevent"
)

// around is how long before and after a request a change of what a process
// believes may have to do with it.
const around = 5 * time.Second

// Line is one line of a log.
type Line struct {
	at     time.Time
	fields map[string]any
	text   string
}

// At returns when the line was written.
func (l *Line) At() time.Time { return l.at }

// Text returns the line as it was logged.
func (l *Line) Text() string { return l.text }

// Event returns the number of the event.
func (l *Line) Event() int { return int(l.number("event")) }

// Process returns the name of the process that wrote the line.
func (l *Line) Process() string { return l.word("@module") }

func (l *Line) word(name string) string {
	s, _ := l.fields[name].(string)
	return s
}

func (l *Line) number(name string) float64 {
	n, _ := l.fields[name].(float64)
	return n
}

// Parse returns the lines of logs, oldest first, and how many could not be read.
// What stands before the first brace of a line is passed over.
func Parse(data []byte) (lines []Line, unreadable int) {
	for raw := range bytes.Lines(data) {
		raw = bytes.TrimSpace(raw)
		if len(raw) == 0 {
			continue
		}
		l, ok := parseLine(raw)
		if !ok {
			unreadable++
			continue
		}
		lines = append(lines, l)
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.at.Compare(b.at) })
	return lines, unreadable
}

func parseLine(raw []byte) (Line, bool) {
	begin := bytes.IndexByte(raw, '{')
	if begin < 0 {
		return Line{}, false
	}
	l := Line{text: string(raw[begin:])}
	if json.Unmarshal(raw[begin:], &l.fields) != nil {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, l.word("@timestamp"))
	l.at = at
	return l, err == nil
}

// Trace is what logs tell of a request.
type Trace struct {
	own     []Line
	context []Line
	advice  string
}

// RequestLines returns the lines of the request itself, oldest first.
func (t *Trace) RequestLines() []Line { return t.own }

// Context returns the changes of what its gateway and the holder believed around
// that time, and the last loads that the holder saw, oldest first.
func (t *Trace) Context() []Line { return t.context }

// Advice says what the last line means and where to look next.
func (t *Trace) Advice() string { return t.advice }

// Find returns the trace of a request; false if no line names it.
func Find(lines []Line, request string) (*Trace, bool) {
	t := &Trace{}
	gateways := map[string]bool{}
	for _, l := range lines {
		if l.word("request") == request {
			t.own = append(t.own, l)
			gateways[l.Process()] = true
		}
	}
	if len(t.own) == 0 {
		return nil, false
	}
	from, to := t.own[0].at.Add(-around), t.own[len(t.own)-1].at.Add(around)
	for _, l := range lines {
		if l.at.Before(from) || l.at.After(to) {
			continue
		}
		if gateways[l.Process()] && isBelief(l.Event()) || isGroup(l.Event()) {
			t.context = append(t.context, l)
		}
	}
	t.advice = advise(&t.own[len(t.own)-1])
	return t, true
}

// isBelief reports whether an event says that a gateway acts on something new.
func isBelief(event int) bool {
	return slices.Contains([]int{
		sqevent.GatewayLeaseGained.Number, sqevent.GatewayLeaseLost.Number, sqevent.TableInForce.Number,
	}, event)
}

// isGroup reports whether an event of a coordinator may concern all requests.
func isGroup(event int) bool {
	return slices.Contains([]int{
		sqevent.HolderLeaseGained.Number, sqevent.HolderLeaseLost.Number, sqevent.ServiceLoad.Number,
		sqevent.EndpointListFailed.Number, sqevent.EndpointListChanged.Number,
	}, event)
}
