package sqevent

// Events 5000 to 5999: coordinators.
var (
	BootstrapFailed            = Event{5000, Error, "cluster bootstrap failed", []string{"error"}}
	MemberChanged              = Event{5001, Info, "cluster membership changed", []string{"change", "id", "reason"}}
	MemberChangeFailed         = Event{5002, Warn, "cluster membership change failed", []string{"change", "id", "reason", "error"}}
	TableCommitted             = Event{5003, Info, "routing table committed", []string{"version", "inForce"}}
	TableRefused               = Event{5004, Warn, "routing table refused", []string{"bytes", "error"}}
	TableNotCommitted          = Event{5005, Warn, "routing table not committed", []string{"version", "error"}}
	GatewayFound               = Event{5006, Info, "gateway found", []string{"gateway", "run", "zone"}}
	GatewayLeaving             = Event{5007, Info, "gateway is leaving", []string{"gateway"}}
	GatewayLost                = Event{5008, Warn, "gateway lost, no heartbeats received", []string{"gateway"}}
	EndpointListChanged        = Event{5009, Info, "list of endpoints changed", []string{"revision", "endpoints", "unreadable"}}
	EndpointListFailed         = Event{5010, Warn, "the platform's list could not be read", []string{"ageMillis", "error"}}
	EndpointListRecovered      = Event{5011, Info, "the platform's list can be read again", []string{"endpoints"}}
	EndpointsOrdered           = Event{5012, Info, "endpoints ordered", []string{"service", "zone", "spot", "count", "had", "reason"}}
	EndpointsRefused           = Event{5013, Warn, "endpoint order not accepted", []string{"service", "zone", "spot", "count", "error"}}
	StageOrdered               = Event{5014, Info, "stage of an engine ordered", []string{"endpoint", "stage", "reason"}}
	DiskReopening              = Event{5016, Error, "disk failed, will be reopened", []string{"error", "pauseMillis"}}
	InitialEndpointsCommitted  = Event{5018, Info, "first fleet of a service committed", []string{"service", "endpoints"}}
	TraitQuarantined           = Event{5019, Warn, "trait of requests quarantined, endpoints crashed under it", []string{"kind", "service", "trait", "times", "termMillis"}}
	TraitReleased              = Event{5020, Info, "trait of requests released, a request with it was answered", []string{"kind", "service", "trait"}}
	ServiceLoad                = Event{5017, Info, "service load", []string{"service", "stage", "endpoints", "away", "running", "unreadTokens"}}
	DepartureReported          = Event{5021, Info, "endpoint is about to stop, as a response of it said", []string{"endpoint", "reportedBy", "revision"}}
	DepartureForgottenByHolder = Event{5022, Info, "endpoint that was reported to stop is no longer listed and is forgotten", []string{"endpoint"}}
	LimitReported              = Event{5023, Info, "limit of an endpoint on the requests of all gateways changed, as a response of it said", []string{"endpoint", "reportedBy", "named", "perSecond"}}
	LimitForgotten             = Event{5024, Info, "endpoint that named a limit is no longer listed and is forgotten", []string{"endpoint"}}
	BeatNotEncoded             = Event{5029, Error, "part of the response to a heartbeat cannot be encoded", []string{"part", "error"}}
	HolderCallsWait            = Event{5026, Info, "new lease holder does not call the platform and the engines yet", []string{"term", "waitMillis"}}
	CallWithheld               = Event{5027, Warn, "call to the platform or an engine not sent, the lease does not cover it", []string{"term", "leaseLeftMillis"}}
	WatchdogUnavailable        = Event{5028, Warn, "the kernel has no timer that ends this process if it is paused during a call", []string{"error"}}
	ServiceSpeed               = Event{5036, Info, "speed of the endpoints of a service, as they report it", []string{"service", "stage", "endpoints", "fastestPercent", "meanPercent", "slowestPercent", "newestMillis", "oldestMillis"}}
	ProbeDecided               = Event{5025, Info, "gateway asked for one request with a trait whose quarantine has ended", []string{"kind", "service", "trait", "gateway", "granted", "waitMillis"}}
	GatewayOverloaded          = Event{5050, Warn, "gateway is close to a limit of its VM", []string{"gateway", "zone", "memoryPercent", "linkPercent", "processorPercent", "leftOut"}}
	GatewayRecovered           = Event{5051, Info, "gateway is no longer close to a limit of its VM", []string{"gateway", "zone", "memoryPercent", "linkPercent", "processorPercent"}}
	QuotasInForce              = Event{5040, Info, "quotas of teams in force at the lease holder", []string{"version", "teams"}}
	StageRefused               = Event{5015, Warn, "stage order not accepted", []string{"endpoint", "stage", "error"}}
)

var coordinatorEvents = []Event{
	BootstrapFailed, MemberChanged, MemberChangeFailed, TableCommitted, TableRefused, TableNotCommitted,
	GatewayFound, GatewayLeaving, GatewayLost, EndpointListChanged, EndpointListFailed, EndpointListRecovered,
	EndpointsOrdered, EndpointsRefused, StageOrdered, StageRefused, DiskReopening, ServiceLoad, InitialEndpointsCommitted, TraitQuarantined, TraitReleased,
	DepartureReported, DepartureForgottenByHolder, LimitReported, LimitForgotten, ProbeDecided, HolderCallsWait, CallWithheld, WatchdogUnavailable, BeatNotEncoded,
	ServiceSpeed, QuotasInForce, GatewayOverloaded, GatewayRecovered,
}
