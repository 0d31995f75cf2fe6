// Package sqlocate remembers which of several processes holds the lease.
package sqlocate

import (
	"slices"
	"sync"
	"time"

	"sequoiadock/io/sqclock"
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

// Set replaces the addresses; the believed holder stays.
func (l *Locator) Set(addresses []string) {
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

// Failed moves on from an address that did not answer as the holder; named is
// the address that it gave in its place, or "".
func (l *Locator) Failed(address, named string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.holder != address || len(l.addresses) == 0 {
		// Another caller has moved on already.
		return
	}
	now := sqclock.Now()
	if named == "" || named == address {
		l.failedAt[address] = now
	} else if at, failed := l.failedAt[named]; !failed || now.Sub(at) >= distrust {
		l.holder = named
		return
	}
	l.next = (l.next + 1) % len(l.addresses)
	if l.addresses[l.next] == address {
		l.next = (l.next + 1) % len(l.addresses)
	}
	l.holder = l.addresses[l.next]
}
