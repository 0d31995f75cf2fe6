package sqevent

// Events 4000 to 4999: entries.
var (
	EntryLeaseLost            = Event{4000, Warn, "freshness lease ran out", []string{"entry"}}
	EntryLeaseGained          = Event{4001, Info, "freshness lease gained", []string{"entry", "holder", "version"}}
	HolderFound               = Event{4002, Info, "lease holder found", []string{"holder"}}
	VersionRegressed          = Event{4003, Error, "control process answered with an older version", []string{"holder", "known", "offered"}}
	EntryConfigurationInForce = Event{4004, Info, "configuration in force", []string{"version", "keyRevision"}}
	CircuitOpened             = Event{4005, Warn, "endpoint circuit opened", []string{"endpoint", "reason"}}
	CircuitClosed             = Event{4006, Info, "endpoint circuit closed", []string{"endpoint"}}
	EndpointBadResponse       = Event{4007, Warn, "endpoint gave a bad answer", []string{"endpoint", "decision", "detail"}}
	StreamMoved               = Event{4008, Info, "stream moved to another endpoint", []string{"decision", "from", "to", "position", "how"}}
	CallRecordFailed          = Event{4009, Error, "outcome of a call is not recorded yet", []string{"decision", "error"}}
	EntryLeaving              = Event{4010, Info, "entry leaves the address list", []string{"entry", "keepMillis"}}
	EntryGraceExpired         = Event{4011, Warn, "stop grace period ended with requests still running", []string{"entry", "running"}}
	UsageBatchFailed          = Event{4012, Warn, "usage batch not accepted yet", []string{"run", "number", "error"}}
	HandlerPanicked           = Event{4013, Error, "request handler panicked", []string{"decision", "detail"}}
	CacheEventGap             = Event{4014, Debug, "cache events have a gap", []string{"endpoint", "after", "first"}}
)

var entryEvents = []Event{
	EntryLeaseLost, EntryLeaseGained, HolderFound, VersionRegressed, EntryConfigurationInForce,
	CircuitOpened, CircuitClosed, EndpointBadResponse, StreamMoved, CallRecordFailed,
	EntryLeaving, EntryGraceExpired, UsageBatchFailed, HandlerPanicked, CacheEventGap,
}
