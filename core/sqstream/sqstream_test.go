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
		assert.Equal(t, sqerror.KindOf(err), sqerror.BadAnswer, name)
	}
	answer := NewAnswer()
	first := NewAttempt(answer, id)
	expect("first", first, Event{ID: id, Position: 0, Text: "a "}, Deliver, "")
	expect("doubled", first, Event{ID: id, Position: 0, Text: "a "}, Drop, "")
	expect("foreign", first, Event{ID: "other", Position: 1}, 0, "another request")
	expect("gap", first, Event{ID: id, Position: 2}, 0, "position 2 in place of 1")
	expect("second", first, Event{ID: id, Position: 1, Text: "b "}, Deliver, "")

	expect("resumed", first, Event{ID: id, Position: 2, Text: "c "}, Deliver, "")

	anew := NewAttempt(answer, id)
	expect("skip", anew, Event{ID: id, Position: 0, Text: "a "}, Drop, "")
	expect("skip", anew, Event{ID: id, Position: 1, Text: "b "}, Drop, "")
	expect("skip", anew, Event{ID: id, Position: 2, Text: "c "}, Drop, "")
	expect("go on", anew, Event{ID: id, Position: 3, Text: "d", FinishReason: "stop"}, Deliver, "")
	assert.Assert(t, anew.Finished())
	expect("beyond", anew, Event{ID: id, Position: 4}, 0, "after the last")

	other := NewAttempt(answer, id)
	expect("differs", other, Event{ID: id, Position: 0, Text: "x "}, Drop, "")
	expect("differs", other, Event{ID: id, Position: 1, Text: "b "}, Drop, "")
	expect("differs", other, Event{ID: id, Position: 2, Text: "c "}, Drop, "")
	expect("differs", other, Event{ID: id, Position: 3, Text: "d "}, 0, "differs")
	assert.Assert(t, other.Diverged())

	endless := NewAttempt(NewAnswer(), id)
	expect("start", endless, Event{ID: id}, Deliver, "")
	for range MaxDuplicates {
		expect("doubled", endless, Event{ID: id}, Drop, "")
	}
	expect("endless", endless, Event{ID: id}, 0, "too many")
}

// TestAgainstNaive drives attempts over streams that are cut, doubled, crossed
// and broken, and compares what is delivered with the answer's own head: the
// naive version keeps every token and compares whole texts.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tokens := make([]string, rapid.IntRange(1, 12).Draw(t, "tokens"))
		for i := range tokens {
			tokens[i] = "t" + strconv.Itoa(rapid.IntRange(0, 3).Draw(t, "token")) + " "
		}
		answer := NewAnswer()
		var got, seen []string
		attempt := NewAttempt(answer, id)
		for range rapid.IntRange(1, 6).Draw(t, "streams") {
			if attempt.Diverged() || !rapid.Bool().Draw(t, "resume") {
				attempt, seen = NewAttempt(answer, id), nil
			}
			seen, got = runStream(t, attempt, tokens, seen, got)
			assert.Equal(t, strings.Join(got, ""), strings.Join(tokens[:len(got)], ""))
			assert.Equal(t, answer.NextPosition(), int64(len(got)))
			assert.Equal(t, attempt.ResumePosition() >= int64(len(seen)), true)
			if len(got) == len(tokens) {
				return
			}
		}
	})
}

func runStream(t *rapid.T, attempt *Attempt, tokens, seen, got []string) ([]string, []string) {
	for i := len(seen); i < len(tokens); i++ {
		e := Event{ID: id, Position: int64(i), Text: tokens[i]}
		if i == len(tokens)-1 {
			e.FinishReason = "stop"
		}
		fault := rapid.SampledFrom([]string{"", "", "", "cut", "double", "cross", "gap", "other"}).Draw(t, "fault")
		switch fault {
		case "cut":
			return seen, got
		case "double":
			e.Position = int64(rapid.IntRange(0, i).Draw(t, "position"))
		case "cross":
			e.ID = "request-2"
		case "gap":
			e.Position++
		case "other":
			if i >= len(got) {
				// Nothing to compare with: no matcher can tell.
				return seen, got
			}
			e.Text = "other "
		}
		var ok bool
		seen, got, ok = naive(t, attempt, &e, seen, got)
		if !ok || len(got) == len(tokens) {
			return seen, got
		}
		if fault == "double" && e.Position != int64(i) {
			i--
		}
	}
	return seen, got
}

// naive judges an event by the whole texts and compares with the matcher. seen
// is what this attempt has given, got is what the caller has had.
func naive(t *rapid.T, attempt *Attempt, e *Event, seen, got []string) ([]string, []string, bool) {
	want := Action(0)
	switch {
	case e.ID != id || e.Position > int64(len(seen)):
	case e.Position < int64(len(seen)):
		want = Drop
	case len(seen) >= len(got):
		want = Deliver
	case len(seen)+1 < len(got):
		want = Drop
	case strings.Join(append(seen[:len(seen):len(seen)], e.Text), "") == strings.Join(got, ""):
		want = Drop
	}
	verdict, err := attempt.Accept(e)
	assert.Equal(t, verdict, want)
	assert.Equal(t, err != nil, want == 0)
	if err == nil && e.Position == int64(len(seen)) {
		seen = append(seen, e.Text)
	}
	if verdict == Deliver {
		got = append(got, e.Text)
	}
	return seen, got, err == nil
}

func BenchmarkAccept(b *testing.B) {
	attempt := NewAttempt(NewAnswer(), id)
	e := Event{ID: id, Text: "word "}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := attempt.Accept(&e); err != nil {
			b.Fatal(err)
		}
		e.Position++
	}
}
