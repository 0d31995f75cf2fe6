package sqentry

import (
	"errors"
	"math/bits"
	"sync"

	"sequoiadock/io/sqendpoint"
)

// Retry budget: retries may be a tenth of the requests, with some to start with.
// Without it, retries multiply the load of a fleet that fails under load.
const (
	retryShare   = 0.1
	retryReserve = 20.0
	maxRetries   = 200.0
)

type retryBudget struct {
	mu   sync.Mutex
	left float64
}

func newRetryBudget() *retryBudget { return &retryBudget{left: retryReserve} }

// freeLosses is how many lost connections of one request are retried outside the
// budget. When a zone dies, many requests lose their endpoints at once; each is
// retried a few times at most, which multiplies nothing. The bound keeps a request
// that kills its endpoint from going round all of them.
const freeLosses = 3

// losses counts the lost connections of one request.
type losses int

// mayRetry reports whether a request may be tried again after err.
func (b *retryBudget) mayRetry(n *losses, err error) bool {
	if *n < freeLosses && (sqendpoint.ConnectionLost(err) || errors.Is(err, errDead)) {
		*n++
		return true
	}
	return b.spend()
}

// earn is called for each request.
func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(maxRetries, b.left+retryShare)
}

// spend takes one retry, and reports whether there was one.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// lengths remembers how long the answers of a service are for a team.
type lengths struct {
	mu    sync.Mutex
	means map[lengthKey]float64
}

// lengthKey sorts answers by their limit as well: callers that ask for short
// answers and those that ask for long ones come and go within minutes, and one
// mean for both would tell the planners of a third less work than there is
// whenever the long ones come.
type lengthKey struct {
	usageKey
	// limitBits is the number of bits of the limit, 0 without one.
	limitBits int
}

func newLengthKey(key usageKey, limit int) lengthKey {
	return lengthKey{usageKey: key, limitBits: bits.Len(uint(max(0, limit)))}
}

// Expected answer length in tokens before any was seen, and the weight of a new
// one.
const (
	defaultLength = 128
	learnLength   = 0.1
)

func newLengths() *lengths { return &lengths{means: map[lengthKey]float64{}} }

// expect returns the expected number of tokens of an answer of at most limit.
func (l *lengths) expect(key usageKey, limit int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, ok := l.means[newLengthKey(key, limit)]
	if !ok {
		n = defaultLength
		if limit > 0 {
			n = float64(limit)
		}
	}
	if limit > 0 {
		n = min(n, float64(limit))
	}
	return max(1, int(n))
}

// learn takes the length of an answer of at most limit.
func (l *lengths) learn(key usageKey, limit, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := newLengthKey(key, limit)
	n, ok := l.means[k]
	if !ok {
		n = float64(tokens)
	}
	l.means[k] = n + learnLength*(float64(tokens)-n)
}
