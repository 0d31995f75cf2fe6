// Package sqpoint provides failpoints: places in the code where a test stops the
// process, and protections that a test disables to show that its checks detect the
// fault. Failpoints exist only in builds with the tag "sqfault"; in normal builds
// they do nothing.
package sqpoint

// Point names a failpoint.
type Point string

// The failpoints.
const (
	// OrderCommitted is after the intent of an order is committed and before the
	// order is sent.
	OrderCommitted Point = "orderCommitted"
	// OrderWriteChecked is between the lease check and the write of an order.
	OrderWriteChecked Point = "guardChecked"
	// OutcomeReturned is after the outcome of a call is returned to its caller and
	// before the outcome is committed.
	OutcomeReturned Point = "outcomeTold"
	// CallWriteChecked is between the write check and the write of a call that must
	// not be repeated.
	CallWriteChecked Point = "sendChecked"
	// CallCommitted is after the intent of a call is committed and before the call
	// is sent.
	CallCommitted Point = "callBegun"
)

// Protection names a protection that a test can disable.
type Protection string

// The protections.
const (
	// LeaseCheck is the lease check before each write of an order.
	LeaseCheck Protection = "guard"
	// Watchdog is the kernel timer that kills a process frozen between the check and
	// the write. Disabling it also disables the write deadline of an order.
	Watchdog Protection = "watchdog"
	// VersionCheck is the comparison of versions when a configuration is published.
	VersionCheck Protection = "compare"
)
