// Package sqmemory bounds the memory that many requests use together for buffers whose
// size others decide.
//
// A Pool bounds what is kept of responses; each request has a Reservation in it. A Budget
// bounds what a process holds for all callers; each connection has an Account in it, which
// may be evicted for another one. A reservation may count in an account as well.
package sqmemory

import (
	"sync"
	"sync/atomic"
)

// Pool is the memory that requests may reserve together. It is safe for concurrent use.
type Pool struct {
	limit     atomic.Int64
	usedBytes atomic.Int64
}

// NewPool returns a pool of so many bytes.
func NewPool(limit int64) *Pool {
	p := &Pool{}
	p.SetLimit(limit)
	return p
}

// SetLimit changes the size of the pool.
func (p *Pool) SetLimit(limit int64) { p.limit.Store(limit) }

// UsedBytes returns how many bytes are reserved.
func (p *Pool) UsedBytes() int64 { return p.usedBytes.Load() }

func (p *Pool) reserve(n int64) bool {
	if p.usedBytes.Add(n) <= p.limit.Load() {
		return true
	}
	p.usedBytes.Add(-n)
	return false
}

// NewReservation returns a reservation of no bytes.
func (p *Pool) NewReservation() *Reservation { return p.NewReservationOf(nil) }

// NewReservationOf returns a reservation of no bytes that an account of a budget holds as
// well.
func (p *Pool) NewReservationOf(a *Account) *Reservation { return &Reservation{pool: p, account: a} }

// Reservation is the memory that one request has reserved in a pool. It is safe for
// concurrent use: a call may outlive its request.
type Reservation struct {
	pool    *Pool
	account *Account

	mu       sync.Mutex
	bytes    int64
	released bool
}

// Reserve reserves n more bytes and reports whether they were available. After Release it
// always succeeds: the little that a call still holds is no longer counted.
func (r *Reservation) Reserve(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reserve(int64(n))
}

func (r *Reservation) reserve(n int64) bool {
	if r.released {
		return true
	}
	if !r.pool.reserve(n) {
		return false
	}
	if n > 0 && !r.account.Reserve(n) {
		r.pool.usedBytes.Add(-n)
		return false
	}
	if n < 0 {
		r.account.Release(-n)
	}
	r.bytes += n
	return true
}

// Resize makes the reservation n bytes large and reports whether they were available. If
// not, the reservation stays as it is.
func (r *Reservation) Resize(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reserve(int64(n) - r.bytes)
}

// Release returns all reserved bytes to the pool.
func (r *Reservation) Release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pool.usedBytes.Add(-r.bytes)
	r.account.Release(r.bytes)
	r.bytes = 0
	r.released = true
}
