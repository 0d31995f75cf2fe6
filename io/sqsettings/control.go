package sqsettings

import "time"

// Control holds the settings of one control process.
type Control struct {
	node                Node
	controlAddresses    []string
	platformAddress     string
	timing              ControlTiming
	rolePolicy          string
	endpointOrderPolicy string
	modelPolicy         string
}

// Node returns the identity and addresses of the process.
func (c *Control) Node() Node { return c.node }

// ControlAddresses returns the "ip:port" of every control process of the
// deployment.
func (c *Control) ControlAddresses() []string { return c.controlAddresses }

// PlatformAddress returns the "ip:port" of the platform.
func (c *Control) PlatformAddress() string { return c.platformAddress }

// Timing returns the intervals and timeouts of the process.
func (c *Control) Timing() ControlTiming { return c.timing }

// RolePolicy returns the policy for role changes: "planned", "static" or
// "reactive".
func (c *Control) RolePolicy() string { return c.rolePolicy }

// EndpointOrderPolicy returns the policy for orders that add or release endpoints:
// "planned", "allDear", "greedyCheap" or "off".
func (c *Control) EndpointOrderPolicy() string { return c.endpointOrderPolicy }

// ModelPolicy returns the policy for loading models: "planned", "fixed" or "off".
func (c *Control) ModelPolicy() string { return c.modelPolicy }

// Node holds the identity, addresses and data folder of one control process.
type Node struct {
	deployment       string
	name             string
	zone             string
	listenAddress    string
	advertiseAddress string
	dataFolder       string
}

// Deployment returns the name of the deployment.
func (n Node) Deployment() string { return n.deployment }

// Name returns the name of the process, unique in the deployment.
func (n Node) Name() string { return n.name }

// Zone returns the availability zone of the VM.
func (n Node) Zone() string { return n.zone }

// ListenAddress returns the "ip:port" to listen on; port 0 picks a free one.
func (n Node) ListenAddress() string { return n.listenAddress }

// AdvertiseAddress returns the "ip:port" that other processes connect to, or "" for
// the address that the process listens on.
func (n Node) AdvertiseAddress() string { return n.advertiseAddress }

// DataFolder returns the folder that holds all files of the process.
func (n Node) DataFolder() string { return n.dataFolder }

// ControlTiming holds the intervals and timeouts of a control process.
type ControlTiming struct {
	heartbeatInterval time.Duration
	electionTimeout   time.Duration
	leaseDuration     time.Duration
	freshnessLease    time.Duration
	pollInterval      time.Duration
	planInterval      time.Duration
}

// HeartbeatInterval returns the interval between heartbeats of the lease holder.
func (t ControlTiming) HeartbeatInterval() time.Duration { return t.heartbeatInterval }

// ElectionTimeout returns how long a replica waits for a heartbeat before it starts
// an election.
func (t ControlTiming) ElectionTimeout() time.Duration { return t.electionTimeout }

// LeaseDuration returns how long a lease is valid that a quorum of heartbeat
// responses granted.
func (t ControlTiming) LeaseDuration() time.Duration { return t.leaseDuration }

// FreshnessLease returns how long an entry may act on one Watch response.
func (t ControlTiming) FreshnessLease() time.Duration { return t.freshnessLease }

// PollInterval returns the interval at which endpoint loads and the platform's list
// of VMs are read.
func (t ControlTiming) PollInterval() time.Duration { return t.pollInterval }

// PlanInterval returns the interval at which roles and endpoint orders are planned.
func (t ControlTiming) PlanInterval() time.Duration { return t.planInterval }
