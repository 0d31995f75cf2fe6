// Package sqattempt describes one attempt of a caller to get a response, and
// decides whether the gateway sends the request to another endpoint after a
// failed send. An attempt is one HTTP request of a caller; the gateway may send
// it to several endpoints.
package sqattempt

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Attempt holds the values that a caller passes in the headers of a request.
type Attempt struct {
	// ID is chosen by the caller and different for each attempt.
	ID string
	// Key is the caller's API key, or "".
	Key string
	// Deadline is how long the caller waits for the response; 0 if not given.
	Deadline time.Duration
	// Resumes is set if the caller asks for the rest of an interrupted stream.
	Resumes bool
	// ResumedAttempt is the ID of the attempt that brought the first event of that stream,
	// or "" if the caller does not name it.
	ResumedAttempt string
	Prompt         Prompt
}

// Prompt describes the prompt of a language-model request without its text.
type Prompt struct {
	Model string
	// Tokens is the length of the prompt and MaxOutputTokens the maximum length of
	// the response.
	Tokens          int
	MaxOutputTokens int
	// Parts are the consecutive parts of the prompt. The last one belongs to this
	// request alone.
	Parts []Part
}

// SharedParts returns the IDs of the parts that other requests may share. They may
// name a part more than once.
func (p *Prompt) SharedParts() []string {
	ids := make([]string, 0, len(p.Parts))
	for i := 0; i+1 < len(p.Parts); i++ {
		ids = append(ids, p.Parts[i].ID)
	}
	return ids
}

// Part is a part of a prompt that the prompts of other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// SendParams holds the values that the gateway adds to a request for an endpoint.
type SendParams struct {
	// Endpoint is the identity that the receiving endpoint must have.
	Endpoint string
	Team     string
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// Priority is the request's priority: 0 is the most urgent, a negative value
	// means none.
	Priority int
	// Prefill asks the endpoint to compute the prompt's KV cache instead of a
	// response.
	Prefill bool
	// CacheSource is the place from which the endpoint fetches the KV cache, or "".
	CacheSource string
	// ResumeAfter is the ID of the last event that the caller has received, or ""
	// to start at the first event.
	ResumeAfter string
}

// LoadReport is the load that an endpoint reports in a response: its running requests,
// its waiting requests and the number that it can run at once.
type LoadReport struct {
	Running int
	Queued  int
	Slots   int
	// WorkPercent is how long work takes at the endpoint at this moment, in percent of the
	// usual time; 0 if the report does not say.
	WorkPercent int
	// Unreadable is the number of figures that cannot be read. Each counts as not reported.
	Unreadable int
}

// RateLimit is what a response says about the rate of requests that its endpoint takes.
type RateLimit struct {
	// Named is set if the response names a limit.
	Named     bool
	PerSecond float64
	// Unreadable is the value that is meant to name a limit and does not, or "".
	Unreadable string
}

// ParseRateLimit parses a limit in requests a second. An empty value names none.
func ParseRateLimit(value string) RateLimit {
	if value == "" {
		return RateLimit{}
	}
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return RateLimit{Unreadable: value}
	}
	return RateLimit{Named: true, PerSecond: perSecond}
}

// Response holds the values in the status and headers of an endpoint's response.
type Response struct {
	// AttemptID is the ID of the attempt that the response belongs to, or "".
	AttemptID string
	// NotRun is set if the endpoint reports that the request did not run.
	NotRun bool
	// Leaving is set if the endpoint reports that it is about to stop.
	Leaving bool
	// Signed is set if the response has the endpoint's signature.
	Signed bool
	// Limit is how many requests a second the endpoint says that it takes from all
	// gateways.
	Limit RateLimit
	// HasLoad is set if the response contains a LoadReport.
	HasLoad bool
	Load    LoadReport
}
