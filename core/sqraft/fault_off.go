//go:build !sqfault

package sqraft

// Faults that only builds with the tag sqfault can inject, to show that the
// tests detect them.
const (
	faultSkipLeaseWait       = false
	faultIgnorePromise       = false
	faultSkipRestartWait     = false
	faultSkipPreVote         = false
	faultKeepLeaseInTransfer = false
	faultTransferBeforeLease = false
	faultIgnorePromiseEnd    = false
)
