package sqgateway

import (
	"errors"
	"io"
	"net/http"

	"sequoiadock/core/sqattempt"
	"sequoiadock/core/sqframe"
	"sequoiadock/core/sqplace"
	"sequoiadock/core/sqtable"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqlink"
)

// readBytes is how much of a stream is read at once.
const readBytes = 16 << 10

// stream is an answer of events that has begun.
type stream struct {
	status int
	framer sqframe.Framer
	rc     *http.ResponseController
}

// streams reports whether an answer is to be passed on as it comes.
func (x *request) streams(status int) bool {
	return x.route.Kind() == sqtable.Stream && status == http.StatusOK
}

// resumeAfter returns the last event that the caller has, or "" to begin.
func (x *request) resumeAfter() string {
	if x.stream == nil {
		return ""
	}
	return x.stream.framer.Last()
}

// relay passes events on as they arrive, whole ones only: a stream that breaks
// off in the middle of an event can then go on with that event elsewhere.
func (x *request) relay(reply *sqlink.Reply, ticket *sqplace.InFlightRequest) (result, bool) {
	var framer sqframe.Framer
	if x.stream != nil {
		framer.Resume(x.stream.framer.Last())
	}
	buf := make([]byte, readBytes)
	for {
		n, err := reply.Read(buf)
		events := framer.Push(buf[:n])
		if errors.Is(err, io.EOF) && !framer.Fault() {
			events = append(events, framer.Rest()...)
		}
		if len(events) > 0 {
			x.noteFirst(ticket)
			if !x.write(reply, framer, events) {
				x.end(ticket, true, true)
				x.fail(http.StatusOK, "the caller's connection broke off")
				return result{}, true
			}
		}
		switch {
		case framer.Fault():
			return result{outcome: sqattempt.Broken, reason: "the events are out of order", reached: true}, false
		case errors.Is(err, io.EOF):
			x.endStream(reply, ticket, framer)
			return result{}, true
		case err != nil:
			return x.broken(err), false
		}
	}
}

// noteFirst notes the first event of the answer.
func (x *request) noteFirst(ticket *sqplace.InFlightRequest) {
	now := sqclock.Now()
	x.g.mu.Lock()
	ticket.RecordFirstToken(now)
	x.g.mu.Unlock()
	if x.firstAt.IsZero() {
		x.firstAt = now
	}
	x.countRun()
}

// write sends events to the caller; the head of the first endpoint's answer goes
// before the first ones. It returns false if the caller does not take them.
func (x *request) write(reply *sqlink.Reply, framer sqframe.Framer, events []byte) bool {
	if x.stream == nil {
		x.stream = &stream{status: reply.Status(), rc: http.NewResponseController(x.w)}
		x.writeHead(reply.Status(), reply.Header(), -1)
	}
	x.stream.framer = framer
	if _, err := x.w.Write(events); err != nil {
		return false
	}
	return x.stream.rc.Flush() == nil
}

// endStream ends an answer of which everything was passed on.
func (x *request) endStream(reply *sqlink.Reply, ticket *sqplace.InFlightRequest, framer sqframe.Framer) {
	if x.stream == nil {
		x.countRun()
		x.write(reply, framer, nil)
	}
	x.end(ticket, true, true)
	x.unboundWrites()
	x.sends++
	x.done(x.stream.status)
}
