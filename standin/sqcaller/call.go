package sqcaller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// Refusal kinds about the state of an earlier attempt with the same identity.
const (
	callRunning = "callRunning"
	callUnknown = "callUnknown"
)

// maxUnknownRetries bounds the retries of a call after refusals which say that
// its outcome is unknown.
const maxUnknownRetries = 2

// CallRequest is a request to a plain service.
type CallRequest struct {
	Method string
	Path   string
	Body   []byte
	// Identity is the Idempotency-Key of a non-idempotent call. A call with an
	// identity is retried through another entry until its outcome is known. A
	// call without one, and with a method other than GET, is retried only after
	// a refusal which says that it did not run.
	Identity string
	Deadline time.Duration
	// Address, if set, is used for the first attempt.
	Address string
}

// CallResult is the result of a call, with all its attempts.
type CallResult struct {
	Outcome  Outcome
	Refusal  *Refusal
	Detail   string
	Decision string
	Address  string
	Status   int
	Body     []byte
	Attempts int
	// UnansweredAttempts counts the attempts without a complete response.
	UnansweredAttempts int
	Total              time.Duration

	// unknownCount counts the refusals which say that the outcome is unknown.
	unknownCount int
}

// Call sends a call and retries it where a retry is safe.
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
			a.address = c.pickAddress(r.Address)
		}
		r.Attempts++
		r.Address = a.address
		retry, wait := c.tryCall(ctx, a, &r)
		a.address = ""
		if !retry || r.Attempts >= c.cfg.MaxAttempts || !waitBeforeRetry(ctx, wait) {
			r.Total = time.Since(start)
			return r
		}
	}
}

// pastDeadline reports whether the caller's deadline had passed before now.
func (a attempt) pastDeadline(now time.Time) bool {
	return !a.deadline.IsZero() && now.After(a.deadline)
}

func (c *Caller) tryCall(ctx context.Context, a attempt, r *CallResult) (bool, time.Duration) {
	repeatable := a.identity != "" || a.method == http.MethodGet
	sentAt := time.Now()
	res, err := c.send(ctx, a)
	if err != nil {
		r.Detail = err.Error()
		r.UnansweredAttempts++
		if a.pastDeadline(sentAt) && r.Outcome == MayHaveRun {
			// Nobody owes a response to a resend after the deadline, and the refusal
			// before it still holds.
			return false, 0
		}
		r.Outcome = NoAnswer
		return repeatable, 0
	}
	defer res.Body.Close()
	r.Refusal, r.Detail = nil, ""
	r.Status = res.StatusCode
	r.Decision = res.Header.Get("Sequoiadock-Decision")
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
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
		r.unknownCount++
	}
	// A call with an identity is safe to retry even if it may have run, since the
	// system stores the identity.
	if a.identity != "" && c.cfg.RetryRefusals && wait > 0 && r.unknownCount <= maxUnknownRetries {
		return true, wait
	}
	return r.Refusal.Kind == callRunning || c.shouldRetry(r.Refusal), wait
}
