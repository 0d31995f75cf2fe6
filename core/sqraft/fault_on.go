//go:build sqfault

package sqraft

// Faults that only builds with the tag sqfault can inject, to show that the
// tests detect them.
var (
	faultSkipLeaseWait       bool
	faultIgnorePromise       bool
	faultSkipRestartWait     bool
	faultSkipPreVote         bool
	faultKeepLeaseInTransfer bool
	faultTransferBeforeLease bool
	faultIgnorePromiseEnd    bool
)

// SetFaults injects the named faults and no others. Call it before any Raft
// runs. The names are:
//
//   - leaseWait: a new leader acts at once.
//   - promise: followers vote while the leader's lease runs.
//   - restartWait: a replica votes at once after its start.
//   - preVote: a replica raises its term without a pre-vote.
//   - giveUp: a leader keeps its lease while it transfers its leadership.
//   - handOverFrom: a leader transfers its leadership while it still waits for
//     the end of an earlier lease.
//   - promiseOver: a new leader ignores what its voters reported of earlier
//     leases.
func SetFaults(names ...string) {
	on := map[string]bool{}
	for _, name := range names {
		on[name] = true
	}
	faultSkipLeaseWait = on["leaseWait"]
	faultIgnorePromise = on["promise"]
	faultSkipRestartWait = on["restartWait"]
	faultSkipPreVote = on["preVote"]
	faultKeepLeaseInTransfer = on["giveUp"]
	faultTransferBeforeLease = on["handOverFrom"]
	faultIgnorePromiseEnd = on["promiseOver"]
}
