package sqevent

// Events 6000 to 6999: gateways.
var (
	GatewayLeaseGained  = Event{6000, Info, "gateway may act on what the holder said", []string{"holder", "version", "revision"}}
	GatewayLeaseLost    = Event{6001, Warn, "gateway has not heard the holder for too long", []string{"silentMillis", "error"}}
	HolderPollFailed    = Event{6002, Warn, "coordinator did not answer as the holder", []string{"address", "error"}}
	TableInForce        = Event{6003, Info, "routing table in force", []string{"version"}}
	TableUnreadable     = Event{6004, Error, "routing table of the holder cannot be used", []string{"version", "error"}}
	EndpointListInForce = Event{6005, Info, "list of endpoints in force", []string{"revision", "endpoints"}}
	RequestDone         = Event{6006, Info, "request answered", []string{"request", "route", "team", "endpoint", "prefill", "sends", "status", "firstMillis", "totalMillis", "expectedMillis", "version"}}
	RequestRefused      = Event{6007, Info, "request refused, not run", []string{"request", "route", "team", "status", "reason", "retryAfterMillis", "ageMillis", "version"}}
	RequestFailed       = Event{6008, Warn, "request failed", []string{"request", "route", "team", "endpoint", "prefill", "sends", "status", "reason", "totalMillis", "version"}}
	SendFailed          = Event{6009, Info, "send to an endpoint came to nothing", []string{"request", "endpoint", "outcome", "next", "afterMillis", "reason"}}
	CallerDisconnected  = Event{6010, Info, "caller left before the answer", []string{"request", "route", "endpoint", "totalMillis"}}
	GatewayStopping     = Event{6011, Info, "gateway leaves the directory", []string{"keepMillis"}}
	GatewayGraceExpired = Event{6012, Warn, "requests were left at the end of the stop", []string{"running"}}
	PrefillFailed       = Event{6013, Info, "prompt was not read ahead", []string{"request", "endpoint", "afterMillis", "reason"}}
	WaitedForHolder     = Event{6014, Info, "request waited for the holder after the start", []string{"request", "waitedMillis", "heard"}}
)

var gatewayEvents = []Event{
	GatewayLeaseGained, GatewayLeaseLost, HolderPollFailed, TableInForce, TableUnreadable, EndpointListInForce,
	RequestDone, RequestRefused, RequestFailed, SendFailed, CallerDisconnected, GatewayStopping, GatewayGraceExpired, PrefillFailed, WaitedForHolder,
}
