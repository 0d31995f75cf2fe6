// Package sqlocate remembers which of several processes holds the lease.
package sqlocate

import (
	"slices"
	"sync"
)

// Locator keeps the addresses of the processes and the one that is believed to
// hold the lease. It is safe for concurrent use.
type Locator struct {
	mu        sync.Mutex
	addresses []string
	holder    string
	next      int
}

// New returns a locator that begins with the first address.
func New(addresses []string) *Locator {
	l := &Locator{addresses: slices.Clone(addresses)}
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
	if named != "" && named != address {
		l.holder = named
		return
	}
	l.next = (l.next + 1) % len(l.addresses)
	if l.addresses[l.next] == address {
		l.next = (l.next + 1) % len(l.addresses)
	}
	l.holder = l.addresses[l.next]
}
