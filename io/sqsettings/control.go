package sqsettings

import "time"

// Control is what one control process is started with.
type Control struct {
	node     Node
	controls []string
	platform string
	timing   ControlTiming
	roles    string
	stock    string
	models   string
}

// Node returns the identity and addresses of the process.
func (c *Control) Node() Node { return c.node }

// ControlAddresses returns "ip:port" of every control process of the deployment.
func (c *Control) ControlAddresses() []string { return c.controls }

// PlatformAddress returns "ip:port" of the platform.
func (c *Control) PlatformAddress() string { return c.platform }

// Timing returns the periods and bounds of the process.
func (c *Control) Timing() ControlTiming { return c.timing }

// RolePolicy returns the policy of role changes: "planned", "static" or "reactive".
func (c *Control) RolePolicy() string { return c.roles }

// EndpointOrderPolicy returns the policy of endpoint orders: "planned", "allDear",
// "greedyCheap" or "off".
func (c *Control) EndpointOrderPolicy() string { return c.stock }

// ModelPolicy returns the policy of model loads: "planned", "fixed" or "off".
func (c *Control) ModelPolicy() string { return c.models }

// Node is the identity and the addresses of one process.
type Node struct {
	deployment string
	name       string
	zone       string
	listen     string
	advertise  string
	dataFolder string
}

// Deployment returns the name of the deployment.
func (n Node) Deployment() string { return n.deployment }

// Name returns the name of the process, unique in the deployment.
func (n Node) Name() string { return n.name }

// Zone returns the availability zone of the VM.
func (n Node) Zone() string { return n.zone }

// ListenAddress returns the "ip:port" to listen on; port 0 picks a free one.
func (n Node) ListenAddress() string { return n.listen }

// AdvertiseAddress returns the "ip:port" that others use, or "" for the one bound.
func (n Node) AdvertiseAddress() string { return n.advertise }

// DataFolder returns the folder of all files that the process keeps.
func (n Node) DataFolder() string { return n.dataFolder }

// ControlTiming holds the periods and bounds of a control process.
type ControlTiming struct {
	heartbeat time.Duration
	election  time.Duration
	lease     time.Duration
	fresh     time.Duration
	poll      time.Duration
	plan      time.Duration
}

// HeartbeatInterval returns the period of the holder's heartbeats.
func (t ControlTiming) HeartbeatInterval() time.Duration { return t.heartbeat }

// ElectionTimeout returns how long a replica waits for a heartbeat.
func (t ControlTiming) ElectionTimeout() time.Duration { return t.election }

// LeaseDuration returns how long a quorum of heartbeats is valid.
func (t ControlTiming) LeaseDuration() time.Duration { return t.lease }

// FreshnessLease returns how long an entry may act on one answer to its watch.
func (t ControlTiming) FreshnessLease() time.Duration { return t.fresh }

// PollInterval returns the period of reading loads and the list of VMs.
func (t ControlTiming) PollInterval() time.Duration { return t.poll }

// PlanInterval returns the period of planning roles and endpoint orders.
func (t ControlTiming) PlanInterval() time.Duration { return t.plan }
