// Package sqcaller is a caller of the system, as docs/INTERFACES.md describes
// one: it asks which address to use, keeps it a while, connects itself, and
// checks every token of each answer.
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
	// connectTimeout bounds a connection set-up.
	connectTimeout = 2 * time.Second
	// retryPause is the pause between attempts that failed without advice.
	retryPause = 20 * time.Millisecond
	// maxAnswer bounds an answer that is not streamed, in bytes.
	maxAnswer = 8 << 20
)

// Outcome is how a request ended for its caller.
type Outcome string

// Outcomes.
const (
	// Complete is the whole right answer.
	Complete Outcome = "whole"
	// NotRun is a refusal that says that nothing ran.
	NotRun Outcome = "notRun"
	// MayHaveRun is a failure that says that the request may have run.
	MayHaveRun Outcome = "mayHaveRun"
	// ErrorInStream is a stream that ended early with an error in it.
	ErrorInStream Outcome = "told"
	// Truncated is an answer that ended early without a word.
	Truncated Outcome = "cut"
	// Wrong is an answer with a lost, doubled or foreign token.
	Wrong Outcome = "wrong"
	// NoAnswer is a request that no attempt brought an answer to.
	NoAnswer Outcome = "noAnswer"
)

// Refusal is the system's typed refusal.
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
	// Client is shared by all callers; nil makes one.
	Client *http.Client
	// MaxAttempts bounds the tries of one request; 0 means 6.
	MaxAttempts int
	// RetryRefusals makes the caller come back after a refusal that says when
	// to. Refusals of a process that leaves or is cut off are always retried,
	// as an address that is not to be used any more.
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

// NewClient returns a client for many callers.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: 1024,
		IdleConnTimeout:     30 * time.Second,
	}}
}

// attempt is one try of a request.
type attempt struct {
	address string
	method  string
	path    string
	body    []byte
	// identity is the Idempotency-Key, or "".
	identity string
	deadline time.Time
}

// once is a body that the HTTP client cannot read a second time. It would
// otherwise resend a call by itself when Idempotency-Key is set.
type once struct{ io.Reader }

func (c *Caller) send(ctx context.Context, a attempt) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, a.method, "http://"+a.address+a.path, once{bytes.NewReader(a.body)})
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

// refusalOf reads the refusal of an answer that is not a success.
func refusalOf(res *http.Response) *Refusal {
	b, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
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

// elsewhere reports whether a refusal is about the address and not the request.
func elsewhere(r *Refusal) bool {
	return r.Kind == "leaving" || r.Kind == "staleEntry"
}

// comesBack reports whether the caller tries again after a refusal.
func (c *Caller) comesBack(r *Refusal) bool {
	if r.Run != string(NotRun) {
		return false
	}
	return elsewhere(r) || c.cfg.RetryRefusals && r.RetryAfterMillis > 0
}

// pause waits before the next attempt and reports whether there is time for it.
func pause(ctx context.Context, d time.Duration) bool {
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

func (c *Caller) pick(not string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cfg.Addresses.pick(c.random, not)
}
