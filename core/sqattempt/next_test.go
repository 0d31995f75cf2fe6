package sqattempt

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestNext wants a request that must not be repeated sent again only when it
// certainly has not run, and "not run" said only then.
func TestNext(t *testing.T) {
	base := State{Sends: 1, MaxSends: 2, TimeLeft: time.Second, HasBudget: true, HasAlternative: true}
	for _, c := range []struct {
		name string
		edit func(*State)
		want Step
	}{
		{"unsent", func(s *State) { s.Outcome = Unsent }, Resend},
		{"declined", func(s *State) { s.Outcome = Declined }, Resend},
		{"declined, no attempt left", func(s *State) { s.Outcome, s.Sends = Declined, 2 }, Refuse},
		{"declined, no budget", func(s *State) { s.Outcome, s.HasBudget = Declined, false }, Refuse},
		{"declined, no time", func(s *State) { s.Outcome, s.TimeLeft = Declined, time.Millisecond }, Refuse},
		{"declined, no other endpoint", func(s *State) { s.Outcome, s.HasAlternative = Declined, false }, Refuse},
		{"broken once", func(s *State) { s.Outcome = Broken }, GiveUp},
		{"broken, repeatable", func(s *State) { s.Outcome, s.Repeatable = Broken, true }, Resend},
		{"broken, repeatable, no attempt left", func(s *State) { s.Outcome, s.Repeatable, s.Sends = Broken, true, 2 }, GiveUp},
		{"failed once", func(s *State) { s.Outcome = Failed }, PassOn},
		{"failed, repeatable", func(s *State) { s.Outcome, s.Repeatable = Failed, true }, Resend},
		{"failed, repeatable, no budget", func(s *State) { s.Outcome, s.Repeatable, s.HasBudget = Failed, true, false }, PassOn},
		{"declined after a broken send", func(s *State) { s.Outcome, s.MayHaveRun, s.Repeatable, s.Sends = Declined, true, true, 2 }, GiveUp},
		{"unsent after a broken send that must not be repeated", func(s *State) { s.Outcome, s.MayHaveRun = Unsent, true }, GiveUp},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := base
			c.edit(&s)
			assert.Equal(t, Next(s), c.want)
		})
	}
}

// TestNextNeverLies plays every state: "not run" is never said of a request that
// may have run, and one that must not be repeated is never sent after that.
func TestNextNeverLies(t *testing.T) {
	for bits := range 1 << 6 {
		is := func(i int) bool { return bits>>i&1 == 1 }
		for outcome := Unsent; outcome <= Failed; outcome++ {
			s := State{Outcome: outcome, Repeatable: is(0), MayHaveRun: is(1), HasBudget: is(2), HasAlternative: is(3), MaxSends: 2}
			if is(4) {
				s.TimeLeft = time.Second
			}
			if is(5) {
				s.Sends = 2
			}
			ran := s.MayHaveRun || outcome == Broken || outcome == Failed
			step := Next(s)
			if ran {
				assert.Assert(t, step != Refuse, "%+v", s)
			}
			if step == Resend {
				assert.Assert(t, s.Repeatable || !ran, "%+v", s)
				assert.Assert(t, s.HasBudget && s.HasAlternative && s.Sends < s.MaxSends, "%+v", s)
			}
		}
	}
}
