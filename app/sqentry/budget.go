package sqentry

import (
	"errors"
	"math/bits"
	"sync"

	"sequoiadock/io/sqendpoint"
)

// Parameters of the retry budget: each request adds a tenth of a retry to an
// initial stock. Without a budget, retries multiply the load of a fleet that
// fails under load.
const (
	retriesPerRequest   = 0.1
	initialRetries      = 20.0
	maxAvailableRetries = 200.0
)

type retryBudget struct {
	mu        sync.Mutex
	available float64
}

func newRetryBudget() *retryBudget { return &retryBudget{available: initialRetries} }

// maxFreeRetries is how many lost connections of one request are retried
// outside the budget. When a zone fails, many requests lose their endpoints at
// once; retrying each a few times doesn't multiply the load. The limit keeps a
// request that crashes its endpoint from crashing all of them.
const maxFreeRetries = 3

// lostConnections counts the lost connections of one request that were retried
// outside the budget.
type lostConnections int

// mayRetry reports whether a request may be retried after err, and charges the
// retry to the request or to the budget.
func (b *retryBudget) mayRetry(n *lostConnections, err error) bool {
	if *n < maxFreeRetries && (sqendpoint.ConnectionLost(err) || errors.Is(err, errEngineSilent)) {
		*n++
		return true
	}
	return b.take()
}

// addRequest adds the part of a retry that one request earns.
func (b *retryBudget) addRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(maxAvailableRetries, b.available+retriesPerRequest)
}

// take takes one retry from the budget and reports whether one was left.
func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

// responseLengths keeps a moving average of response lengths in tokens for each
// team, service, model and size of the limit.
type responseLengths struct {
	mu         sync.Mutex
	meanTokens map[lengthKey]float64
}

// lengthKey also separates responses by the size of their limit. Callers that
// ask for short responses and those that ask for long ones alternate within
// minutes. One average for both would report a third too little work to the
// planners whenever the long ones return.
type lengthKey struct {
	usageKey
	// limitBits is the bit length of max_tokens; 0 without a limit.
	limitBits int
}

func newLengthKey(key usageKey, limit int) lengthKey {
	return lengthKey{usageKey: key, limitBits: bits.Len(uint(max(0, limit)))}
}

// Expected response length in tokens before any was recorded, and the weight of
// a new length in the average.
const (
	defaultResponseTokens = 128
	newLengthWeight       = 0.1
)

func newLengths() *responseLengths { return &responseLengths{meanTokens: map[lengthKey]float64{}} }

// expected returns the expected number of tokens of a response of at most limit
// tokens; 0 means no limit.
func (l *responseLengths) expected(key usageKey, limit int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, ok := l.meanTokens[newLengthKey(key, limit)]
	if !ok {
		n = defaultResponseTokens
		if limit > 0 {
			n = float64(limit)
		}
	}
	if limit > 0 {
		n = min(n, float64(limit))
	}
	return max(1, int(n))
}

// record adds the length in tokens of a response with the given limit to its
// average.
func (l *responseLengths) record(key usageKey, limit, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := newLengthKey(key, limit)
	n, ok := l.meanTokens[k]
	if !ok {
		n = float64(tokens)
	}
	l.meanTokens[k] = n + newLengthWeight*(float64(tokens)-n)
}
