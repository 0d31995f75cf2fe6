package sqstock

import "time"

// WorkConfig describes a piece of work that might run on a spot endpoint.
type WorkConfig struct {
	// SpotAllowed is true when the service declares that its work may run on
	// spot endpoints.
	SpotAllowed bool
	// Retryable is true when running the work twice does no harm, Resumable
	// when another endpoint can continue it.
	Retryable bool
	Resumable bool
	// AtMostOnce is true for a call that must not be repeated.
	AtMostOnce bool
	// ExpectedDuration is how long the work is expected to run; ReclaimNotice is
	// how long in advance a spot endpoint announces that it is reclaimed.
	ExpectedDuration time.Duration
	ReclaimNotice    time.Duration
	// Slack is the time from the end of ExpectedDuration to the deadline.
	Slack time.Duration
}

// CanRunOnSpot returns whether the work may run on a spot endpoint, and why. A
// call that must not be repeated never may, even when it is short: all spot
// endpoints of a zone may be lost before the notice is seen.
func CanRunOnSpot(cfg WorkConfig) (bool, string) {
	switch {
	case cfg.AtMostOnce:
		return false, "It must not be repeated, and a cheap endpoint may vanish while it runs."
	case !cfg.SpotAllowed:
		return false, "The service doesn't allow cheap endpoints."
	case !cfg.Retryable && !cfg.Resumable:
		return false, "It can be neither repeated nor resumed."
	case cfg.Resumable:
		return true, "It can go on at another endpoint from where it was."
	case cfg.ExpectedDuration <= cfg.ReclaimNotice:
		return true, "It ends within the notice of " + cfg.ReclaimNotice.String() + "."
	case cfg.Slack >= cfg.ExpectedDuration:
		return true, "It can be repeated, and there is time to run it twice."
	default:
		return false, "Running it again would miss the deadline: " + cfg.Slack.String() + " are left and it takes " + cfg.ExpectedDuration.String() + "."
	}
}
