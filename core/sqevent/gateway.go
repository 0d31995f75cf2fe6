package sqevent

// Events 6000 to 6999: gateways.
var (
	GatewayLeaseGained   = Event{6000, Info, "gateway gained its freshness lease", []string{"holder", "version", "revision"}}
	GatewayLeaseLost     = Event{6001, Warn, "gateway's freshness lease ran out, no answer from the holder", []string{"silentMillis", "error"}}
	HolderPollFailed     = Event{6002, Warn, "coordinator did not answer as the lease holder", []string{"address", "error", "afterMillis", "firstByteMillis", "bytes"}}
	TableInForce         = Event{6003, Info, "routing table in force", []string{"version", "bytes", "sentBytes", "knownMillis", "transferMillis", "decodeMillis", "failures"}}
	TableUnreadable      = Event{6004, Error, "routing table of the holder cannot be used", []string{"version", "error"}}
	EndpointListInForce  = Event{6005, Info, "list of endpoints in force", []string{"revision", "endpoints"}}
	RequestDone          = Event{6006, Info, "request answered", []string{"request", "route", "team", "endpoint", "prefill", "sends", "status", "firstMillis", "totalMillis", "expectedMillis", "version", "framing"}}
	RequestRefused       = Event{6007, Info, "request refused, not run", []string{"request", "route", "team", "status", "reason", "retryAfterMillis", "ageMillis", "version"}}
	RequestFailed        = Event{6008, Warn, "request failed", []string{"request", "route", "team", "endpoint", "prefill", "sends", "status", "reason", "totalMillis", "version"}}
	SendFailed           = Event{6009, Info, "send to an endpoint failed", []string{"request", "endpoint", "outcome", "next", "afterMillis", "reason", "events", "parts", "content", "version"}}
	CallerDisconnected   = Event{6010, Info, "caller disconnected before the response", []string{"request", "route", "endpoint", "totalMillis"}}
	GatewayStopping      = Event{6011, Info, "gateway leaves the directory", []string{"keepMillis"}}
	GatewayGraceExpired  = Event{6012, Warn, "stop grace period ended with requests still running", []string{"running"}}
	PrefillFailed        = Event{6013, Info, "prefill on another endpoint failed", []string{"request", "endpoint", "afterMillis", "reason"}}
	WaitedForHolder      = Event{6014, Info, "request waited for the lease holder after the gateway started", []string{"request", "waitedMillis", "heard"}}
	CallerNotReset       = Event{6015, Error, "connection of an aborted response could not be reset", []string{"request", "error"}}
	EndpointCrashed      = Event{6016, Warn, "endpoint crashed with requests in flight", []string{"endpoint", "service"}}
	QuarantineInForce    = Event{6017, Warn, "requests with a trait are refused", []string{"kind", "service", "trait", "leftMillis"}}
	EndpointLeaving      = Event{6018, Info, "endpoint reports that it is about to stop and gets no requests", []string{"endpoint", "service", "address"}}
	DepartureForgotten   = Event{6019, Info, "endpoint that reported its stop is no longer listed and is forgotten", []string{"endpoint"}}
	EndpointRefuses      = Event{6020, Info, "endpoint refuses requests with 503 and gets none until its Retry-After has passed", []string{"endpoint", "service", "retryAfterMillis"}}
	EndpointRefusalEnded = Event{6021, Info, "time for which an endpoint refused requests has passed", []string{"endpoint"}}
	RetryAfterUnreadable = Event{6022, Warn, "Retry-After of an endpoint cannot be read and is ignored", []string{"endpoint", "value"}}
	TablePieceFailed     = Event{6023, Info, "piece of the routing table did not arrive and is fetched again", []string{"version", "offset", "size", "address", "afterMillis", "firstByteMillis", "bytes", "error"}}
	TableOutdated        = Event{6024, Warn, "routing table in use is outdated and the newer one has not arrived, requests are refused", []string{"version", "newer"}}
	EndpointLimited      = Event{6025, Info, "endpoint limits the requests of all gateways and gets them with permits only", []string{"endpoint", "perSecond", "from"}}
	EndpointLimitEnded   = Event{6026, Info, "endpoint has ended its limit", []string{"endpoint", "from"}}
	LimitUnreadable      = Event{6027, Warn, "limit that an endpoint names cannot be read and is ignored", []string{"endpoint", "value"}}
	ProbeAsked           = Event{6029, Info, "asked for one request with a trait whose quarantine has ended", []string{"request", "kind", "service", "trait", "granted", "error"}}
	BeatNotDecoded       = Event{6031, Error, "part of the response to a heartbeat cannot be decoded", []string{"part", "error"}}
	StreamTakenUp        = Event{6030, Info, "caller takes up a stream that began at another gateway", []string{"request", "resumes", "service", "version", "error"}}
	QuotaExceeded        = Event{6040, Info, "team is over its quota, its requests are refused with 429", []string{"team", "units", "retryAfterMillis"}}
	QuotaNotAnswered     = Event{6041, Warn, "lease holder did not answer a call for units of a quota, requests wait", []string{"team", "waiting", "address", "error"}}
	ResponseMemoryShort  = Event{6028, Warn, "no memory for a long event of a response", []string{"request", "endpoint", "usedBytes"}}
)

var gatewayEvents = []Event{
	GatewayLeaseGained, GatewayLeaseLost, HolderPollFailed, TableInForce, TableUnreadable, EndpointListInForce,
	RequestDone, RequestRefused, RequestFailed, SendFailed, CallerDisconnected, GatewayStopping, GatewayGraceExpired,
	PrefillFailed, WaitedForHolder, CallerNotReset, EndpointCrashed, QuarantineInForce,
	EndpointLeaving, DepartureForgotten, EndpointRefuses, EndpointRefusalEnded, RetryAfterUnreadable,
	TablePieceFailed, TableOutdated, EndpointLimited, EndpointLimitEnded, LimitUnreadable, ResponseMemoryShort, ProbeAsked, StreamTakenUp, BeatNotDecoded,
	QuotaExceeded, QuotaNotAnswered,
}
