// Package sqlocate remembers which of several processes holds the lease.
package sqlocate

import (
	"slices"
	"sync"
	"time"
)

// distrust is for how long an address that did not answer as the holder is not
// gone back to because another process still names it.
const distrust = 1500 * time.Millisecond

// Locator keeps the addresses of the processes and the one that is believed to
// hold the lease. It is safe for concurrent use.
type Locator struct {
	mu        sync.Mutex
	addresses []string
	holder    string
	next      int
	// failedAt is when an address last did not answer as the holder.
	failedAt map[string]time.Time
}

// New returns a locator that begins with the first address.
func New(addresses []string) *Locator {
	l := &Locator{addresses: slices.Clone(addresses), failedAt: map[string]time.Time{}}
	if len(addresses) > 0 {
		l.holder = addresses[0]
	}
	return l
}

// Holder returns the address that is believed to hold the lease, or "".
func (l *Locator) Holder() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holder
}

// Addresses returns all addresses.
func (l *Locator) Addresses() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.addresses)
}

// SetAddresses replaces the addresses; the believed holder stays.
func (l *Locator) SetAddresses(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for a := range l.failedAt {
		if !slices.Contains(addresses, a) {
			delete(l.failedAt, a)
		}
	}
	l.addresses = slices.Clone(addresses)
	if l.holder == "" && len(addresses) > 0 {
		l.holder = addresses[0]
	}
}

// ReportNotHolder moves on from an address that does not hold the lease; named is the
// address that it gave in its place, or "".
func (l *Locator) ReportNotHolder(now time.Time, address, named string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if named != "" && named != address && !l.distrusts(now, named) {
		l.moveOn(address, named)
		return
	}
	l.moveOn(address, l.another(now, address))
}

// ReportUnreachable moves on from an address that did not answer.
func (l *Locator) ReportUnreachable(now time.Time, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failedAt[address] = now
	l.moveOn(address, l.another(now, address))
}

// moveOn changes the believed holder, unless another caller has done so already;
// mu must be held.
func (l *Locator) moveOn(from, to string) {
	if l.holder == from && to != "" {
		l.holder = to
	}
}

// distrusts reports whether the address lately did not answer as the holder and
// named no other; mu must be held.
func (l *Locator) distrusts(now time.Time, address string) bool {
	at, failed := l.failedAt[address]
	return failed && now.Sub(at) < distrust
}

// another returns the next address in turn, if possible one that has not just
// failed; mu must be held.
func (l *Locator) another(now time.Time, address string) string {
	if len(l.addresses) == 0 {
		return ""
	}
	for range l.addresses {
		l.next = (l.next + 1) % len(l.addresses)
		if a := l.addresses[l.next]; a != address && !l.distrusts(now, a) {
			return a
		}
	}
	l.next = (l.next + 1) % len(l.addresses)
	return l.addresses[l.next]
}
