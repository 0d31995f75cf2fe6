// Package sqcaller is a test client of the system, as docs/INTERFACES.md
// describes one. It requests the list of addresses, caches it, sends its requests
// directly to one of them, and checks every token of each response.
package sqcaller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// connectTimeout bounds the setup of a connection.
	connectTimeout = 2 * time.Second
	// retryPause is the delay before a retry if the response set none.
	retryPause = 20 * time.Millisecond
	// maxResponseBytes bounds a response that is not streamed.
	maxResponseBytes = 8 << 20
)

// Outcome is the final state of a request, as its caller sees it.
type Outcome string

// Outcomes.
const (
	// Complete is a complete and correct response.
	Complete Outcome = "whole"
	// NotRun is a refusal which says that the request did not run.
	NotRun Outcome = "notRun"
	// MayHaveRun is a failure which says that the request may have run.
	MayHaveRun Outcome = "mayHaveRun"
	// ErrorInStream is a stream that ended early with an error event.
	ErrorInStream Outcome = "told"
	// Truncated is a response that ended early without an error event.
	Truncated Outcome = "cut"
	// Wrong is a response with a missing, repeated or unexpected token.
	Wrong Outcome = "wrong"
	// NoAnswer is a request whose last attempt got no response.
	NoAnswer Outcome = "noAnswer"
)

// Refusal is the wire form of the system's refusals and failures.
type Refusal struct {
	Kind             string `json:"kind"`
	Number           int    `json:"number"`
	Message          string `json:"message"`
	Run              string `json:"run"`
	RetryAfterMillis int64  `json:"retryAfterMillis"`
	Elsewhere        string `json:"elsewhere"`
	Decision         string `json:"decision"`
}

type refusalBody struct {
	Error *Refusal `json:"error"`
}

// Config configures a Caller.
type Config struct {
	// Addresses is shared by the callers of one zone.
	Addresses *Addresses
	Key       string
	// Client is shared by all callers; nil means a new client.
	Client *http.Client
	// MaxAttempts bounds the attempts of one request; 0 means 6.
	MaxAttempts int
	// RetryRefusals makes the caller retry after a refusal that carries a retry
	// delay. A refusal of a process that is shutting down or partitioned is
	// always retried, since only its address is unusable.
	RetryRefusals bool
	Seed          uint64
}

// Caller sends requests for one team. It is safe for concurrent use.
type Caller struct {
	cfg Config

	mu     sync.Mutex
	random *rand.Rand
}

// New returns a caller.
func New(cfg Config) *Caller {
	if cfg.Client == nil {
		cfg.Client = NewClient()
	}
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = 6
	}
	return &Caller{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 0xca11))}
}

// NewClient returns an HTTP client that many callers can share.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: 1024,
		IdleConnTimeout:     30 * time.Second,
	}}
}

// attempt is one attempt of a request.
type attempt struct {
	address string
	method  string
	path    string
	body    []byte
	// identity is the Idempotency-Key, or "".
	identity string
	deadline time.Time
}

// singleUseReader is a body that the HTTP client cannot rewind. Otherwise the
// client would resend a call by itself if Idempotency-Key is set.
type singleUseReader struct{ io.Reader }

func (c *Caller) send(ctx context.Context, a attempt) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, a.method, "http://"+a.address+a.path, singleUseReader{bytes.NewReader(a.body)})
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(a.body))
	if len(a.body) == 0 {
		req.Body = http.NoBody
	}
	req.Header.Set("Content-Type", "application/json")
	if c.cfg.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.cfg.Key)
	}
	if a.identity != "" {
		req.Header.Set("Idempotency-Key", a.identity)
	}
	if !a.deadline.IsZero() {
		left := max(1, time.Until(a.deadline).Milliseconds())
		req.Header.Set("Sequoiadock-Deadline-Millis", strconv.FormatInt(left, 10))
	}
	return c.cfg.Client.Do(req)
}

// readRefusal reads the refusal from an error response. It returns nil if the
// body cannot be read.
func readRefusal(res *http.Response) *Refusal {
	b, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return nil
	}
	var body refusalBody
	if json.Unmarshal(b, &body) != nil || body.Error == nil || body.Error.Kind == "" {
		return &Refusal{Kind: "status " + strconv.Itoa(res.StatusCode), Message: string(b), Run: string(MayHaveRun)}
	}
	return body.Error
}

func outcomeOf(r *Refusal) Outcome {
	if r.Run == string(NotRun) {
		return NotRun
	}
	return MayHaveRun
}

// retryElsewhere reports whether a refusal concerns the address and not the
// request.
func retryElsewhere(r *Refusal) bool {
	return r.Kind == "leaving" || r.Kind == "staleEntry"
}

// shouldRetry reports whether the caller retries after a refusal.
func (c *Caller) shouldRetry(r *Refusal) bool {
	if r.Run != string(NotRun) {
		return false
	}
	return retryElsewhere(r) || c.cfg.RetryRefusals && r.RetryAfterMillis > 0
}

// waitBeforeRetry waits before the next attempt. It reports false if ctx ended
// first. A d of zero or less means retryPause.
func waitBeforeRetry(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		d = retryPause
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *Caller) pickAddress(exclude string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cfg.Addresses.pick(c.random, exclude)
}
