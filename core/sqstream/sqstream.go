// Package sqstream merges the event streams of all attempts at a request into one
// response. It matches events by request ID and token position, so that the caller
// receives every token once.
package sqstream

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"sequoiadock/core/sqerror"
)

// MaxDuplicates limits the duplicate events of one attempt: an endpoint that sends
// more of them may never finish the stream.
const MaxDuplicates = 256

// Action says what to do with an event.
type Action int

const (
	// Deliver means that the event is the next one to send to the caller.
	Deliver Action = iota + 1
	// Drop means that the caller has already received the event.
	Drop
)

// Event is one event of an endpoint's stream.
type Event struct {
	// ID is the request ID, as the endpoint repeats it.
	ID string
	// Position is the index of the token in the response, from 0.
	Position int64
	// Text is the token.
	Text string
	// FinishReason says why generation ended; it is "" in all events but the last.
	FinishReason string
}

// Response tracks the part of a response that the caller has received. It is not safe
// for concurrent use.
type Response struct {
	// position is the position of the next event to deliver.
	position int64
	// textDigest covers the delivered texts; textSum is its current sum.
	textDigest *xxhash.Digest
	textSum    uint64
}

// NewResponse returns a response without delivered events.
func NewResponse() *Response {
	d := xxhash.New()
	return &Response{textDigest: d, textSum: d.Sum64()}
}

// NextPosition returns the position of the next event to deliver.
func (a *Response) NextPosition() int64 { return a.position }

// deliver records that an event is sent to the caller.
func (a *Response) deliver(e *Event) {
	a.position++
	_, _ = a.textDigest.WriteString(e.Text)
	a.textSum = a.textDigest.Sum64()
}

// Attempt matches the events of one run of the request against a Response. A run may
// consist of several streams: it can be resumed at the same endpoint or at one that
// took over its state.
type Attempt struct {
	response *Response
	id       string
	// position is the position of the next event of the run.
	position int64
	// prefixDigest is the digest of the recomputed prefix of the response; nil after
	// it was compared.
	prefixDigest *xxhash.Digest
	duplicates   int
	finished     bool
	diverged     bool
}

// NewAttempt returns the matcher of a run with a request ID. The run starts at
// position 0, and its prefix has to equal the part that the caller has received.
func NewAttempt(response *Response, id string) *Attempt {
	t := &Attempt{response: response, id: id}
	if response.position > 0 {
		t.prefixDigest = xxhash.New()
	}
	return t
}

// ResumePosition returns the position from which to resume the run.
func (t *Attempt) ResumePosition() int64 { return t.position }

// Diverged reports whether the run's response differs from the part that the caller
// has received. Such a run must not be resumed: its remaining tokens belong to a
// different response.
func (t *Attempt) Diverged() bool { return t.diverged }

// Finished reports whether the last event of the response was delivered.
func (t *Attempt) Finished() bool { return t.finished }

// Accept returns what to do with an event. An error of kind BadResponse means that the
// rest of the stream cannot be trusted; the events delivered before are correct.
func (t *Attempt) Accept(e *Event) (Action, error) {
	if e.ID != t.id {
		return 0, badResponse("an event of another request")
	}
	if t.finished {
		return 0, badResponse("an event after the last one")
	}
	if e.Position < t.position {
		return t.dropDuplicate()
	}
	if e.Position > t.position {
		return 0, badResponse("a gap: position " + strconv.FormatInt(e.Position, 10) + " in place of " + strconv.FormatInt(t.position, 10))
	}
	t.position++
	if e.Position < t.response.position {
		return t.skipDelivered(e)
	}
	t.response.deliver(e)
	t.finished = e.FinishReason != ""
	return Deliver, nil
}

// dropDuplicate drops an event that this attempt has received before.
func (t *Attempt) dropDuplicate() (Action, error) {
	t.duplicates++
	if t.duplicates > MaxDuplicates {
		return 0, badResponse("too many doubled events")
	}
	return Drop, nil
}

// skipDelivered drops an event that an earlier attempt delivered. The texts must be
// equal: a caller must never receive the beginning of one response and the end of
// another.
func (t *Attempt) skipDelivered(e *Event) (Action, error) {
	_, _ = t.prefixDigest.WriteString(e.Text)
	if t.position == t.response.position {
		if t.prefixDigest.Sum64() != t.response.textSum {
			t.diverged = true
			return 0, badResponse("the answer differs from what was delivered before")
		}
		t.prefixDigest = nil
	}
	if e.FinishReason != "" {
		t.diverged = true
		return 0, badResponse("the answer ends before what was delivered before")
	}
	return Drop, nil
}

// badResponse returns an error of kind BadResponse.
func badResponse(detail string) error {
	return sqerror.New(sqerror.Config{Kind: sqerror.BadResponse, Detail: detail, Execution: sqerror.MayHaveRun})
}
