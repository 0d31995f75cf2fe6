package sqcaller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// Kinds of refusals that concern a call's identity.
const (
	callRunning = "callRunning"
	callUnknown = "callUnknown"
)

// maxUnknowns bounds how often a caller asks again after it heard that the
// outcome is not known.
const maxUnknowns = 2

// CallRequest is a request to a plain service.
type CallRequest struct {
	Method string
	Path   string
	Body   []byte
	// Identity is the Idempotency-Key of a call that must not be repeated. A
	// call with one is sent again, through another entry, until its outcome is
	// known; a call without one and with an effect is sent once.
	Identity string
	Deadline time.Duration
	// Address, if set, is used for the first attempt.
	Address string
}

// CallResult is how a call went.
type CallResult struct {
	Outcome  Outcome
	Refusal  *Refusal
	Detail   string
	Decision string
	Address  string
	Status   int
	Body     []byte
	Attempts int
	// UnansweredAttempts counts the attempts that brought no answer.
	UnansweredAttempts int
	Total              time.Duration

	// unknowns counts the answers that the outcome is not known.
	unknowns int
}

// Call sends a call and tries again where that is safe.
func (c *Caller) Call(ctx context.Context, q CallRequest) CallResult {
	start := time.Now()
	a := attempt{method: q.Method, path: q.Path, body: q.Body, identity: q.Identity, address: q.Address}
	if q.Deadline > 0 {
		a.deadline = start.Add(q.Deadline)
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, a.deadline.Add(q.Deadline/4+time.Second))
		defer cancel()
	}
	var r CallResult
	for {
		if a.address == "" {
			a.address = c.pick(r.Address)
		}
		r.Attempts++
		r.Address = a.address
		again, wait := c.tryCall(ctx, a, &r)
		a.address = ""
		if !again || r.Attempts >= c.cfg.MaxAttempts || !pause(ctx, wait) {
			r.Total = time.Since(start)
			return r
		}
	}
}

func (c *Caller) tryCall(ctx context.Context, a attempt, r *CallResult) (bool, time.Duration) {
	repeatable := a.identity != "" || a.method == http.MethodGet
	res, err := c.send(ctx, a)
	if err != nil {
		r.Outcome, r.Detail = NoAnswer, err.Error()
		r.UnansweredAttempts++
		return repeatable, 0
	}
	defer res.Body.Close()
	r.Refusal, r.Detail = nil, ""
	r.Status = res.StatusCode
	r.Decision = res.Header.Get("Sequoiadock-Decision")
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err != nil {
		r.Outcome, r.Detail = Truncated, err.Error()
		r.UnansweredAttempts++
		return repeatable, 0
	}
	r.Body = body
	var refused refusalBody
	if res.StatusCode < http.StatusBadRequest || json.Unmarshal(body, &refused) != nil || refused.Error == nil || refused.Error.Kind == "" {
		r.Outcome = Complete
		return false, 0
	}
	r.Refusal = refused.Error
	r.Outcome = outcomeOf(r.Refusal)
	wait := time.Duration(r.Refusal.RetryAfterMillis) * time.Millisecond
	if r.Refusal.Kind == callUnknown {
		r.unknowns++
	}
	// A call with an identity may be sent again whatever the refusal says of it,
	// since the system remembers the identity.
	if a.identity != "" && c.cfg.RetryRefusals && wait > 0 && r.unknowns <= maxUnknowns {
		return true, wait
	}
	return r.Refusal.Kind == callRunning || c.comesBack(r.Refusal), wait
}
