package sqmemory

import (
	"slices"
	"time"

	"sequoiadock/io/sqclock"
)

// victim is an account that is to be evicted.
type victim struct {
	account *Account
	// closes is set if the account was interrupted before, without effect.
	closes bool
}

// evict ends the owners of accounts that are still evictable. It must be called without mu.
func evict(victims []victim) {
	for _, v := range victims {
		// The request may have arrived and begun to run while others were evicted.
		if !v.account.evictable(sqclock.Now()) {
			continue
		}
		if v.closes {
			v.account.cfg.Close()
			continue
		}
		v.account.cfg.Interrupt()
	}
}

// evictable reports whether the account may be evicted at now: it is not served, and has
// made no progress for a while.
func (a *Account) evictable(now time.Time) bool {
	if a.serving.Load() && !a.receiving.Load() {
		return false
	}
	return now.UnixNano()-a.progressAt.Load() >= minStall.Nanoseconds()
}

// interrupt marks the account as interrupted at now and returns how to evict it. Evicts is
// false if it was interrupted a short time ago. It must be called with mu held.
func (a *Account) interrupt(now time.Time) (v victim, evicts bool) {
	wasInterrupted := !a.interruptedAt.IsZero()
	if wasInterrupted && now.Sub(a.interruptedAt) < closeDelay {
		return victim{}, false
	}
	a.interruptedAt = now
	return victim{account: a, closes: wasInterrupted}, true
}

// chooseVictims returns the accounts that have made no progress for longest and hold the
// missing bytes together. Releasing reports whether any bytes are about to be released. It
// must be called with mu held.
func (b *Budget) chooseVictims(now time.Time, reserving *Account, missing int64) (victims []victim, releasing bool) {
	var stalled []*Account
	for a := range b.accounts {
		if a != reserving && a.bytes > 0 && a.evictable(now) {
			stalled = append(stalled, a)
		}
	}
	slices.SortFunc(stalled, func(x, y *Account) int { return int(x.progressAt.Load() - y.progressAt.Load()) })
	for _, a := range stalled {
		if missing <= 0 {
			break
		}
		missing -= a.bytes
		releasing = true
		if v, evicts := a.interrupt(now); evicts {
			victims = append(victims, v)
		}
	}
	return victims, releasing
}

// EvictFrom evicts the account of a group that has made no progress for longest, and
// reports whether there was one.
func (b *Budget) EvictFrom(now time.Time, group string) bool {
	b.mu.Lock()
	var oldest *Account
	for a := range b.accounts {
		if a.cfg.Group == group && a.evictable(now) && (oldest == nil || a.progressAt.Load() < oldest.progressAt.Load()) {
			oldest = a
		}
	}
	b.mu.Unlock()
	if oldest == nil {
		return false
	}
	oldest.cfg.Close()
	return true
}
