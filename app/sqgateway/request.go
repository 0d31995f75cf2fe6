package sqgateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"sequoiadock/core/sqattempt"
	"sequoiadock/core/sqtable"
	"sequoiadock/io/sqclock"
)

const (
	// refusedRetry is when a caller may come back that was refused because the
	// gateway itself cannot serve anybody.
	refusedRetry = 300 * time.Millisecond
	// longestStaleRetry is the longest time to come back that a gateway names which
	// does not hear the holder.
	longestStaleRetry = 2 * time.Second
	// defaultBodyBytes bounds bodies if the table does not.
	defaultBodyBytes = 4 << 20
	// bodyTimeout bounds the sending of a body if the caller names no deadline.
	bodyTimeout = 10 * time.Second
)

// request is one attempt of a caller on its way through the gateway.
type request struct {
	g       *gateway
	w       http.ResponseWriter
	r       *http.Request
	begun   time.Time
	attempt sqattempt.Attempt
	table   *sqtable.Table
	route   *sqtable.Route
	team    string
	service string
	urgent  bool
	// priority is the rank that endpoints are told.
	priority int
	body     []byte
	deadline time.Time
	// ctx ends at the deadline or when the caller leaves.
	ctx context.Context

	tried []string
	sends int
	// mayHaveRun is set once a send may have run.
	mayHaveRun bool
	// direct is set once reading the prompt ahead failed.
	direct bool
	// last are the endpoints of the last send, for logs.
	last, lastPrefill string
	expected          time.Duration
	firstAt           time.Time
	counted           bool
	stream            *stream
}

// handle answers one request of a caller.
func (g *gateway) handle(w http.ResponseWriter, r *http.Request) {
	g.meter.running.Add(1)
	defer g.meter.running.Add(-1)
	x := &request{g: g, w: w, r: r, begun: sqclock.Now(), attempt: g.cfg.Wire.Attempt(r.Header)}
	if !x.admit() {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), x.deadline.Sub(x.begun))
	defer cancel()
	x.ctx = ctx
	x.serve()
}

// admit finds the route and the team and reads the body; false means that the
// request was answered.
func (x *request) admit() bool {
	x.awaitFirstView()
	v := x.g.view.Load()
	if !v.fresh(x.begun) {
		x.refuse(http.StatusServiceUnavailable, reasonStale, v.retryAfter(x.begun))
		return false
	}
	x.table = v.table
	if most := v.table.Limits().MaxHeaderBytes; most > 0 && headerBytes(x.r.Header) > most {
		x.refuse(http.StatusRequestHeaderFieldsTooLarge, "the headers are too long", 0)
		return false
	}
	x.route = v.table.Match(x.r.Host, x.path())
	if x.route == nil {
		x.refuse(http.StatusNotFound, "no route matches", 0)
		return false
	}
	var team *sqtable.Team
	if v.table.KeysRequired() && !x.route.Public() {
		if team = v.table.Team(x.attempt.Key); team == nil {
			x.refuse(http.StatusUnauthorized, "no team holds the key", 0)
			return false
		}
		x.team = team.Name()
	}
	x.priority = x.route.Priority(team)
	x.service = x.route.PickService(rand.Float64())
	x.urgent = x.table.MostUrgent(x.route, x.service)
	x.setDeadline()
	return x.readBody()
}

// headerBytes returns the length of the names and values of headers.
func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// path returns the path as the caller sent it.
func (x *request) path() string {
	target := x.target()
	if i := strings.IndexByte(target, '?'); i >= 0 {
		return target[:i]
	}
	return target
}

// target returns the request target in the form that begins with the path.
func (x *request) target() string {
	if strings.HasPrefix(x.r.RequestURI, "/") {
		return x.r.RequestURI
	}
	return x.r.URL.RequestURI()
}

// setDeadline takes the shorter of what the caller waits and what the operator
// allows.
func (x *request) setDeadline() {
	left := x.route.Timeout()
	if x.attempt.Deadline > 0 {
		left = min(left, x.attempt.Deadline)
	}
	x.deadline = x.begun.Add(left)
}

// readBody reads the whole body, so that it can be sent again.
func (x *request) readBody() bool {
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return true
	}
	most := x.table.Limits().MaxBodyBytes
	if most == 0 {
		most = defaultBodyBytes
	}
	rc := http.NewResponseController(x.w)
	// A connection without deadlines is bounded by the server's own times.
	_ = rc.SetReadDeadline(time.Now().Add(min(bodyTimeout, x.deadline.Sub(x.begun))))
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, most))
	_ = rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		x.body = body
		return true
	case errors.As(err, &tooLarge):
		x.refuse(http.StatusRequestEntityTooLarge, "the body is too long", 0)
	default:
		x.refuse(http.StatusRequestTimeout, "the body did not come in time", refusedRetry)
	}
	return false
}

// left returns the time until the deadline.
func (x *request) left(now time.Time) time.Duration { return x.deadline.Sub(now) }

// callerLeft reports whether the caller has closed its connection.
func (x *request) callerLeft() bool { return x.r.Context().Err() != nil }
