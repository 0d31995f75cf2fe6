package sqattempt

import "time"

// Outcome is the result of one send of a request to an endpoint.
type Outcome int

// Outcomes of a send.
const (
	// Unsent means that no byte reached an endpoint.
	Unsent Outcome = iota
	// Declined means that the endpoint reported that the request did not run.
	Declined
	// Broken means that the request may have run, but no complete response arrived.
	Broken
	// Failed means that the endpoint responded with an error of its own.
	Failed
)

// Step is the gateway's next action on a request.
type Step int

// Steps after a send without a usable response.
const (
	// Resend sends the request to another endpoint.
	Resend Step = iota
	// Refuse responds to the caller that the request did not run.
	Refuse
	// GiveUp responds to the caller that the request failed and may have run.
	GiveUp
	// PassOn forwards the endpoint's own error to the caller.
	PassOn
)

// minResendTime is the time to the deadline that must be left for another send. With
// less, the send would use up the retry budget for little chance of a response.
const minResendTime = 30 * time.Millisecond

// State describes an attempt at the end of one of its sends.
type State struct {
	Outcome Outcome
	// Retryable is set if the request may safely run more than once.
	Retryable bool
	// MayHaveRun is set if the request may have run in an earlier send.
	MayHaveRun bool
	// Sends counts the sends that have reached an endpoint, including this one.
	Sends int
	// MaxSends is the maximum of Sends.
	MaxSends int
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// HasBudget is set if the retry budget allows another send.
	HasBudget bool
	// HasAlternative is set if another endpoint could take the request.
	HasAlternative bool
}

// Next returns the step after a send without a usable response. A request that is
// not repeatable is sent again only if it certainly has not run.
func Next(s State) Step {
	mayHaveRun := s.MayHaveRun || s.Outcome == Broken || s.Outcome == Failed
	repeatAllowed := s.Retryable || !mayHaveRun
	canSend := s.Sends < s.MaxSends && s.TimeLeft > minResendTime && s.HasBudget && s.HasAlternative
	switch {
	case repeatAllowed && canSend:
		return Resend
	case s.Outcome == Failed:
		return PassOn
	case mayHaveRun:
		return GiveUp
	default:
		return Refuse
	}
}

// String returns the outcome's name in logs.
func (o Outcome) String() string {
	return [...]string{"unsent", "declined", "broken", "failed"}[o]
}

// String returns the step's name in logs.
func (s Step) String() string {
	return [...]string{"resend", "refuse", "giveUp", "passOn"}[s]
}
