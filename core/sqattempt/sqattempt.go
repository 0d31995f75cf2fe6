// Package sqattempt holds one attempt of a caller to get a request answered,
// and decides what follows when sending it to an endpoint came to nothing.
package sqattempt

import "time"

// Attempt is what the headers of a request say.
type Attempt struct {
	// ID is the caller's own and new for each attempt.
	ID string
	// Key is the caller's key, or "".
	Key string
	// Deadline is how long the caller waits; 0 if it does not say.
	Deadline time.Duration
	// Resumes is set if the caller asks for the rest of a stream.
	Resumes bool
	Prompt  Prompt
}

// Prompt describes the prompt of a language-model request without its text.
type Prompt struct {
	Model string
	// Tokens is the length of the prompt, MaxOutput the bound on the answer.
	Tokens          int
	MaxOutputTokens int
	// Parts make up the prompt in order; the last one is the request's own.
	Parts []Part
}

// Part is a piece of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// SendParams is what a request carries to an endpoint beside what its caller sent.
type SendParams struct {
	// Endpoint is the identity that the endpoint must have.
	Endpoint string
	Team     string
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// Priority is the rank of the request, 0 first; below 0 means none.
	Priority int
	// Prefill asks for the prompt's KV cache in place of an answer.
	Prefill bool
	// CacheSource is where the endpoint fetches the KV cache, or "".
	CacheSource string
	// ResumeAfter is the last event that the caller has, or "" to begin.
	ResumeAfter string
}

// Load is what an endpoint says of itself with an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Response is what the head of an endpoint's answer says.
type Response struct {
	// AttemptID is the attempt that is answered, or "".
	AttemptID string
	// NotRun is set if the endpoint says that the request did not run.
	NotRun bool
	// Signed is set if the endpoint vouches for the answer.
	Signed bool
	// HasLoad is set if Load is.
	HasLoad bool
	Load    Load
}
