package sqsettings

import "time"

// Entry holds the settings of one entry process.
type Entry struct {
	node             EntryNode
	controlAddresses []string
	timing           EntryTiming
	limits           EntryLimits
	routingPolicy    string
	admissionPolicy  string
}

// Node returns the identity and addresses of the process.
func (e *Entry) Node() EntryNode { return e.node }

// ControlAddresses returns the "ip:port" of every control process of the
// deployment.
func (e *Entry) ControlAddresses() []string { return e.controlAddresses }

// Timing returns the intervals and timeouts of the process.
func (e *Entry) Timing() EntryTiming { return e.timing }

// Limits returns the limits on callers' input and on work in flight.
func (e *Entry) Limits() EntryLimits { return e.limits }

// RoutingPolicy returns the policy for choosing an endpoint: "cacheAware",
// "roundRobin" or "leastLoaded".
func (e *Entry) RoutingPolicy() string { return e.routingPolicy }

// AdmissionPolicy returns the policy for admitting requests: "fair" or "fifo".
func (e *Entry) AdmissionPolicy() string { return e.admissionPolicy }

// EntryNode holds the identity and addresses of one entry process.
type EntryNode struct {
	deployment               string
	name                     string
	zone                     string
	callerAddress            string
	internalAddress          string
	advertiseCallerAddress   string
	advertiseInternalAddress string
}

// Deployment returns the name of the deployment.
func (n EntryNode) Deployment() string { return n.deployment }

// Name returns the name of the process, unique in the deployment.
func (n EntryNode) Name() string { return n.name }

// Zone returns the availability zone of the VM.
func (n EntryNode) Zone() string { return n.zone }

// CallerAddress returns the "ip:port" to listen on for callers.
func (n EntryNode) CallerAddress() string { return n.callerAddress }

// InternalAddress returns the "ip:port" to listen on for operators and metrics.
func (n EntryNode) InternalAddress() string { return n.internalAddress }

// AdvertiseCallerAddress returns the "ip:port" that callers connect to, or "" for
// the address that the process listens on.
func (n EntryNode) AdvertiseCallerAddress() string { return n.advertiseCallerAddress }

// AdvertiseInternalAddress returns the "ip:port" that operators connect to, or ""
// for the address that the process listens on.
func (n EntryNode) AdvertiseInternalAddress() string { return n.advertiseInternalAddress }

// EntryTiming holds the intervals and timeouts of an entry process.
type EntryTiming struct {
	maxFreshnessLease time.Duration
	watchInterval     time.Duration
	pollInterval      time.Duration
	addressTTL        time.Duration
	drainTimeout      time.Duration
}

// MaxFreshnessLease returns the longest freshness lease that the entry accepts.
func (t EntryTiming) MaxFreshnessLease() time.Duration { return t.maxFreshnessLease }

// WatchInterval returns the interval between Watch calls to the lease holder.
func (t EntryTiming) WatchInterval() time.Duration { return t.watchInterval }

// PollInterval returns the interval at which the endpoints' loads and cache events
// are read.
func (t EntryTiming) PollInterval() time.Duration { return t.pollInterval }

// AddressTTL returns how long callers may cache the list of entry addresses.
func (t EntryTiming) AddressTTL() time.Duration { return t.addressTTL }

// DrainTimeout returns how long requests in flight may take to finish at a planned
// stop, counted from the end of AddressTTL.
func (t EntryTiming) DrainTimeout() time.Duration { return t.drainTimeout }

// EntryLimits holds the limits on callers' input and on work in flight.
type EntryLimits struct {
	maxBodyBytes       int64
	maxHeaderBytes     int
	maxRequests        int
	pollBytesPerSecond int
}

// MaxBodyBytes returns the maximum size of a request's body.
func (l EntryLimits) MaxBodyBytes() int64 { return l.maxBodyBytes }

// MaxHeaderBytes returns the maximum size of a request's headers.
func (l EntryLimits) MaxHeaderBytes() int { return l.maxHeaderBytes }

// MaxRequests returns the maximum number of requests in flight at this entry.
func (l EntryLimits) MaxRequests() int { return l.maxRequests }

// PollBytesPerSecond returns the traffic that polling endpoints may cause in a fleet
// that is too large to poll every endpoint at each PollInterval.
func (l EntryLimits) PollBytesPerSecond() int { return l.pollBytesPerSecond }
