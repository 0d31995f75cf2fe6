package sqmemory

import (
	"sync"
	"sync/atomic"
	"time"

	"sequoiadock/io/sqclock"
)

const (
	// smallAccountBytes is the size up to which an account may use all of the budget.
	// Larger ones leave a part of smallPart to the small ones, so that ordinary requests
	// are served beside large bodies.
	smallAccountBytes = 256 << 10
	smallPart         = 8
	// minStall is how long an account must have made no progress before it is evicted.
	minStall = 500 * time.Millisecond
	// closeDelay is the time after which an account that was told to end is closed, and
	// evictTimeout how long a reservation waits for the bytes of evicted accounts.
	closeDelay   = time.Second
	evictTimeout = 300 * time.Millisecond
)

// BudgetConfig configures a budget.
type BudgetConfig struct {
	// Limit is the number of bytes that all accounts may hold together.
	Limit int64
}

// Budget is the memory that a process may use for its callers together. It is safe for
// concurrent use.
type Budget struct {
	cfg BudgetConfig

	mu        sync.Mutex
	usedBytes int64
	accounts  map[*Account]struct{}
	// released is closed and replaced when bytes are released while a reservation waits.
	released chan struct{}
	waiting  int
}

// NewBudget returns a budget of which nothing is used.
func NewBudget(cfg BudgetConfig) *Budget {
	return &Budget{cfg: cfg, accounts: map[*Account]struct{}{}, released: make(chan struct{})}
}

// Limit returns the number of bytes that all accounts may hold together.
func (b *Budget) Limit() int64 { return b.cfg.Limit }

// UsedBytes returns how many bytes are reserved.
func (b *Budget) UsedBytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usedBytes
}

// AccountConfig configures an account.
type AccountConfig struct {
	// Group is the set of accounts from which EvictFrom chooses.
	Group string
	// Share is the number of bytes that the account may hold.
	Share int64
	// Interrupt makes the owner end what it is receiving and release its bytes. It is
	// called without locks and may be called again. Close ends the owner at once.
	Interrupt, Close func()
}

// Account is what one connection holds of a budget. A nil Account holds nothing, and all
// reservations on it succeed. It is safe for concurrent use.
type Account struct {
	budget *Budget
	cfg    AccountConfig
	// progressAt is the time of the last progress, in nanoseconds of sqclock.
	progressAt atomic.Int64
	// serving is set while a request is handled, and receiving while its body is read.
	// What is served and not received is never evicted, since it may have run.
	serving, receiving atomic.Bool

	// The budget's mutex guards the fields below.
	bytes  int64
	closed bool
	// interruptedAt is when the request that is being received was told to end.
	interruptedAt time.Time
}

// Open returns a new account, which holds nothing.
func (b *Budget) Open(now time.Time, cfg AccountConfig) *Account {
	a := &Account{budget: b, cfg: cfg}
	a.RecordProgress(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accounts[a] = struct{}{}
	return a
}

// Close releases what the account holds. Later reservations succeed and are not counted:
// they are of a call that outlives its connection.
func (a *Account) Close() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(a, a.bytes)
	a.closed = true
	delete(b.accounts, a)
}

// RecordProgress records that the owner has received bytes.
func (a *Account) RecordProgress(now time.Time) { a.progressAt.Store(now.UnixNano()) }

// SetServing records whether a request is being handled.
func (a *Account) SetServing(serving bool) { a.serving.Store(serving) }

// SetReceiving records whether the body of a request is being read.
func (a *Account) SetReceiving(receiving bool) {
	if a != nil {
		a.receiving.Store(receiving)
	}
}

// Share returns the number of bytes that the account may hold, or 0 without an account.
func (a *Account) Share() int64 {
	if a == nil {
		return 0
	}
	return a.cfg.Share
}

// Release returns n bytes to the budget.
func (a *Account) Release(n int64) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.release(a, min(n, a.bytes))
}

// ReleaseAll returns all bytes of the account to the budget at the end of a request.
func (a *Account) ReleaseAll() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.release(a, a.bytes)
	a.interruptedAt = time.Time{}
}

// release must be called with mu held.
func (b *Budget) release(a *Account, n int64) {
	a.bytes -= n
	b.usedBytes -= n
	if b.waiting > 0 && n > 0 {
		close(b.released)
		b.released = make(chan struct{})
	}
}

// Reserve reserves n more bytes and reports whether they were available. If the budget is
// used up, it evicts the accounts that have made no progress for longest and waits a moment
// for their bytes.
func (a *Account) Reserve(n int64) bool {
	if a == nil {
		return true
	}
	ok, mayEvict := a.tryReserve(n)
	if ok || !mayEvict {
		return ok
	}
	return a.reserveByEviction(n)
}

// tryReserve reserves n bytes if they are available now. MayEvict is false if the account
// would exceed its own share.
func (a *Account) tryReserve(n int64) (ok, mayEvict bool) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserve(a, n)
}

// reserve must be called with mu held.
func (b *Budget) reserve(a *Account, n int64) (ok, mayEvict bool) {
	switch {
	case a.closed:
		return true, false
	case a.bytes+n > a.cfg.Share:
		return false, false
	case b.missing(a, n) > 0:
		return false, true
	}
	a.bytes += n
	b.usedBytes += n
	return true, false
}

// missing returns how many bytes must be released before the account can have n more. It
// must be called with mu held.
func (b *Budget) missing(a *Account, n int64) int64 {
	limit := b.cfg.Limit
	if a.bytes+n > smallAccountBytes {
		limit -= limit / smallPart
	}
	return b.usedBytes + n - limit
}

func (a *Account) reserveByEviction(n int64) bool {
	b := a.budget
	timeout := time.NewTimer(evictTimeout)
	defer timeout.Stop()
	b.mu.Lock()
	b.waiting++
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.waiting--
		b.mu.Unlock()
	}()
	for {
		b.mu.Lock()
		ok, mayEvict := b.reserve(a, n)
		if ok || !mayEvict {
			b.mu.Unlock()
			return ok
		}
		victims, releasing := b.chooseVictims(sqclock.Now(), a, b.missing(a, n))
		released := b.released
		b.mu.Unlock()
		evict(victims)
		if !releasing {
			return false
		}
		select {
		case <-released:
		case <-timeout.C:
			return false
		}
	}
}
