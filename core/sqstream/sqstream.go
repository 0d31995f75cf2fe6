// Package sqstream matches the events of an answer by request identity and
// position, over all the attempts that it takes to get the whole answer.
package sqstream

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"sequoiadock/core/sqerror"
)

// MaxDoubles bounds the doubled events of one attempt; an endpoint that goes
// beyond it may never come to an end.
const MaxDoubles = 256

// Verdict says what to do with an event.
type Verdict int

const (
	// Deliver means that the event is the next one of the caller's answer.
	Deliver Verdict = iota + 1
	// Drop means that the caller has had the event.
	Drop
)

// Event is one event of an endpoint's stream.
type Event struct {
	// ID is the request identity that the endpoint repeats.
	ID string
	// Position counts the tokens of the answer from 0.
	Position int64
	// Text is the token.
	Text string
	// Finish is the finish reason, or "".
	Finish string
}

// Answer is what the caller has had so far. It is not safe for concurrent use.
type Answer struct {
	next   int64
	digest *xxhash.Digest
	sum    uint64
}

// NewAnswer returns an answer of which nothing was delivered.
func NewAnswer() *Answer {
	d := xxhash.New()
	return &Answer{digest: d, sum: d.Sum64()}
}

// Next returns the position of the next event to deliver.
func (a *Answer) Next() int64 { return a.next }

func (a *Answer) deliver(e *Event) {
	a.next++
	_, _ = a.digest.WriteString(e.Text)
	a.sum = a.digest.Sum64()
}

// Attempt matches the events of one run of the request against an Answer. It
// goes on over the streams by which the run is resumed, at the same endpoint or
// at one that took its state over.
type Attempt struct {
	answer *Answer
	id     string
	next   int64
	// digest covers the prefix that is computed anew; nil once it was compared.
	digest   *xxhash.Digest
	doubles  int
	finished bool
	diverged bool
}

// NewAttempt returns the matcher of a run under a request identity. The run
// starts at position 0, and its prefix has to equal what the caller has had.
func NewAttempt(answer *Answer, id string) *Attempt {
	t := &Attempt{answer: answer, id: id}
	if answer.next > 0 {
		t.digest = xxhash.New()
	}
	return t
}

// Next returns the position from which the run is to be resumed.
func (t *Attempt) Next() int64 { return t.next }

// Diverged reports whether the run gave another answer than the caller has had
// in part. It must not be resumed: its tail belongs to another head.
func (t *Attempt) Diverged() bool { return t.diverged }

// Finished reports whether the last event of the answer was delivered.
func (t *Attempt) Finished() bool { return t.finished }

// Accept says what to do with an event. An error of kind BadAnswer means that
// the stream cannot be trusted any further; what was delivered is right.
func (t *Attempt) Accept(e *Event) (Verdict, error) {
	if e.ID != t.id {
		return 0, bad("an event of another request")
	}
	if t.finished {
		return 0, bad("an event after the last one")
	}
	if e.Position < t.next {
		return t.double()
	}
	if e.Position > t.next {
		return 0, bad("a gap: position " + strconv.FormatInt(e.Position, 10) + " in place of " + strconv.FormatInt(t.next, 10))
	}
	t.next++
	if e.Position < t.answer.next {
		return t.skip(e)
	}
	t.answer.deliver(e)
	t.finished = e.Finish != ""
	return Deliver, nil
}

func (t *Attempt) double() (Verdict, error) {
	t.doubles++
	if t.doubles > MaxDoubles {
		return 0, bad("too many doubled events")
	}
	return Drop, nil
}

// skip passes over an event that an earlier attempt delivered. The texts must
// be equal: a caller must never get the head of one answer and the tail of
// another.
func (t *Attempt) skip(e *Event) (Verdict, error) {
	_, _ = t.digest.WriteString(e.Text)
	if t.next == t.answer.next {
		if t.digest.Sum64() != t.answer.sum {
			t.diverged = true
			return 0, bad("the answer differs from what was delivered before")
		}
		t.digest = nil
	}
	if e.Finish != "" {
		t.diverged = true
		return 0, bad("the answer ends before what was delivered before")
	}
	return Drop, nil
}

func bad(detail string) error {
	return sqerror.New(sqerror.Config{Kind: sqerror.BadAnswer, Detail: detail, Execution: sqerror.MayHaveRun})
}
