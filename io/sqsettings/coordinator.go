package sqsettings

import "time"

// Coordinator is what one coordinator process is started with.
type Coordinator struct {
	node      MemberNode
	cluster   Cluster
	operators string
	folder    string
	first     bool
	platform  string
	bounds    Bounds
}

// Node returns the identity and addresses of the process.
func (c *Coordinator) Node() MemberNode { return c.node }

// Cluster returns how other processes are found.
func (c *Coordinator) Cluster() Cluster { return c.cluster }

// OperatorAddress returns the "ip:port" at which operators are answered.
func (c *Coordinator) OperatorAddress() string { return c.operators }

// DataFolder returns the folder of all files that the process keeps.
func (c *Coordinator) DataFolder() string { return c.folder }

// FirstStart returns whether the deployment starts for the first time.
func (c *Coordinator) FirstStart() bool { return c.first }

// PlatformAddress returns "ip:port" of the platform.
func (c *Coordinator) PlatformAddress() string { return c.platform }

// Bounds returns what was agreed with the platform.
func (c *Coordinator) Bounds() Bounds { return c.bounds }

// Gateway is what one gateway process is started with.
type Gateway struct {
	node      MemberNode
	cluster   Cluster
	callers   string
	ready     string
	directory string
	bounds    Bounds
}

// Node returns the identity and addresses of the process.
func (g *Gateway) Node() MemberNode { return g.node }

// Cluster returns how other processes are found.
func (g *Gateway) Cluster() Cluster { return g.cluster }

// CallerAddress returns the "ip:port" at which callers connect.
func (g *Gateway) CallerAddress() string { return g.callers }

// ReadinessAddress returns the "ip:port" at which the platform asks whether it serves.
func (g *Gateway) ReadinessAddress() string { return g.ready }

// DirectoryAddress returns the "ip:port" at which callers ask for addresses.
func (g *Gateway) DirectoryAddress() string { return g.directory }

// Bounds returns what was agreed with the platform.
func (g *Gateway) Bounds() Bounds { return g.bounds }

// MemberNode is the identity of a process that finds the others by itself.
type MemberNode struct {
	name     string
	zone     string
	region   string
	internal string
}

// Name returns the name of the process, unique in the deployment.
func (n MemberNode) Name() string { return n.name }

// Zone returns the availability zone of the VM.
func (n MemberNode) Zone() string { return n.zone }

// Region returns the region of the availability zone.
func (n MemberNode) Region() string { return n.region }

// InternalAddress returns the "ip:port" for other processes and for metrics.
func (n MemberNode) InternalAddress() string { return n.internal }

// Cluster is how a process finds the coordinators.
type Cluster struct {
	seeds  []string
	voters int
}

// Seeds returns the internal addresses of some coordinators.
func (c Cluster) Seeds() []string { return c.seeds }

// Voters returns how many replicas shall have a vote.
func (c Cluster) Voters() int { return c.voters }

// Bounds are times and limits that were agreed with the platform.
type Bounds struct {
	revoke      time.Duration
	lease       time.Duration
	window      time.Duration
	grace       time.Duration
	retryRatio  float64
	retryExtra  float64
	retryWindow time.Duration
}

// RevocationTimeout returns how soon a withdrawn key must have stopped working.
func (b Bounds) RevocationTimeout() time.Duration { return b.revoke }

// TakeoverDelay returns how long a new holder waits before it calls the platform.
func (b Bounds) TakeoverDelay() time.Duration { return b.lease }

// BillingWindow returns the length of a billing window.
func (b Bounds) BillingWindow() time.Duration { return b.window }

// StopGracePeriod returns how long a process may take to stop.
func (b Bounds) StopGracePeriod() time.Duration { return b.grace }

// RetryRatio returns the part of a service's requests that may be sent again.
func (b Bounds) RetryRatio() float64 { return b.retryRatio }

// ExtraRetries returns how many more may be, over all gateways.
func (b Bounds) ExtraRetries() float64 { return b.retryExtra }

// RetryWindow returns the time in which these two are counted.
func (b Bounds) RetryWindow() time.Duration { return b.retryWindow }
