// Package sqlocate tracks which of several processes is believed to hold the lease.
package sqlocate

import (
	"slices"
	"sync"
	"time"
)

// suspectDuration is how long an address that did not respond is avoided, even if
// another process still names it as the lease holder.
const suspectDuration = 1500 * time.Millisecond

// Locator holds the addresses of the processes and the address that is believed to
// hold the lease. It is safe for concurrent use.
type Locator struct {
	mu        sync.Mutex
	addresses []string
	holder    string
	nextIndex int
	// failedAt holds the last time at which each address did not respond.
	failedAt map[string]time.Time
}

// New returns a locator that takes the first address for the lease holder.
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

// SetAddresses replaces the addresses. The believed lease holder stays, even if it is
// not one of them.
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

// ReportNotHolder records that the process at address responded that it does not hold
// the lease. redirect is the address of the holder that the response named, or "".
func (l *Locator) ReportNotHolder(now time.Time, address, redirect string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if redirect != "" && redirect != address && !l.isSuspect(now, redirect) {
		l.switchHolder(address, redirect)
		return
	}
	l.switchHolder(address, l.nextAddress(now, address))
}

// ReportUnreachable records that address did not respond and switches to another one.
func (l *Locator) ReportUnreachable(now time.Time, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failedAt[address] = now
	l.switchHolder(address, l.nextAddress(now, address))
}

// switchHolder changes the believed lease holder, unless another caller has changed it
// already; mu must be held.
func (l *Locator) switchHolder(from, to string) {
	if l.holder == from && to != "" {
		l.holder = to
	}
}

// isSuspect reports whether address did not respond within the last suspectDuration;
// mu must be held.
func (l *Locator) isSuspect(now time.Time, address string) bool {
	failedAt, failed := l.failedAt[address]
	return failed && now.Sub(failedAt) < suspectDuration
}

// nextAddress returns the next address in round-robin order. It skips address and
// suspect addresses, unless no other is left; mu must be held.
func (l *Locator) nextAddress(now time.Time, address string) string {
	if len(l.addresses) == 0 {
		return ""
	}
	for range l.addresses {
		l.nextIndex = (l.nextIndex + 1) % len(l.addresses)
		if a := l.addresses[l.nextIndex]; a != address && !l.isSuspect(now, a) {
			return a
		}
	}
	l.nextIndex = (l.nextIndex + 1) % len(l.addresses)
	return l.addresses[l.nextIndex]
}
