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
)

// Headers from callers.
const (
	headerService  = "Sequoiadock-Service"
	headerDeadline = "Sequoiadock-Deadline-Millis"
	headerIdentity = "Idempotency-Key"
)

// request is what all requests of callers share.
type request struct {
	e *entry
	c echo.Context
	// req outlives the handler, as c does not.
	req      *http.Request
	id       string
	arrived  time.Time
	svc      *service
	caller   *caller
	deadline time.Time
	lines    []string
	// turn is its admission, whose reasons come at place turnAt of lines.
	turn   admitted
	turnAt int
	// held is the size of the body, counted against the entry's memory.
	held int64
	// answer is what its answer takes of the entry's memory.
	answer *holding
}

// note keeps why something went as it did.
func (r *request) note(lines ...string) { r.lines = append(r.lines, lines...) }

// sentences returns why all went as it did.
func (r *request) sentences() []string {
	if r.turn.decided == 0 {
		return r.lines
	}
	all := append([]string(nil), r.lines[:r.turnAt]...)
	return append(append(all, r.turn.lines()...), r.lines[r.turnAt:]...)
}

// team returns the team the request runs for; "" on open routes.
func (r *request) team() string {
	if r.caller == nil {
		return ""
	}
	return r.caller.team
}

// authorise finds the caller by its key and checks that the entry's knowledge of
// keys is fresh. Routes open to all need neither.
func (r *request) authorise() error {
	if r.svc.conf.GetOpen() {
		r.caller = &caller{open: true}
		return nil
	}
	key, err := presentedKey(r.req.Header)
	if err != nil {
		return err
	}
	if !r.e.watch.Refresh(r.req.Context()) {
		return r.e.stale()
	}
	v := r.e.watch.View()
	hash := sqkey.Sum(key)
	g, ok := v.Keys().Find(hash)
	if !ok {
		return notRun(sqerror.BadKey, "the key is not granted")
	}
	r.caller = &caller{team: g.Team, key: key, hash: hash}
	return nil
}

// presentedKey returns the one key of a request.
func presentedKey(h http.Header) (string, error) {
	values := h.Values(echo.HeaderAuthorization)
	if len(values) == 0 {
		return "", notRun(sqerror.NoKey, "no key")
	}
	if len(values) > 1 {
		return "", notRun(sqerror.BadKey, "more than one key")
	}
	scheme, key, ok := strings.Cut(values[0], " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || !sqkey.WellFormed(key) {
		return "", notRun(sqerror.BadKey, "the key is malformed")
	}
	return key, nil
}

// setDeadline takes the caller's deadline, or the service's.
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

// context returns a context that ends with the deadline, the caller or the grace
// of a planned stop.
func (r *request) context() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(r.req.Context())
	stop := context.AfterFunc(r.e.grace, func() { cancel(errStopping) })
	ctx, done := context.WithTimeout(ctx, r.deadline.Sub(sqclock.Now()))
	return ctx, func() {
		stop()
		done()
		cancel(nil)
	}
}

func badRequest(advice string) *sqerror.Error {
	return sqerror.New(sqerror.Config{Kind: sqerror.BadRequest, Detail: advice, Advice: advice, Run: sqerror.NotRun})
}

// Memory that bodies may take in all.
const maxBodyBytes = 128 << 20

// body reads the whole body within the bounds of size, time and memory.
func (r *request) body() ([]byte, error) {
	limit := r.e.cfg.Limits.MaxBodyBytes
	req := r.req
	if req.ContentLength > limit {
		return nil, notRun(sqerror.TooLarge, "the body is too large")
	}
	rc := http.NewResponseController(r.c.Response())
	// net/http reads on to notice a caller that leaves: the deadline is taken
	// back, or that read would end the request.
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

// bodyReader counts what bodies take of the entry's memory.
type bodyReader struct {
	r       io.Reader
	request *request
	limit   int64
}

// Read reads the body up to its limits.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	b.request.held += int64(n)
	total := b.request.e.running.bodyBytes.Add(int64(n))
	if b.request.held > b.limit {
		return n, notRun(sqerror.TooLarge, "the body is too large")
	}
	if total > maxBodyBytes {
		return n, notRun(sqerror.Overloaded, "the bodies of all requests take too much memory")
	}
	return n, err
}

// admit waits for the request's turn.
func (r *request) admit(ctx context.Context, cfg sqadmit.RequestConfig) (*admitted, error) {
	cfg.Team = r.team()
	cfg.Deadline = r.deadline
	r.turnAt = len(r.lines)
	err := r.e.admission.admit(ctx, sqclock.Now(), cfg, &r.turn)
	if err != nil {
		return nil, err
	}
	return &r.turn, nil
}

// end records the request's decision and counts it.
func (r *request) end(g grade, err *sqerror.Error) {
	r.e.running.bodyBytes.Add(-r.held)
	r.answer.release()
	kind := sqdecision.Request
	if err != nil {
		kind = sqdecision.Refusal
		r.note("Ended with " + err.Kind().String() + " (" + err.Run().String() + "): " + err.Detail() + ".")
		r.e.gauges.refused(err.Kind())
	}
	sentences := r.sentences()
	if r.svc != nil && r.caller != nil {
		r.e.burn.add(r.team(), r.svc.conf.GetName(), g)
		sentences = append([]string{"For " + teamWords(r.team()) + ", service " + r.svc.conf.GetName() + "."}, sentences...)
	}
	r.e.gauges.took(sqclock.Now().Sub(r.arrived))
	r.e.decisions.add(sqdecision.Config{ID: r.id, At: sqclock.Wall(), Kind: kind, Sentences: sentences})
}

func teamWords(team string) string {
	if team == "" {
		return "a route open to all"
	}
	return "team " + team
}
