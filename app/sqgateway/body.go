package sqgateway

import (
	"errors"
	"io"

	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqplace"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqlink"
)

const (
	// maxResponseBytes is the maximum size of a response body that is not a stream.
	maxResponseBytes = 32 << 20
	// maxKeptBytes is the maximum size of a body that is read as a whole before it is
	// forwarded, so that the request can be sent again if the body breaks off.
	maxKeptBytes = 256 << 10
	// minKeptBytes is the size of the first buffer for a body.
	minKeptBytes = 2 << 10
	// maxTotalKeptBytes is the memory for all bodies and events that are kept, of the 128 MB
	// of a small VM.
	maxTotalKeptBytes = 16 << 20
)

// readBody reads a body as long as it can be kept. It returns false if more may follow.
func (x *request) readBody(r io.Reader) (body []byte, isWhole bool, err error) {
	for {
		if len(body) == cap(body) {
			size := max(minKeptBytes, 2*cap(body))
			if size > maxKeptBytes || !x.memory.Resize(size) {
				return body, false, nil
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
}

// relayLongBody forwards a response whose body is too long to be kept, the beginning first.
// From then on the request cannot be sent again: if the body breaks off or has no end, the
// caller's connection is aborted.
func (x *request) relayLongBody(reply *sqlink.Response, dispatch *sqplace.Dispatch, beginning []byte) {
	x.countForBilling()
	x.sends++
	x.writeHeader(reply.Status(), reply.Header(), int(reply.Length()))
	if reason := x.copyBody(reply, beginning); reason != "" {
		x.finishDispatch(dispatch, false, true)
		x.abort(reply.Status(), reason)
	}
	x.finishDispatch(dispatch, true, true)
	x.recordTraitsAnswered(sqclock.Now())
	x.clearWriteDeadline()
	x.recordAnswered(reply.Status(), reply.Framing())
}

// copyBody copies a body to the caller and returns why that failed, or "".
func (x *request) copyBody(r io.Reader, beginning []byte) (failure string) {
	buf := beginning
	total := 0
	for {
		if _, err := x.w.Write(buf); err != nil {
			return "the caller's connection broke off"
		}
		if total += len(buf); total > maxResponseBytes {
			return "the answer is too long"
		}
		if cap(buf) < maxReadBytes {
			buf = make([]byte, maxReadBytes)
		}
		n, err := r.Read(buf[:maxReadBytes])
		buf = buf[:n]
		if errors.Is(err, io.EOF) && n == 0 {
			return ""
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return err.Error()
		}
	}
}

// keepEvent makes room for the beginning of an event that is held back until its end comes,
// beyond the usual buffer. It returns false if there is no memory for it.
func (x *request) keepEvent(heldBytes int) bool {
	if x.memory.Resize(max(0, heldBytes-maxReadBytes)) {
		return true
	}
	x.g.log.Event(sqevent.ResponseMemoryShort, x.attempt.ID, x.lastEndpoint, x.g.responseMemory.UsedBytes())
	return false
}
