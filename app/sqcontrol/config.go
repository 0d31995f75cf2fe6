// Package sqcontrol is the control process: a replica of the shared state and,
// while it holds the lease, the one process that gives orders to engines and
// the platform and answers entries and operators.
package sqcontrol

import (
	"time"

	"sequoiadock/io/sqlog"
)

// Config configures a control process.
type Config struct {
	Deployment string
	Name       string
	Zone       string
	// Listen is the "ip:port" to listen on.
	Listen string
	// Advertise is the "ip:port" that others use; empty means Listen.
	Advertise  string
	DataFolder string
	// Controls are the addresses of all replicas, as the settings name them.
	Controls []string
	// Platform is the platform's "ip:port"; empty means that there is none.
	Platform string
	Timings  Timings
	Policy   Policy
	Log      *sqlog.Log
	// Ready, if set, is called once the process listens.
	Ready func(address string)
}

// Timings are the periods of a control process.
type Timings struct {
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
	LeaseDuration     time.Duration
	// FreshnessLease is the freshness lease that entries get.
	FreshnessLease time.Duration
	// PollInterval is the time between two looks at the platform and the engines.
	PollInterval time.Duration
	// PlanInterval is the time between two rounds of planning.
	PlanInterval time.Duration
}

// Policy names the implementations that decide.
type Policy struct {
	// Roles is "planned", "static" or "reactive".
	Roles string
	// Stock is "planned", "allDear", "greedyCheap" or "off".
	Stock string
	// Models is "planned", "fixed" or "off".
	Models string
}

// Bounds of one exchange and of waiting.
const (
	// callTimeout bounds one exchange with an engine or the platform.
	callTimeout = 2 * time.Second
	// proposeTimeout bounds the wait for a commit.
	proposeTimeout = 5 * time.Second
	// inForceTimeout bounds how long a publish waits for the entries.
	inForceTimeout = 15 * time.Second
	// inForcePoll is how often a waiting publish looks at the entries.
	inForcePoll = 20 * time.Millisecond
	// keepUnlisted is how long an endpoint outlives its place in the list.
	keepUnlisted = 3 * time.Second
	// forgetEntry is how long an entry without a lease is still shown.
	forgetEntry = time.Minute
	// newTenureTime is how long the duties of a new tenure do not wait for their
	// periods.
	newTenureTime = 3 * time.Second
	// planWarmUp is how long a new holder gathers the demand before it plans roles.
	planWarmUp = 500 * time.Millisecond
	// stopTimeout bounds the end of running exchanges at a stop.
	stopTimeout = 5 * time.Second
)
