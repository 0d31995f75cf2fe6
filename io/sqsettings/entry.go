package sqsettings

import "time"

// Entry is what one entry process is started with.
type Entry struct {
	node      EntryNode
	controls  []string
	timing    EntryTiming
	limits    EntryLimits
	router    string
	admission string
}

// Node returns the identity and addresses of the process.
func (e *Entry) Node() EntryNode { return e.node }

// ControlAddresses returns "ip:port" of every control process of the deployment.
func (e *Entry) ControlAddresses() []string { return e.controls }

// Timing returns the periods and bounds of the process.
func (e *Entry) Timing() EntryTiming { return e.timing }

// Limits returns the bounds on callers' input and on work in flight.
func (e *Entry) Limits() EntryLimits { return e.limits }

// RoutingPolicy returns "cacheAware", "roundRobin" or "leastLoaded".
func (e *Entry) RoutingPolicy() string { return e.router }

// AdmissionPolicy returns "fair" or "fifo".
func (e *Entry) AdmissionPolicy() string { return e.admission }

// EntryNode is the identity and the addresses of one entry process.
type EntryNode struct {
	deployment        string
	name              string
	zone              string
	callers           string
	internal          string
	advertiseCallers  string
	advertiseInternal string
}

// Deployment returns the name of the deployment.
func (n EntryNode) Deployment() string { return n.deployment }

// Name returns the name of the process, unique in the deployment.
func (n EntryNode) Name() string { return n.name }

// Zone returns the availability zone of the VM.
func (n EntryNode) Zone() string { return n.zone }

// CallerAddress returns the "ip:port" to listen on for callers.
func (n EntryNode) CallerAddress() string { return n.callers }

// InternalAddress returns the "ip:port" to listen on for operators and metrics.
func (n EntryNode) InternalAddress() string { return n.internal }

// AdvertiseCallerAddress returns the "ip:port" that callers are told, or "" for the
// one bound.
func (n EntryNode) AdvertiseCallerAddress() string { return n.advertiseCallers }

// AdvertiseInternalAddress returns the "ip:port" that operators use, or "" for the one
// bound.
func (n EntryNode) AdvertiseInternalAddress() string { return n.advertiseInternal }

// EntryTiming holds the periods and bounds of an entry process.
type EntryTiming struct {
	fresh time.Duration
	watch time.Duration
	poll  time.Duration
	keep  time.Duration
	stop  time.Duration
}

// MaxFreshnessLease returns the longest freshness lease that the entry accepts.
func (t EntryTiming) MaxFreshnessLease() time.Duration { return t.fresh }

// WatchInterval returns the period of asking the holder.
func (t EntryTiming) WatchInterval() time.Duration { return t.watch }

// PollInterval returns the period of reading the endpoints' loads and cache events.
func (t EntryTiming) PollInterval() time.Duration { return t.poll }

// AddressTTL returns how long callers may keep the list of addresses.
func (t EntryTiming) AddressTTL() time.Duration { return t.keep }

// DrainTimeout returns the bound on finishing requests at a planned stop, counted from
// the end of Keep.
func (t EntryTiming) DrainTimeout() time.Duration { return t.stop }

// EntryLimits bounds callers' input and the work in flight.
type EntryLimits struct {
	maxBodyBytes   int64
	maxHeaderBytes int
	maxRunning     int
	pollBytes      int
}

// MaxBodyBytes returns the bound on one request's body.
func (l EntryLimits) MaxBodyBytes() int64 { return l.maxBodyBytes }

// MaxHeaderBytes returns the bound on one request's headers.
func (l EntryLimits) MaxHeaderBytes() int { return l.maxHeaderBytes }

// MaxRequests returns the bound on requests in flight at this entry.
func (l EntryLimits) MaxRequests() int { return l.maxRunning }

// PollBytesPerSecond returns what reading endpoints may cost in bytes a second in a fleet
// too large to be read at full rate.
func (l EntryLimits) PollBytesPerSecond() int { return l.pollBytes }
