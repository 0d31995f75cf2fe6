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
	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqorigin"
	"sequoiadock/core/sqquarantine"
	"sequoiadock/core/sqtable"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqhttp"
	"sequoiadock/io/sqmemory"
)

const (
	// defaultRetryAfter is the Retry-After time if the gateway itself cannot serve
	// requests or has no better estimate, and the minimum of view.retryAfter.
	defaultRetryAfter = 300 * time.Millisecond
	// maxStaleRetryAfter is the maximum Retry-After time of a gateway whose freshness
	// lease has expired.
	maxStaleRetryAfter = 2 * time.Second
	// defaultMaxBodyBytes is the maximum size of a request body if the routing table
	// sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// bodyTimeout is the maximum time to read a request body, if the deadline is not
	// earlier.
	bodyTimeout = 10 * time.Second
	// drainTimeout is the maximum time to read the rest of the body of a refused request.
	drainTimeout = 1 * time.Second
	// memoryRetryAfter is the Retry-After time if there is no memory for a request.
	memoryRetryAfter = 1 * time.Second
)

// request holds the state of one attempt of a caller while the gateway handles it.
type request struct {
	g          *gateway
	w          http.ResponseWriter
	r          *http.Request
	receivedAt time.Time
	attempt    sqattempt.Attempt
	table      *sqtable.Table
	route      *sqtable.Route
	team       string
	service    string
	urgent     bool
	// priority is sent to endpoints: 0 is the most urgent, a negative value means
	// none.
	priority int
	body     []byte
	// content is the hash of what all attempts at the request have in common.
	content  string
	deadline time.Time
	// ctx ends at the deadline, when the caller disconnects, or at the end of the grace
	// period of a gateway that stops.
	ctx context.Context

	triedEndpoints []string
	sends          int
	// mayHaveRun is set once a send may have made an endpoint run the request.
	mayHaveRun bool
	// origin is where the stream of the request began, or nil if it has not begun.
	origin *sqorigin.Origin
	// probed holds the traits with which the lease holder allowed the request to be sent.
	probed []sqquarantine.Trait
	// noRemotePrefill is set once a remote prefill has failed.
	noRemotePrefill bool
	// lastEndpoint and lastPrefillEndpoint are the IDs of the endpoints that the
	// request and its prompt were last sent to. They are used in logs only.
	lastEndpoint, lastPrefillEndpoint string
	// lastVersion is the software version of the last endpoint.
	lastVersion string
	// waitedForRoom is how long the request has waited until an endpoint has room for it.
	waitedForRoom   time.Duration
	expectedLatency time.Duration
	firstEventAt    time.Time
	// sendFirstEventAt is when the first event of the last send came, or the zero time.
	sendFirstEventAt time.Time
	billed           bool
	// memory is reserved for what is kept of responses.
	memory *sqmemory.Reservation
	stream *stream
	// quotaUnits is what was charged to the quota of the team, quotaAskedAt when, and
	// quotaSpent is set once a send may have reached an endpoint.
	quotaUnits   uint64
	quotaAskedAt time.Time
	quotaSpent   bool
}

// handle admits one request of a caller and sends it to endpoints.
func (g *gateway) handle(w http.ResponseWriter, r *http.Request) {
	g.metrics.running.Add(1)
	defer g.metrics.running.Add(-1)
	x := &request{g: g, w: w, r: r, receivedAt: sqclock.Now(), attempt: g.cfg.Wire.ParseAttempt(r.Header),
		memory: g.responseMemory.NewReservationOf(sqhttp.AccountOf(r))}
	defer x.memory.Release()
	defer x.giveBackQuota()
	if !x.admit() {
		return
	}
	if x.refuseWhileStopping() {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), x.deadline.Sub(x.receivedAt))
	defer cancel()
	stopWatching := context.AfterFunc(g.stop.grace, cancel)
	defer stopWatching()
	x.ctx = ctx
	if x.attempt.Resumes && x.route.Kind() == sqtable.Stream && !x.takeUpStream() {
		return
	}
	x.dispatch()
}

// admit determines the route, the team and the deadline, and reads the body. It
// returns false if the request was refused.
func (x *request) admit() bool {
	x.awaitFirstView()
	v := x.g.view.Load()
	if !v.fresh(x.receivedAt) {
		x.refuse(http.StatusServiceUnavailable, v.staleReason(), v.retryAfter(x.receivedAt))
		return false
	}
	x.table = v.table
	if headerLimit := v.table.Limits().MaxHeaderBytes; headerLimit > 0 && headerBytes(x.r.Header) > headerLimit {
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
	if !x.readRequestBody() {
		return false
	}
	x.setContent()
	return true
}

// setContent sets the hash of what all attempts at the request have in common.
func (x *request) setContent() {
	caller := x.team
	if caller == "" {
		caller = x.attempt.Key
	}
	c := sqattempt.Content{Caller: caller, Method: x.r.Method, Host: x.r.Host, Target: x.target(), Prompt: &x.attempt.Prompt, Body: x.body}
	x.content = c.Hash()
}

// headerBytes returns the total length of the header names and values.
func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// path returns the path of the request target, still percent-encoded.
func (x *request) path() string {
	target := x.target()
	if i := strings.IndexByte(target, '?'); i >= 0 {
		return target[:i]
	}
	return target
}

// target returns the request target in origin form, which begins with the path.
func (x *request) target() string {
	if strings.HasPrefix(x.r.RequestURI, "/") {
		return x.r.RequestURI
	}
	return x.r.URL.RequestURI()
}

// setDeadline sets the deadline from the timeout of the route, or from the
// caller's own timeout if that is shorter.
func (x *request) setDeadline() {
	timeout := x.route.Timeout()
	if x.attempt.Deadline > 0 {
		timeout = min(timeout, x.attempt.Deadline)
	}
	x.deadline = x.receivedAt.Add(timeout)
}

// readRequestBody reads the whole body into memory, so that it can be sent again. It
// returns false if the request was refused.
func (x *request) readRequestBody() bool {
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return true
	}
	bodyLimit := x.maxBodyBytes()
	rc := http.NewResponseController(x.w)
	// If the connection does not support deadlines, the server's timeouts apply.
	_ = rc.SetReadDeadline(time.Now().Add(min(bodyTimeout, x.deadline.Sub(x.receivedAt))))
	body, err := sqhttp.ReadBody(x.w, x.r, bodyLimit)
	if err == nil {
		_ = rc.SetReadDeadline(time.Time{})
		x.body = body
		return true
	}
	// The server reads on for a moment, so that the caller can read the response.
	_ = rc.SetReadDeadline(time.Now().Add(drainTimeout))
	var tooLarge *http.MaxBytesError
	switch {
	case sqerror.KindOf(err) == sqerror.Overloaded:
		// The caller reads the response only once it has sent its body.
		_, _ = io.Copy(io.Discard, sqhttp.LimitBody(x.w, x.r.Body, bodyLimit))
		x.refuse(http.StatusServiceUnavailable, "no memory for the body", memoryRetryAfter)
	case errors.As(err, &tooLarge):
		x.refuse(http.StatusRequestEntityTooLarge, "the body is too long", 0)
	default:
		x.refuse(http.StatusRequestTimeout, "the body did not come in time", defaultRetryAfter)
	}
	return false
}

// maxBodyBytes returns the maximum size of the request's body.
func (x *request) maxBodyBytes() int64 {
	if limit := x.table.Limits().MaxBodyBytes; limit > 0 {
		return limit
	}
	return defaultMaxBodyBytes
}

// timeLeft returns the time until the deadline, or until the end of the grace period of a
// gateway that stops.
func (x *request) timeLeft(now time.Time) time.Duration {
	left := x.deadline.Sub(now)
	if grace, stops := x.g.stop.graceLeft(now); stops {
		return min(left, grace)
	}
	return left
}

// callerDisconnected reports whether the caller has closed its connection.
func (x *request) callerDisconnected() bool { return x.r.Context().Err() != nil }
