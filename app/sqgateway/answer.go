package sqgateway

import (
	"net/http"
	"strconv"
	"time"

	"sequoiadock/core/sqevent"
	"sequoiadock/io/sqclock"
)

// perConnection are headers of an answer that concern one connection only.
var perConnection = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length",
}

// writeMargin is for how long after the deadline a caller may still take what was
// written.
const writeMargin = 1 * time.Second

// refuse answers a request that has not run and never will. RetryAfter is when
// the caller may come back, 0 for never.
func (x *request) refuse(status int, reason string, retryAfter time.Duration) {
	if x.stream != nil {
		x.breakOff(reason)
	}
	now := sqclock.Now()
	x.g.meter.refused.Inc()
	x.g.log.Event(sqevent.RequestRefused, x.attempt.ID, x.routeName(), x.team, status, reason, retryAfter.Milliseconds(),
		now.Sub(x.begun).Milliseconds(), x.version())
	if retryAfter > 0 {
		x.w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	x.writeOwn(status)
}

// fail answers a request that may have run.
func (x *request) fail(status int, reason string) {
	if x.callerLeft() {
		x.g.meter.left.Inc()
		x.g.log.Event(sqevent.CallerLeft, x.attempt.ID, x.routeName(), x.last, sqclock.Now().Sub(x.begun).Milliseconds())
		panic(http.ErrAbortHandler)
	}
	if x.stream != nil {
		x.breakOff(reason)
	}
	x.logFailure(status, reason)
	x.writeOwn(status)
}

func (x *request) logFailure(status int, reason string) {
	x.g.meter.failed.Inc()
	x.g.log.Event(sqevent.RequestFailed, x.attempt.ID, x.routeName(), x.team, x.last, x.lastPrefill, x.sends, status, reason,
		sqclock.Now().Sub(x.begun).Milliseconds(), x.version())
}

// breakOff ends an answer that has begun so that it does not look complete.
func (x *request) breakOff(reason string) {
	x.logFailure(x.stream.status, reason)
	panic(http.ErrAbortHandler)
}

// writeOwn writes an answer of the gateway itself, without a body.
func (x *request) writeOwn(status int) {
	h := x.w.Header()
	h.Set("Content-Length", "0")
	x.w.WriteHeader(status)
}

// writeHead writes the head of an endpoint's answer, unchanged but for what
// concerns the connection. A negative length means that it is not known.
func (x *request) writeHead(status int, from http.Header, length int) {
	h := x.w.Header()
	for name, values := range from {
		h[name] = values
	}
	for _, name := range perConnection {
		h.Del(name)
	}
	// Without these, the library would add a date and guess a type.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := h[name]; !ok {
			h[name] = nil
		}
	}
	x.boundWrites(sqclock.Now())
	if length >= 0 && bodyAllowed(status) {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	x.w.WriteHeader(status)
}

// boundWrites ends an answer whose caller does not take it in time. The server
// begins each request without a deadline.
func (x *request) boundWrites(now time.Time) {
	// Without a deadline the write is bounded by the caller's connection alone.
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(x.left(now) + writeMargin))
}

// unboundWrites lets the next request on the connection begin without a deadline.
func (x *request) unboundWrites() {
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Time{})
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

// done logs a request that got an endpoint's answer.
func (x *request) done(status int) {
	now := sqclock.Now()
	first := now
	if !x.firstAt.IsZero() {
		first = x.firstAt
	}
	x.g.meter.answered.Inc()
	x.g.meter.first.Update(first.Sub(x.begun).Seconds())
	x.g.meter.total.Update(now.Sub(x.begun).Seconds())
	x.g.log.Event(sqevent.RequestDone, x.attempt.ID, x.routeName(), x.team, x.last, x.lastPrefill, x.sends, status,
		first.Sub(x.begun).Milliseconds(), now.Sub(x.begun).Milliseconds(), x.expected.Milliseconds(), x.version())
}

func (x *request) routeName() string {
	if x.route == nil {
		return ""
	}
	return x.route.Name()
}

func (x *request) version() uint64 {
	if x.table == nil {
		return 0
	}
	return x.table.Version()
}
