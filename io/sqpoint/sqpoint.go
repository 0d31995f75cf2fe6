// Package sqpoint marks places in the code where proofs freeze the process or
// switch a protection off, to show that a judge notices. Normal builds compile
// all of it away; only the build tag "sqfault" brings it to life.
package sqpoint

// Point names a marked place.
type Point string

// The marked places.
const (
	// OrderCommitted is after an order's intent is committed, before it is sent.
	OrderCommitted Point = "orderCommitted"
	// OrderWriteChecked is between the guard's check and the write.
	OrderWriteChecked Point = "guardChecked"
	// OutcomeReturned is after a call's answer was handed to its caller, before its
	// commit.
	OutcomeReturned Point = "outcomeTold"
	// CallWriteChecked is between the last check of a call that must not be repeated
	// and its write.
	CallWriteChecked Point = "sendChecked"
	// CallCommitted is after a call's intent is committed, before it is sent.
	CallCommitted Point = "callBegun"
)

// Protection names a protection that a proof may switch off.
type Protection string

// The protections.
const (
	// LeaseCheck is the lease check before each write of an order.
	LeaseCheck Protection = "guard"
	// Watchdog is the kernel timer that ends a process frozen between the check
	// and the write, with the deadline of an order's write.
	Watchdog Protection = "watchdog"
	// VersionCheck is the comparison of versions when publishing.
	VersionCheck Protection = "compare"
)
