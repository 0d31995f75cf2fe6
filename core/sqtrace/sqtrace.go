// Package sqtrace collects the log lines of gateways and coordinators that explain
// the outcome of one request, given the ID of the request.
package sqtrace

import (
	"bytes"
	"encoding/json"
	"slices"
	"time"

	"sequoiadock/core/sqevent"
)

// contextWindow is how long before the first and after the last line of a request
// another event may be related to the request.
const contextWindow = 5 * time.Second

// Line is one parsed line of a log.
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
func (l *Line) Event() int { return int(l.numberField("event")) }

// Process returns the name of the process that wrote the line.
func (l *Line) Process() string { return l.stringField("@module") }

func (l *Line) stringField(name string) string {
	s, _ := l.fields[name].(string)
	return s
}

func (l *Line) numberField(name string) float64 {
	n, _ := l.fields[name].(float64)
	return n
}

// Parse returns the lines of logs, oldest first, and how many could not be parsed.
// It ignores any text before the first brace of a line.
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
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return Line{}, false
	}
	l := Line{text: string(raw[start:])}
	if json.Unmarshal(raw[start:], &l.fields) != nil {
		return Line{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, l.stringField("@timestamp"))
	l.at = at
	return l, err == nil
}

// Trace holds the log lines that concern a request, and an explanation of its
// outcome.
type Trace struct {
	requestLines []Line
	context      []Line
	advice       string
}

// RequestLines returns the lines of the request itself, oldest first.
func (t *Trace) RequestLines() []Line { return t.requestLines }

// Context returns, oldest first, the state changes of the request's gateways and of
// the coordinators around the time of the request, and the service loads that the
// lease holder logged.
func (t *Trace) Context() []Line { return t.context }

// Advice says what the last line of the request means and where to look next.
func (t *Trace) Advice() string { return t.advice }

// Find returns the trace of a request, or false if no line names the request.
func Find(lines []Line, requestID string) (*Trace, bool) {
	t := &Trace{}
	gateways := map[string]bool{}
	for _, l := range lines {
		if l.stringField("request") == requestID {
			t.requestLines = append(t.requestLines, l)
			gateways[l.Process()] = true
		}
	}
	if len(t.requestLines) == 0 {
		return nil, false
	}
	from, to := t.requestLines[0].at.Add(-contextWindow), t.requestLines[len(t.requestLines)-1].at.Add(contextWindow)
	for _, l := range lines {
		if l.at.Before(from) || l.at.After(to) {
			continue
		}
		if gateways[l.Process()] && isGatewayStateChange(l.Event()) || isCoordinatorStateChange(l.Event()) {
			t.context = append(t.context, l)
		}
	}
	t.advice = advise(&t.requestLines[len(t.requestLines)-1])
	return t, true
}

// isGatewayStateChange reports whether an event of a gateway is a change of its
// freshness lease or routing table.
func isGatewayStateChange(event int) bool {
	return slices.Contains([]int{
		sqevent.GatewayLeaseGained.Number, sqevent.GatewayLeaseLost.Number, sqevent.TableInForce.Number,
	}, event)
}

// isCoordinatorStateChange reports whether an event of a coordinator may affect all
// requests.
func isCoordinatorStateChange(event int) bool {
	return slices.Contains([]int{
		sqevent.HolderLeaseGained.Number, sqevent.HolderLeaseLost.Number, sqevent.ServiceLoad.Number,
		sqevent.EndpointListFailed.Number, sqevent.EndpointListChanged.Number,
		sqevent.TraitQuarantined.Number, sqevent.TraitReleased.Number,
	}, event)
}
