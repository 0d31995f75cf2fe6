package sqentry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"sequoiadock/core/sqadmit"
	"sequoiadock/core/sqdecision"
	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqkey"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqmemory"
)

// Request headers that callers set.
const (
	headerService  = "Sequoiadock-Service"
	headerDeadline = "Sequoiadock-Deadline-Millis"
	headerIdentity = "Idempotency-Key"
)

// request holds the state of one request from a caller, whatever its route.
type request struct {
	e *entry
	c echo.Context
	// req stays valid after the handler returns; c does not.
	req      *http.Request
	id       string
	arrived  time.Time
	svc      *service
	caller   *caller
	deadline time.Time
	notes    []string
	// ticket holds the admission decisions, whose explanations are inserted at
	// index admissionNoteAt of notes.
	ticket          admissionTicket
	admissionNoteAt int
	// bodyBytes is the size of the body read so far, counted against
	// maxTotalBodyBytes.
	bodyBytes int64
	// memory is the reservation for the response.
	memory *sqmemory.Reservation
}

// note adds lines to the explanation that the request's decision record keeps.
func (r *request) note(lines ...string) { r.notes = append(r.notes, lines...) }

// explanations returns the notes and the admission decisions in the order in
// which they were made.
func (r *request) explanations() []string {
	if r.ticket.decisionCount == 0 {
		return r.notes
	}
	all := append([]string(nil), r.notes[:r.admissionNoteAt]...)
	return append(append(all, r.ticket.explanations()...), r.notes[r.admissionNoteAt:]...)
}

// team returns the team that the request is accounted to; "" on routes that
// need no key.
func (r *request) team() string {
	if r.caller == nil {
		return ""
	}
	return r.caller.team
}

// authorize identifies the caller by its key and checks that the entry's copy
// of the granted keys is fresh. Routes open to all skip both checks.
func (r *request) authorize() error {
	if r.svc.conf.GetOpen() {
		r.caller = &caller{open: true}
		return nil
	}
	key, err := bearerKey(r.req.Header)
	if err != nil {
		return err
	}
	if !r.e.watch.Refresh(r.req.Context()) {
		return r.e.staleError()
	}
	v := r.e.watch.View()
	hash := sqkey.Sum(key)
	g, ok := v.Keys().Find(hash)
	if !ok {
		return notRunError(sqerror.BadKey, "the key is not granted")
	}
	r.caller = &caller{team: g.Team, key: key, keyHash: hash}
	return nil
}

// bearerKey returns the key of the request's only Authorization header.
func bearerKey(h http.Header) (string, error) {
	values := h.Values(echo.HeaderAuthorization)
	if len(values) == 0 {
		return "", notRunError(sqerror.NoKey, "no key")
	}
	if len(values) > 1 {
		return "", notRunError(sqerror.BadKey, "more than one key")
	}
	scheme, key, ok := strings.Cut(values[0], " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || !sqkey.WellFormed(key) {
		return "", notRunError(sqerror.BadKey, "the key is malformed")
	}
	return key, nil
}

// setDeadline sets the deadline that the caller asks for, or else the service's
// default.
func (r *request) setDeadline() error {
	d := r.svc.deadline()
	if values := r.req.Header.Values(headerDeadline); len(values) > 0 {
		ms, err := strconv.ParseInt(values[0], 10, 64)
		if err != nil || len(values) > 1 || ms <= 0 || ms > r.e.cfg.Timings.MaxDeadline.Milliseconds() {
			return badRequest("the deadline is not within 1 and " +
				strconv.FormatInt(r.e.cfg.Timings.MaxDeadline.Milliseconds(), 10) + " ms")
		}
		d = time.Duration(ms) * time.Millisecond
	}
	r.deadline = r.arrived.Add(d)
	return nil
}

// context returns a context that ends at the deadline, when the caller
// disconnects, or when the grace period of a planned stop is over.
func (r *request) context() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(r.req.Context())
	stop := context.AfterFunc(r.e.graceCtx, func() { cancel(errStopping) })
	ctx, cancelDeadline := context.WithTimeout(ctx, r.deadline.Sub(sqclock.Now()))
	return ctx, func() {
		stop()
		cancelDeadline()
		cancel(nil)
	}
}

func badRequest(advice string) *sqerror.Error {
	return sqerror.New(sqerror.Config{Kind: sqerror.BadRequest, Detail: advice, Advice: advice, Execution: sqerror.NotRun})
}

// maxTotalBodyBytes bounds the memory for the request bodies of all requests.
const maxTotalBodyBytes = 128 << 20

// readBody reads the whole body within the limits on size, time and memory.
func (r *request) readBody() ([]byte, error) {
	limit := r.e.cfg.Limits.MaxBodyBytes
	req := r.req
	if req.ContentLength > limit {
		return nil, notRunError(sqerror.TooLarge, "the body is too large")
	}
	rc := http.NewResponseController(r.c.Response())
	// net/http goes on reading the connection to detect that the caller
	// disconnects. The read deadline is cleared, or it would end that read and
	// with it the request.
	_ = rc.SetReadDeadline(time.Now().Add(r.e.cfg.Timings.BodyTimeout))
	defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(&bodyReader{r: req.Body, request: r, limit: limit})
	var typed *sqerror.Error
	switch {
	case err == nil:
	case errors.As(err, &typed):
		return nil, typed
	default:
		return nil, badRequest("the body was cut or came too slowly")
	}
	if r.caller.key != "" && bytes.Contains(body, []byte(r.caller.key)) {
		return nil, badRequest("the key stands in the body; it belongs into the header alone")
	}
	return body, nil
}

// bodyReader counts the bytes read against the limits of the request and of the
// entry.
type bodyReader struct {
	r       io.Reader
	request *request
	limit   int64
}

// Read fails once the body exceeds its own limit or all bodies exceed
// maxTotalBodyBytes.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	b.request.bodyBytes += int64(n)
	total := b.request.e.active.bodyBytes.Add(int64(n))
	if b.request.bodyBytes > b.limit {
		return n, notRunError(sqerror.TooLarge, "the body is too large")
	}
	if total > maxTotalBodyBytes {
		return n, notRunError(sqerror.Overloaded, "the bodies of all requests take too much memory")
	}
	return n, err
}

// admit waits until the request is admitted.
func (r *request) admit(ctx context.Context, cfg sqadmit.RequestConfig) (*admissionTicket, error) {
	cfg.Team = r.team()
	cfg.Deadline = r.deadline
	r.admissionNoteAt = len(r.notes)
	err := r.e.admission.admit(ctx, sqclock.Now(), cfg, &r.ticket)
	if err != nil {
		return nil, err
	}
	return &r.ticket, nil
}

// finish records the request's decision, releases its memory and updates the
// metrics and service levels.
func (r *request) finish(result sloResult, err *sqerror.Error) {
	r.e.active.bodyBytes.Add(-r.bodyBytes)
	r.memory.Release()
	kind := sqdecision.Request
	if err != nil {
		kind = sqdecision.Refusal
		r.note("Ended with " + err.Kind().String() + " (" + err.Execution().String() + "): " + err.Detail() + ".")
		r.e.metrics.countError(err.Kind())
	}
	explanations := r.explanations()
	if r.svc != nil && r.caller != nil {
		r.e.serviceLevels.add(r.team(), r.svc.conf.GetName(), result)
		explanations = append([]string{"For " + describeTeam(r.team()) + ", service " + r.svc.conf.GetName() + "."}, explanations...)
	}
	r.e.metrics.observeDuration(sqclock.Now().Sub(r.arrived))
	r.e.decisions.add(sqdecision.Config{ID: r.id, At: sqclock.Wall(), Kind: kind, Explanation: explanations})
}

func describeTeam(team string) string {
	if team == "" {
		return "a route open to all"
	}
	return "team " + team
}
