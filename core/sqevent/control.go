package sqevent

// Events 3000 to 3999: control processes and the lease holder.
var (
	HolderLeaseGained      = Event{3001, Info, "holds the lease", []string{"term"}}
	HolderLeaseLost        = Event{3002, Warn, "no longer holds the lease", []string{"term"}}
	OrderOpened            = Event{3003, Info, "order committed", []string{"order", "kind", "target", "argument", "reason"}}
	OrderSent              = Event{3004, Info, "order sent", []string{"order", "target", "term"}}
	OrderClosed            = Event{3005, Info, "order closed", []string{"order", "target", "done", "note"}}
	OrderFailed            = Event{3006, Warn, "order not delivered, will be sent again", []string{"order", "target", "error"}}
	WindowFrozen           = Event{3007, Info, "billing window frozen", []string{"window", "lines"}}
	WindowReported         = Event{3008, Info, "billing window reported", []string{"window"}}
	ReportFailed           = Event{3009, Warn, "usage report not delivered, will be sent again", []string{"window", "error"}}
	PlatformListFailed     = Event{3010, Warn, "the platform's list of VMs could not be read", []string{"error"}}
	ConfigurationCommitted = Event{3011, Info, "configuration committed", []string{"version"}}
	ConfigurationInForce   = Event{3012, Info, "configuration in force at every entry", []string{"version", "waitedMillis"}}
	CallsUnknown           = Event{3013, Warn, "calls of a lost entry have an unknown outcome", []string{"entry", "calls"}}
	ProposalFailed         = Event{3014, Warn, "change proposed by the holder was not committed", []string{"what", "error"}}
	Bootstrapped           = Event{3015, Info, "first set-up done", []string{"cluster", "members"}}
	ReplicaReplaced        = Event{3016, Info, "replica replaced", []string{"name", "oldId", "newId"}}
	HolderUnacknowledged   = Event{3017, Warn, "entries do not get the holder's answers, holder transfers leadership", []string{"term", "unheardMillis"}}
	HolderTransferFailed   = Event{3018, Warn, "holder could not transfer leadership while running", []string{"term", "error"}}
)

var controlEvents = []Event{
	HolderLeaseGained, HolderLeaseLost, OrderOpened, OrderSent, OrderClosed, OrderFailed, WindowFrozen, WindowReported,
	ReportFailed, PlatformListFailed, ConfigurationCommitted, ConfigurationInForce, CallsUnknown, ProposalFailed,
	Bootstrapped, ReplicaReplaced, HolderUnacknowledged, HolderTransferFailed,
}
