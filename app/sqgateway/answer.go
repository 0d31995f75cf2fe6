package sqgateway

import (
	"net/http"
	"strconv"
	"time"

	"sequoiadock/core/sqevent"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqlink"
)

// hopByHopHeaders lists the headers of a response that apply to one connection
// only and are not forwarded. Content-Length is set anew.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length",
}

// writeDeadlineMargin is the time after the request's deadline in which the
// caller may still read the response.
const writeDeadlineMargin = 1 * time.Second

// refuse responds to a request that has not run and will not run. RetryAfter is
// the value of the Retry-After header; 0 omits the header.
func (x *request) refuse(status int, reason string, retryAfter time.Duration) {
	if x.stream != nil {
		x.abort(x.stream.status, reason)
	}
	now := sqclock.Now()
	x.g.metrics.refused.Inc()
	x.g.log.Event(sqevent.RequestRefused, x.attempt.ID, x.routeName(), x.team, status, reason, retryAfter.Milliseconds(),
		now.Sub(x.receivedAt).Milliseconds(), x.tableVersion())
	if retryAfter > 0 {
		x.w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	x.writeEmptyResponse(status)
}

// fail responds to a request that may have run. It aborts the connection if the
// caller has disconnected.
func (x *request) fail(status int, reason string) {
	if x.callerDisconnected() {
		x.g.metrics.disconnected.Inc()
		x.g.log.Event(sqevent.CallerDisconnected, x.attempt.ID, x.routeName(), x.lastEndpoint,
			sqclock.Now().Sub(x.receivedAt).Milliseconds())
		panic(http.ErrAbortHandler)
	}
	if x.stream != nil {
		x.abort(x.stream.status, reason)
	}
	x.logFailure(status, reason)
	x.writeEmptyResponse(status)
}

// abort ends a response that has begun, so that the caller does not mistake it for a
// complete one.
func (x *request) abort(status int, reason string) {
	if x.callerDisconnected() {
		x.fail(status, reason)
	}
	x.logFailure(status, reason)
	if !x.r.ProtoAtLeast(1, 1) {
		x.resetCallerConnection()
	}
	panic(http.ErrAbortHandler)
}

func (x *request) logFailure(status int, reason string) {
	x.g.metrics.failed.Inc()
	x.g.log.Event(sqevent.RequestFailed, x.attempt.ID, x.routeName(), x.team, x.lastEndpoint, x.lastPrefillEndpoint,
		x.sends, status, reason, sqclock.Now().Sub(x.receivedAt).Milliseconds(), x.tableVersion())
}

// resetCallerConnection resets the connection to a caller that does not know chunks.
// To such a caller a closed connection is the end of a complete response.
func (x *request) resetCallerConnection() {
	c, _, err := http.NewResponseController(x.w).Hijack()
	if err != nil {
		x.g.log.Event(sqevent.CallerNotReset, x.attempt.ID, err.Error())
		return
	}
	if tcp, ok := c.(interface{ SetLinger(sec int) error }); ok {
		// The connection may be closed already, and then there is nothing to reset.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// writeEmptyResponse writes a response of the gateway itself, without a body.
func (x *request) writeEmptyResponse(status int) {
	h := x.w.Header()
	h.Set("Content-Length", "0")
	x.w.WriteHeader(status)
}

// writeHeader writes the status and headers of an endpoint's response, without
// the hop-by-hop headers. The length is that of the body, in bytes; a negative
// length means that it is unknown.
func (x *request) writeHeader(status int, header http.Header, length int) {
	h := x.w.Header()
	for name, values := range header {
		h[name] = values
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	// Unless these entries are nil, net/http adds a Date header and guesses a
	// Content-Type.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := h[name]; !ok {
			h[name] = nil
		}
	}
	x.setWriteDeadline(sqclock.Now())
	if length >= 0 && bodyAllowed(status) {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	x.w.WriteHeader(status)
}

// setWriteDeadline limits the time in which the caller may read the response. The
// server starts each request without a write deadline.
func (x *request) setWriteDeadline(now time.Time) {
	// If the connection does not support deadlines, the write lasts until the
	// caller reads the response or closes the connection.
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(x.timeLeft(now) + writeDeadlineMargin))
}

// clearWriteDeadline removes the write deadline, so that the next request on the
// connection starts without one.
func (x *request) clearWriteDeadline() {
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Time{})
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// recordAnswered logs a request that was answered with an endpoint's response and
// updates the metrics.
func (x *request) recordAnswered(status int, framing sqlink.Framing) {
	now := sqclock.Now()
	firstEventAt := now
	if !x.firstEventAt.IsZero() {
		firstEventAt = x.firstEventAt
	}
	x.g.metrics.answered.Inc()
	if !framing.MarksEnd() {
		x.g.metrics.closeFramed.Inc()
	}
	x.g.metrics.firstEventSeconds.Update(firstEventAt.Sub(x.receivedAt).Seconds())
	x.g.metrics.requestSeconds.Update(now.Sub(x.receivedAt).Seconds())
	x.g.log.Event(sqevent.RequestDone, x.attempt.ID, x.routeName(), x.team, x.lastEndpoint, x.lastPrefillEndpoint,
		x.sends, status, firstEventAt.Sub(x.receivedAt).Milliseconds(), now.Sub(x.receivedAt).Milliseconds(),
		x.expectedLatency.Milliseconds(), x.tableVersion(), framing.String())
}

func (x *request) routeName() string {
	if x.route == nil {
		return ""
	}
	return x.route.Name()
}

func (x *request) tableVersion() uint64 {
	if x.table == nil {
		return 0
	}
	return x.table.Version()
}
