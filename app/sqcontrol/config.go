// Package sqcontrol implements the control process: a replica of the shared state
// that, while it holds the lease, is the one process that sends orders to engines
// and the platform and answers entries and operators.
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
	// ListenAddress is the "ip:port" to listen on.
	ListenAddress string
	// AdvertiseAddress is the "ip:port" that other processes use; empty means
	// ListenAddress.
	AdvertiseAddress string
	DataFolder       string
	// ControlAddresses are the addresses of all replicas, as in the settings.
	ControlAddresses []string
	// PlatformAddress is the platform's "ip:port"; empty means that there is none.
	PlatformAddress string
	Timings         Timings
	Policies        Policies
	Log             *sqlog.Log
	// Ready, if set, is called once the process listens.
	Ready func(address string)
}

// Timings are the intervals, timeouts and lease durations of a control process.
type Timings struct {
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
	LeaseDuration     time.Duration
	// FreshnessLease is the duration of the lease that entries get.
	FreshnessLease time.Duration
	// PollInterval is the time between two reads of the platform's list and the
	// engines' reports.
	PollInterval time.Duration
	// PlanInterval is the time between two rounds of planning.
	PlanInterval time.Duration
}

// Policies names the planning policies.
type Policies struct {
	// Roles is "planned", "static" or "reactive".
	Roles string
	// EndpointOrders is "planned", "allDear", "greedyCheap" or "off".
	EndpointOrders string
	// Models is "planned", "fixed" or "off".
	Models string
}

// Timeouts, intervals and retention times.
const (
	// callTimeout bounds one request to an engine or the platform.
	callTimeout = 2 * time.Second
	// proposeTimeout bounds the wait for a commit.
	proposeTimeout = 5 * time.Second
	// inForceTimeout bounds how long a publish waits until the entries have
	// confirmed the change.
	inForceTimeout = 15 * time.Second
	// inForcePollInterval is how often a waiting publish checks the entries.
	inForcePollInterval = 20 * time.Millisecond
	// unlistedRetention is how long an endpoint is kept after the platform no
	// longer lists it.
	unlistedRetention = 3 * time.Second
	// expiredRetention is how long an entry without a lease is still shown.
	expiredRetention = time.Minute
	// recentTermPeriod is how long the jobs of a new term do not wait for their
	// periods.
	recentTermPeriod = 3 * time.Second
	// planWarmUp is how long a new holder collects demand before it plans roles.
	planWarmUp = 500 * time.Millisecond
	// stopTimeout bounds how long a process that stops waits for requests in
	// progress.
	stopTimeout = 5 * time.Second
)
