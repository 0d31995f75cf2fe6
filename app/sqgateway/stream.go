package sqgateway

import (
	"errors"
	"io"
	"mime"
	"net/http"

	"sequoiadock/core/sqattempt"
	"sequoiadock/core/sqframe"
	"sequoiadock/core/sqplace"
	"sequoiadock/core/sqtable"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqlink"
)

// maxReadBytes is the size of the read buffer for streams, and the number of bytes
// that are read of the response of a prefill engine.
const maxReadBytes = 16 << 10

// stream is an event stream whose status and headers were written to the caller.
type stream struct {
	status int
	// mediaType is that of the response with which the stream began.
	mediaType string
	framer    sqframe.Framer
	rc        *http.ResponseController
}

// isStream reports whether a response with the status is forwarded as a stream of
// events.
func (x *request) isStream(status int) bool {
	return x.route.Kind() == sqtable.Stream && status == http.StatusOK
}

// mediaType returns the media type of a response without its parameters, or "".
func mediaType(h http.Header) string {
	name, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	if err != nil {
		return ""
	}
	return name
}

// resumeAfter returns the ID of the last event that was forwarded, or "" to start at
// the first event.
func (x *request) resumeAfter() string {
	if x.stream == nil {
		return ""
	}
	return x.stream.framer.LastID()
}

// relayStream forwards events as they arrive. It forwards whole events only, so
// that a stream that breaks off in the middle of an event can be resumed with that
// event on another endpoint. The end of the response is the end of the stream only
// if no event is left unfinished. The results are those of exchange.
func (x *request) relayStream(reply *sqlink.Response, dispatch *sqplace.Dispatch) (sendResult, bool) {
	if x.stream != nil && mediaType(reply.Header()) != x.stream.mediaType {
		return sendResult{outcome: sqattempt.Broken, reason: "the answer of the next endpoint is not a stream of events", reached: true}, false
	}
	var framer sqframe.Framer
	if x.stream != nil {
		framer.ResumeAfter(x.stream.framer.LastID())
	}
	buf := make([]byte, maxReadBytes)
	for {
		n, err := reply.Read(buf)
		events := framer.Push(buf[:n])
		if len(events) > 0 {
			x.recordFirstEvent(dispatch)
			if !x.writeEvents(reply, framer, events) {
				x.finishDispatch(dispatch, true, true)
				x.fail(http.StatusOK, "the caller's connection broke off")
				return sendResult{}, true
			}
		}
		switch {
		case !x.keepEvent(framer.HeldBytes()):
			return sendResult{outcome: sqattempt.Broken, reason: "no memory for a long event", reached: true}, false
		case framer.Invalid():
			return sendResult{outcome: sqattempt.Broken, reason: "an event is too long, out of order or without an ID", reached: true}, false
		case errors.Is(err, io.EOF) && !framer.CompleteAtEnd(reply.Framing().MarksEnd()):
			return sendResult{outcome: sqattempt.Broken, reason: "the stream ended inside an event or before its first one, framing " +
				reply.Framing().String(), reached: true, connectionLost: !reply.Framing().MarksEnd()}, false
		case errors.Is(err, io.EOF):
			x.finishStream(reply, dispatch, framer)
			return sendResult{}, true
		case err != nil:
			return x.connectionFailure(err), false
		}
	}
}

// recordFirstEvent records the arrival of the first event of a send. Further calls
// have no effect.
func (x *request) recordFirstEvent(dispatch *sqplace.Dispatch) {
	now := sqclock.Now()
	x.g.mu.Lock()
	dispatch.RecordFirstToken(now)
	x.g.mu.Unlock()
	if x.firstEventAt.IsZero() {
		x.firstEventAt = now
	}
	if x.sendFirstEventAt.IsZero() {
		x.sendFirstEventAt = now
	}
	x.countForBilling()
}

// writeEvents sends events to the caller, and before the first ones the status and
// headers of the response that contains them. It returns false if the write fails.
func (x *request) writeEvents(reply *sqlink.Response, framer sqframe.Framer, events []byte) bool {
	if x.stream == nil {
		x.stream = &stream{status: reply.Status(), mediaType: mediaType(reply.Header()), rc: http.NewResponseController(x.w)}
		x.recordOrigin(sqclock.Now())
		x.writeHeader(reply.Status(), reply.Header(), -1)
	}
	x.stream.framer = framer
	if _, err := x.w.Write(events); err != nil {
		return false
	}
	return x.stream.rc.Flush() == nil
}

// finishStream completes a response whose events were all forwarded.
func (x *request) finishStream(reply *sqlink.Response, dispatch *sqplace.Dispatch, framer sqframe.Framer) {
	if x.stream == nil {
		x.countForBilling()
		x.writeEvents(reply, framer, nil)
	}
	x.finishDispatch(dispatch, true, true)
	x.recordTraitsAnswered(sqclock.Now())
	x.clearWriteDeadline()
	x.sends++
	x.recordAnswered(x.stream.status, reply.Framing())
}
