package sqattempt

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestNext checks that a request that is not repeatable is sent again only if it
// certainly has not run, and that Refuse is returned only in that case.
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
		{"broken, not repeatable", func(s *State) { s.Outcome = Broken }, GiveUp},
		{"broken, repeatable", func(s *State) { s.Outcome, s.Retryable = Broken, true }, Resend},
		{"broken, repeatable, no attempt left", func(s *State) { s.Outcome, s.Retryable, s.Sends = Broken, true, 2 }, GiveUp},
		{"failed, not repeatable", func(s *State) { s.Outcome = Failed }, PassOn},
		{"failed, repeatable", func(s *State) { s.Outcome, s.Retryable = Failed, true }, Resend},
		{"failed, repeatable, no budget", func(s *State) { s.Outcome, s.Retryable, s.HasBudget = Failed, true, false }, PassOn},
		{"declined after a broken send", func(s *State) { s.Outcome, s.MayHaveRun, s.Retryable, s.Sends = Declined, true, true, 2 }, GiveUp},
		{"unsent after a broken send, not repeatable", func(s *State) { s.Outcome, s.MayHaveRun = Unsent, true }, GiveUp},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := base
			c.edit(&s)
			assert.Equal(t, Next(s), c.want)
		})
	}
}

// TestNextInEveryState checks in every state that a request that may have run is
// never refused as not run, and is sent again only if it is repeatable.
func TestNextInEveryState(t *testing.T) {
	for bits := range 1 << 6 {
		bit := func(i int) bool { return bits>>i&1 == 1 }
		for outcome := Unsent; outcome <= Failed; outcome++ {
			s := State{Outcome: outcome, Retryable: bit(0), MayHaveRun: bit(1), HasBudget: bit(2), HasAlternative: bit(3), MaxSends: 2}
			if bit(4) {
				s.TimeLeft = time.Second
			}
			if bit(5) {
				s.Sends = 2
			}
			mayHaveRun := s.MayHaveRun || outcome == Broken || outcome == Failed
			step := Next(s)
			if mayHaveRun {
				assert.Assert(t, step != Refuse, "%+v", s)
			}
			if step == Resend {
				assert.Assert(t, s.Retryable || !mayHaveRun, "%+v", s)
				assert.Assert(t, s.HasBudget && s.HasAlternative && s.Sends < s.MaxSends, "%+v", s)
			}
		}
	}
}
