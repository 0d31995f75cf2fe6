package sqsettings

import "time"

// Coordinator holds the settings of one coordinator process.
type Coordinator struct {
	node            MemberNode
	cluster         Cluster
	operatorAddress string
	dataFolder      string
	firstStart      bool
	platformAddress string
	bounds          Bounds
}

// Node returns the identity and addresses of the process.
func (c *Coordinator) Node() MemberNode { return c.node }

// Cluster returns how the process finds the coordinators.
func (c *Coordinator) Cluster() Cluster { return c.cluster }

// OperatorAddress returns the "ip:port" of the operator API.
func (c *Coordinator) OperatorAddress() string { return c.operatorAddress }

// DataFolder returns the folder that holds all files of the process.
func (c *Coordinator) DataFolder() string { return c.dataFolder }

// FirstStart reports whether the deployment starts for the first time.
func (c *Coordinator) FirstStart() bool { return c.firstStart }

// PlatformAddress returns the "ip:port" of the platform.
func (c *Coordinator) PlatformAddress() string { return c.platformAddress }

// Bounds returns the times and limits agreed with the platform.
func (c *Coordinator) Bounds() Bounds { return c.bounds }

// Gateway holds the settings of one gateway process.
type Gateway struct {
	node             MemberNode
	cluster          Cluster
	callerAddress    string
	readinessAddress string
	directoryAddress string
	bounds           Bounds
}

// Node returns the identity and addresses of the process.
func (g *Gateway) Node() MemberNode { return g.node }

// Cluster returns how the process finds the coordinators.
func (g *Gateway) Cluster() Cluster { return g.cluster }

// CallerAddress returns the "ip:port" at which callers connect.
func (g *Gateway) CallerAddress() string { return g.callerAddress }

// ReadinessAddress returns the "ip:port" of the readiness check that the platform
// calls.
func (g *Gateway) ReadinessAddress() string { return g.readinessAddress }

// DirectoryAddress returns the "ip:port" at which callers look up gateway addresses.
func (g *Gateway) DirectoryAddress() string { return g.directoryAddress }

// Bounds returns the times and limits agreed with the platform.
func (g *Gateway) Bounds() Bounds { return g.bounds }

// MemberNode holds the identity and internal address of a coordinator or gateway.
type MemberNode struct {
	name            string
	zone            string
	region          string
	internalAddress string
	vm              VM
	contracts       []string
}

// Name returns the name of the process, unique in the deployment.
func (n MemberNode) Name() string { return n.name }

// Zone returns the availability zone of the VM.
func (n MemberNode) Zone() string { return n.zone }

// Region returns the region of the availability zone.
func (n MemberNode) Region() string { return n.region }

// InternalAddress returns the "ip:port" that serves other processes and metrics.
func (n MemberNode) InternalAddress() string { return n.internalAddress }

// VM returns the resources of the VM that the process may use.
func (n MemberNode) VM() VM { return n.vm }

// Contracts returns the names of the optional parts of the platform's protocol that are in
// force.
func (n MemberNode) Contracts() []string { return n.contracts }

// VM holds the resources of a VM that a process may use.
type VM struct {
	memoryBytes    int64
	linkMegabits   float64
	processorShare float64
	maxDescriptors int
}

// MemoryBytes returns the memory that the process may use.
func (v VM) MemoryBytes() int64 { return v.memoryBytes }

// LinkMegabits returns the bandwidth of the VM's link, in megabits per second, or 0 if it is
// not configured.
func (v VM) LinkMegabits() float64 { return v.linkMegabits }

// ProcessorShare returns the share of a core that the VM has, or 0 if it is not configured.
func (v VM) ProcessorShare() float64 { return v.processorShare }

// MaxDescriptors returns how many descriptors the process may have open.
func (v VM) MaxDescriptors() int { return v.maxDescriptors }

// Cluster tells how a process finds the coordinators.
type Cluster struct {
	seeds  []string
	voters int
}

// Seeds returns the internal addresses of some coordinators.
func (c Cluster) Seeds() []string { return c.seeds }

// Voters returns the number of voting replicas.
func (c Cluster) Voters() int { return c.voters }

// Bounds holds the times and limits agreed with the platform.
type Bounds struct {
	revocationTimeout    time.Duration
	takeoverDelay        time.Duration
	fencedReceivers      bool
	tableApplyTimeout    time.Duration
	drainTimeout         time.Duration
	billingWindow        time.Duration
	stopGracePeriod      time.Duration
	retryRatio           float64
	extraRetries         float64
	retryWindow          time.Duration
	quotaWindow          time.Duration
	quotaOverrun         float64
	quotaSlack           float64
	maxEndpointBodyBytes int64
}

// RevocationTimeout returns the time within which a withdrawn key stops working.
func (b Bounds) RevocationTimeout() time.Duration { return b.revocationTimeout }

// TakeoverDelay returns how long a new lease holder waits before it calls the
// platform.
func (b Bounds) TakeoverDelay() time.Duration { return b.takeoverDelay }

// FencedReceivers reports whether the platform and the engines refuse calls with a lower
// fencing token than they have seen.
func (b Bounds) FencedReceivers() bool { return b.fencedReceivers }

// TableApplyTimeout returns the time within which an acknowledged routing table is in
// force at all gateways.
func (b Bounds) TableApplyTimeout() time.Duration { return b.tableApplyTimeout }

// DrainTimeout returns the time after which an endpoint that is listed as draining gets no
// more requests.
func (b Bounds) DrainTimeout() time.Duration { return b.drainTimeout }

// BillingWindow returns the length of a billing window.
func (b Bounds) BillingWindow() time.Duration { return b.billingWindow }

// StopGracePeriod returns how long the process may take to stop.
func (b Bounds) StopGracePeriod() time.Duration { return b.stopGracePeriod }

// RetryRatio returns the fraction of a service's requests that may be retried.
func (b Bounds) RetryRatio() float64 { return b.retryRatio }

// ExtraRetries returns how many retries are allowed beyond RetryRatio, over all
// gateways.
func (b Bounds) ExtraRetries() float64 { return b.extraRetries }

// RetryWindow returns the time over which RetryRatio and ExtraRetries are counted.
func (b Bounds) RetryWindow() time.Duration { return b.retryWindow }

// QuotaWindow returns the time over which the platform checks teams' quotas.
func (b Bounds) QuotaWindow() time.Duration { return b.quotaWindow }

// QuotaOverrun returns the fraction of a quota by which all gateways together may exceed it
// within QuotaWindow.
func (b Bounds) QuotaOverrun() float64 { return b.quotaOverrun }

// QuotaSlack returns how many units all gateways together may use within QuotaWindow beyond
// that.
func (b Bounds) QuotaSlack() float64 { return b.quotaSlack }

// MaxEndpointBodyBytes returns how many bytes of request bodies all gateways together may
// have in flight at one endpoint whose memory is limited.
func (b Bounds) MaxEndpointBodyBytes() int64 { return b.maxEndpointBodyBytes }
