// Package sqduty decides when a lease holder may call receivers on behalf of the whole
// deployment: the platform, to report usage and to order endpoints, and engines, to change
// their stage. A receiver may ignore the fencing token of a call, so that a late call of an
// earlier holder takes effect. The package therefore bounds by time which calls can arrive:
//
//	the last write of a holder        before its lease ends, less writeMargin
//	its arrival, or its loss          at most DeliveryTimeout later
//	the first write of a successor    TakeoverDelay after the successor got its lease,
//	                                  which is after the earlier lease has ended
//
// All times are read by one process from one clock that goes on while the process or its VM
// is suspended; times of different processes are never compared.
package sqduty

import "time"

// writeMargin is how long before the end of its lease a holder stops to write, so that a
// write that is blocked by a full buffer fails while the lease is still held.
const writeMargin = 50 * time.Millisecond

// firstTerm is the term of the first election after a group is bootstrapped. No other
// process held a lease before it.
const firstTerm = 2

// CallsFrom returns the time from which a holder may call receivers. A new holder waits for
// takeoverDelay from heldSince, when it got the lease of the term.
func CallsFrom(term uint64, heldSince time.Time, takeoverDelay time.Duration) time.Time {
	if term <= firstTerm {
		return heldSince
	}
	return heldSince.Add(takeoverDelay)
}

// WriteTime returns how long a write may take that begins at now, under a lease that ends at
// leaseUntil. It is 0 if nothing may be written.
func WriteTime(now, leaseUntil time.Time) time.Duration {
	return max(0, leaseUntil.Sub(now)-writeMargin)
}

// DeliveryTimeout returns after which time written bytes that the receiver's VM has not
// acknowledged are discarded: callTimeout, after which the caller gives up anyway, but at
// most half of takeoverDelay. The other half is for what no sender can bound: the time that
// an acknowledged call waits at the receiver.
func DeliveryTimeout(callTimeout, takeoverDelay time.Duration) time.Duration {
	return min(callTimeout, takeoverDelay/2)
}
