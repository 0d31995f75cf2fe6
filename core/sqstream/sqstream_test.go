package sqstream

import (
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sequoiadock/core/sqerror"
)

const id = "request-1"

func TestAccept(t *testing.T) {
	expect := func(name string, a *Attempt, e Event, want Action, wantErr string) {
		t.Helper()
		got, err := a.Accept(&e)
		assert.Equal(t, got, want, name)
		if wantErr == "" {
			assert.NilError(t, err, name)
			return
		}
		assert.ErrorContains(t, err, wantErr, name)
		assert.Equal(t, sqerror.KindOf(err), sqerror.BadResponse, name)
	}
	answer := NewResponse()
	first := NewAttempt(answer, id)
	expect("first", first, Event{ID: id, Position: 0, Text: "a "}, Deliver, "")
	expect("doubled", first, Event{ID: id, Position: 0, Text: "a "}, Drop, "")
	expect("foreign", first, Event{ID: "other", Position: 1}, 0, "another request")
	expect("gap", first, Event{ID: id, Position: 2}, 0, "position 2 in place of 1")
	expect("second", first, Event{ID: id, Position: 1, Text: "b "}, Deliver, "")

	expect("resumed", first, Event{ID: id, Position: 2, Text: "c "}, Deliver, "")

	recomputed := NewAttempt(answer, id)
	expect("skip", recomputed, Event{ID: id, Position: 0, Text: "a "}, Drop, "")
	expect("skip", recomputed, Event{ID: id, Position: 1, Text: "b "}, Drop, "")
	expect("skip", recomputed, Event{ID: id, Position: 2, Text: "c "}, Drop, "")
	expect("next token is delivered", recomputed, Event{ID: id, Position: 3, Text: "d", FinishReason: "stop"}, Deliver, "")
	assert.Assert(t, recomputed.Finished())
	expect("beyond", recomputed, Event{ID: id, Position: 4}, 0, "after the last")

	different := NewAttempt(answer, id)
	expect("differs", different, Event{ID: id, Position: 0, Text: "x "}, Drop, "")
	expect("differs", different, Event{ID: id, Position: 1, Text: "b "}, Drop, "")
	expect("differs", different, Event{ID: id, Position: 2, Text: "c "}, Drop, "")
	expect("differs", different, Event{ID: id, Position: 3, Text: "d "}, 0, "differs")
	assert.Assert(t, different.Diverged())

	endless := NewAttempt(NewResponse(), id)
	expect("start", endless, Event{ID: id}, Deliver, "")
	for range MaxDuplicates {
		expect("doubled", endless, Event{ID: id}, Drop, "")
	}
	expect("endless", endless, Event{ID: id}, 0, "too many")
}

// TestAttemptMatchesNaive runs attempts over streams that are cut off or have
// duplicate, foreign, missing and wrong events. It compares the delivered events
// with the prefix of the answer, and each action with a naive implementation that
// keeps every token and compares whole texts.
func TestAttemptMatchesNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tokens := make([]string, rapid.IntRange(1, 12).Draw(t, "tokens"))
		for i := range tokens {
			tokens[i] = "t" + strconv.Itoa(rapid.IntRange(0, 3).Draw(t, "token")) + " "
		}
		answer := NewResponse()
		var delivered, received []string
		attempt := NewAttempt(answer, id)
		for range rapid.IntRange(1, 6).Draw(t, "streams") {
			if attempt.Diverged() || !rapid.Bool().Draw(t, "resume") {
				attempt, received = NewAttempt(answer, id), nil
			}
			received, delivered = runStream(t, attempt, tokens, received, delivered)
			assert.Equal(t, strings.Join(delivered, ""), strings.Join(tokens[:len(delivered)], ""))
			assert.Equal(t, answer.NextPosition(), int64(len(delivered)))
			assert.Equal(t, attempt.ResumePosition() >= int64(len(received)), true)
			if len(delivered) == len(tokens) {
				return
			}
		}
	})
}

// runStream runs an attempt over one stream of the tokens, with random faults.
func runStream(t *rapid.T, attempt *Attempt, tokens, received, delivered []string) ([]string, []string) {
	for i := len(received); i < len(tokens); i++ {
		e := Event{ID: id, Position: int64(i), Text: tokens[i]}
		if i == len(tokens)-1 {
			e.FinishReason = "stop"
		}
		fault := rapid.SampledFrom([]string{"", "", "", "cut", "double", "cross", "gap", "other"}).Draw(t, "fault")
		switch fault {
		case "cut":
			return received, delivered
		case "double":
			e.Position = int64(rapid.IntRange(0, i).Draw(t, "position"))
		case "cross":
			e.ID = "request-2"
		case "gap":
			e.Position++
		case "other":
			if i >= len(delivered) {
				// The token was not delivered before, so a wrong text cannot be
				// detected.
				return received, delivered
			}
			e.Text = "other "
		}
		var ok bool
		received, delivered, ok = checkAccept(t, attempt, &e, received, delivered)
		if !ok || len(delivered) == len(tokens) {
			return received, delivered
		}
		if fault == "double" && e.Position != int64(i) {
			i--
		}
	}
	return received, delivered
}

// checkAccept compares the action of Accept with that of the naive implementation.
// received are the tokens of this attempt, delivered those that the caller has
// received.
func checkAccept(t *rapid.T, attempt *Attempt, e *Event, received, delivered []string) ([]string, []string, bool) {
	want := Action(0)
	switch {
	case e.ID != id || e.Position > int64(len(received)):
	case e.Position < int64(len(received)):
		want = Drop
	case len(received) >= len(delivered):
		want = Deliver
	case len(received)+1 < len(delivered):
		want = Drop
	case strings.Join(append(received[:len(received):len(received)], e.Text), "") == strings.Join(delivered, ""):
		want = Drop
	}
	action, err := attempt.Accept(e)
	assert.Equal(t, action, want)
	assert.Equal(t, err != nil, want == 0)
	if err == nil && e.Position == int64(len(received)) {
		received = append(received, e.Text)
	}
	if action == Deliver {
		delivered = append(delivered, e.Text)
	}
	return received, delivered, err == nil
}

func BenchmarkAccept(b *testing.B) {
	attempt := NewAttempt(NewResponse(), id)
	e := Event{ID: id, Text: "word "}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := attempt.Accept(&e); err != nil {
			b.Fatal(err)
		}
		e.Position++
	}
}
