package sqsettings

import (
	"time"

	"sequoiadock/io/sqreplica"
)

// controlFile is the decoded content of control.toml.
type controlFile struct {
	Node struct {
		Deployment string `toml:"deployment"`
		Name       string `toml:"name"`
		Zone       string `toml:"zone"`
		Listen     string `toml:"listen"`
		Advertise  string `toml:"advertise"`
		DataFolder string `toml:"dataFolder"`
	} `toml:"node"`
	Cluster  clusterFile `toml:"cluster"`
	Platform struct {
		Address string `toml:"address"`
	} `toml:"platform"`
	Timing struct {
		HeartbeatMillis int64 `toml:"heartbeatMillis"`
		ElectionMillis  int64 `toml:"electionMillis"`
		LeaseMillis     int64 `toml:"leaseMillis"`
		FreshMillis     int64 `toml:"freshMillis"`
		PollMillis      int64 `toml:"pollMillis"`
		PlanMillis      int64 `toml:"planMillis"`
	} `toml:"timing"`
	Policy struct {
		Roles  string `toml:"roles"`
		Stock  string `toml:"stock"`
		Models string `toml:"models"`
	} `toml:"policy"`
}

type clusterFile struct {
	Controls []string `toml:"controls"`
}

// entryFile is the decoded content of entry.toml.
type entryFile struct {
	Node struct {
		Deployment        string `toml:"deployment"`
		Name              string `toml:"name"`
		Zone              string `toml:"zone"`
		Callers           string `toml:"callers"`
		Internal          string `toml:"internal"`
		AdvertiseCallers  string `toml:"advertiseCallers"`
		AdvertiseInternal string `toml:"advertiseInternal"`
	} `toml:"node"`
	Cluster clusterFile `toml:"cluster"`
	Timing  struct {
		FreshMillis int64 `toml:"freshMillis"`
		WatchMillis int64 `toml:"watchMillis"`
		PollMillis  int64 `toml:"pollMillis"`
		KeepMillis  int64 `toml:"keepMillis"`
		StopMillis  int64 `toml:"stopMillis"`
	} `toml:"timing"`
	Limits struct {
		MaxBodyBytes   int64 `toml:"maxBodyBytes"`
		MaxHeaderBytes int64 `toml:"maxHeaderBytes"`
		MaxRunning     int64 `toml:"maxRunning"`
		PollBytes      int64 `toml:"pollBytes"`
	} `toml:"limits"`
	Policy struct {
		Router    string `toml:"router"`
		Admission string `toml:"admission"`
	} `toml:"policy"`
}

// Defaults of the settings of control and entry processes.
const (
	defaultHeartbeatInterval = sqreplica.DefaultHeartbeatInterval
	defaultElectionTimeout   = sqreplica.DefaultElectionTimeout
	defaultLeaseDuration     = sqreplica.DefaultLeaseDuration
	defaultFreshnessLease    = 3000 * time.Millisecond
	defaultWatchInterval     = 250 * time.Millisecond
	defaultPollInterval      = 500 * time.Millisecond
	defaultPlanInterval      = 1000 * time.Millisecond
	defaultAddressTTL        = 2000 * time.Millisecond
	defaultDrainTimeout      = 10 * time.Minute

	defaultMaxBodyBytes       = 4 << 20
	defaultMaxHeaderBytes     = 32 << 10
	defaultMaxRequests        = 4096
	defaultPollBytesPerSecond = 4 << 10
)

// Limits on the durations.
const (
	minDuration = 5 * time.Millisecond
	maxDuration = time.Hour
	// maxFreshnessLease ensures that a withdrawn key stops working within 5 s.
	maxFreshnessLease = 4500 * time.Millisecond
	// maxAddressTTL limits how long an entry that is stopping still accepts requests.
	maxAddressTTL = time.Minute
	// maxLeasePercent is the longest lease in percent of the election timeout; the
	// margin covers clocks that run at different rates.
	maxLeasePercent = 95
)

func (f *controlFile) toControl(c *checker) *Control {
	t := &f.Timing
	s := &Control{
		node: Node{
			deployment:       c.name("node.deployment", f.Node.Deployment),
			name:             c.name("node.name", f.Node.Name),
			zone:             c.name("node.zone", f.Node.Zone),
			listenAddress:    c.listenAddress("node.listen", f.Node.Listen),
			advertiseAddress: c.optionalAddress("node.advertise", f.Node.Advertise),
			dataFolder:       c.required("node.dataFolder", f.Node.DataFolder, `dataFolder = "data"`),
		},
		controlAddresses: c.controlAddresses(f.Cluster.Controls),
		platformAddress:  c.address("platform.address", f.Platform.Address),
		timing: ControlTiming{
			heartbeatInterval: c.millis("timing.heartbeatMillis", t.HeartbeatMillis, defaultHeartbeatInterval, maxDuration),
			electionTimeout:   c.millis("timing.electionMillis", t.ElectionMillis, defaultElectionTimeout, maxDuration),
			leaseDuration:     c.millis("timing.leaseMillis", t.LeaseMillis, defaultLeaseDuration, maxDuration),
			freshnessLease:    c.millis("timing.freshMillis", t.FreshMillis, defaultFreshnessLease, maxFreshnessLease),
			pollInterval:      c.millis("timing.pollMillis", t.PollMillis, defaultPollInterval, maxDuration),
			planInterval:      c.millis("timing.planMillis", t.PlanMillis, defaultPlanInterval, maxDuration),
		},
		rolePolicy:          c.oneOf("policy.roles", f.Policy.Roles, "planned", "static", "reactive"),
		endpointOrderPolicy: c.oneOf("policy.stock", f.Policy.Stock, "planned", "allDear", "greedyCheap", "off"),
		modelPolicy:         c.oneOf("policy.models", f.Policy.Models, "planned", "fixed", "off"),
	}
	s.timing.checkRelations(c)
	return s
}

// checkRelations checks the rules between the heartbeat interval, the lease and the
// election timeout.
func (t ControlTiming) checkRelations(c *checker) {
	if maxLease := t.electionTimeout * maxLeasePercent / 100; t.leaseDuration > maxLease {
		c.AddError("timing.leaseMillis", "the lease must end before others start an election", "write at most "+formatMillis(maxLease)+", or a longer electionMillis")
	}
	if 3*t.heartbeatInterval > t.leaseDuration {
		c.AddError("timing.heartbeatMillis", "one lost heartbeat would end the lease", "write at most a third of leaseMillis, "+formatMillis(t.leaseDuration))
	}
}

func (f *entryFile) toEntry(c *checker) *Entry {
	t := &f.Timing
	s := &Entry{
		node: EntryNode{
			deployment:               c.name("node.deployment", f.Node.Deployment),
			name:                     c.name("node.name", f.Node.Name),
			zone:                     c.name("node.zone", f.Node.Zone),
			callerAddress:            c.listenAddress("node.callers", f.Node.Callers),
			internalAddress:          c.listenAddress("node.internal", f.Node.Internal),
			advertiseCallerAddress:   c.optionalAddress("node.advertiseCallers", f.Node.AdvertiseCallers),
			advertiseInternalAddress: c.optionalAddress("node.advertiseInternal", f.Node.AdvertiseInternal),
		},
		controlAddresses: c.controlAddresses(f.Cluster.Controls),
		timing: EntryTiming{
			maxFreshnessLease: c.millis("timing.freshMillis", t.FreshMillis, defaultFreshnessLease, maxFreshnessLease),
			watchInterval:     c.millis("timing.watchMillis", t.WatchMillis, defaultWatchInterval, maxDuration),
			pollInterval:      c.millis("timing.pollMillis", t.PollMillis, defaultPollInterval, maxDuration),
			addressTTL:        c.millis("timing.keepMillis", t.KeepMillis, defaultAddressTTL, maxAddressTTL),
			drainTimeout:      c.millis("timing.stopMillis", t.StopMillis, defaultDrainTimeout, maxDuration),
		},
		limits: EntryLimits{
			maxBodyBytes:       c.count("limits.maxBodyBytes", f.Limits.MaxBodyBytes, defaultMaxBodyBytes, 1<<30),
			maxHeaderBytes:     int(c.count("limits.maxHeaderBytes", f.Limits.MaxHeaderBytes, defaultMaxHeaderBytes, 1<<20)),
			maxRequests:        int(c.count("limits.maxRunning", f.Limits.MaxRunning, defaultMaxRequests, 1<<20)),
			pollBytesPerSecond: int(c.count("limits.pollBytes", f.Limits.PollBytes, defaultPollBytesPerSecond, 1<<30)),
		},
		routingPolicy:   c.oneOf("policy.router", f.Policy.Router, "cacheAware", "roundRobin", "leastLoaded"),
		admissionPolicy: c.oneOf("policy.admission", f.Policy.Admission, "fair", "fifo"),
	}
	if s.node.callerAddress == s.node.internalAddress && !isEphemeralPort(s.node.callerAddress) {
		c.AddError("node.internal", "the same address as callers", "write another port")
	}
	if 2*s.timing.watchInterval > s.timing.maxFreshnessLease {
		c.AddError("timing.watchMillis", "one lost watch would make the entry stale", "write at most half of freshMillis, "+formatMillis(s.timing.maxFreshnessLease))
	}
	return s
}
