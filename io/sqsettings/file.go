package sqsettings

import (
	"time"

	"sequoiadock/io/sqreplica"
)

// controlFile is control.toml as written.
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

// entryFile is entry.toml as written.
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

// Defaults of the periods and bounds.
const (
	defaultHeartbeat = sqreplica.DefaultHeartbeatInterval
	defaultElection  = sqreplica.DefaultElectionTimeout
	defaultLease     = sqreplica.DefaultLeaseDuration
	defaultFresh     = 3000 * time.Millisecond
	defaultWatch     = 250 * time.Millisecond
	defaultPoll      = 500 * time.Millisecond
	defaultPlan      = 1000 * time.Millisecond
	defaultKeep      = 2000 * time.Millisecond
	defaultStop      = 10 * time.Minute

	defaultMaxBodyBytes   = 4 << 20
	defaultMaxHeaderBytes = 32 << 10
	defaultMaxRunning     = 4096
	defaultPollBytes      = 4 << 10
)

// Bounds on the periods.
const (
	shortest = 5 * time.Millisecond
	longest  = time.Hour
	// longestFresh keeps the promise that a withdrawn key stops within 5 s.
	longestFresh = 4500 * time.Millisecond
	// longestKeep bounds how long a leaving entry goes on accepting.
	longestKeep = time.Minute
	// leasePercent is the longest lease in percent of the election timeout; the
	// rest covers clocks that run at different rates.
	leasePercent = 95
)

func (f *controlFile) control(c *checker) *Control {
	t := &f.Timing
	s := &Control{
		node: Node{
			deployment: c.name("node.deployment", f.Node.Deployment),
			name:       c.name("node.name", f.Node.Name),
			zone:       c.name("node.zone", f.Node.Zone),
			listen:     c.listen("node.listen", f.Node.Listen),
			advertise:  c.optionalAddress("node.advertise", f.Node.Advertise),
			dataFolder: c.required("node.dataFolder", f.Node.DataFolder, `dataFolder = "data"`),
		},
		controls: c.controls(f.Cluster.Controls),
		platform: c.address("platform.address", f.Platform.Address),
		timing: ControlTiming{
			heartbeat: c.millis("timing.heartbeatMillis", t.HeartbeatMillis, defaultHeartbeat, longest),
			election:  c.millis("timing.electionMillis", t.ElectionMillis, defaultElection, longest),
			lease:     c.millis("timing.leaseMillis", t.LeaseMillis, defaultLease, longest),
			fresh:     c.millis("timing.freshMillis", t.FreshMillis, defaultFresh, longestFresh),
			poll:      c.millis("timing.pollMillis", t.PollMillis, defaultPoll, longest),
			plan:      c.millis("timing.planMillis", t.PlanMillis, defaultPlan, longest),
		},
		roles:  c.oneOf("policy.roles", f.Policy.Roles, "planned", "static", "reactive"),
		stock:  c.oneOf("policy.stock", f.Policy.Stock, "planned", "allDear", "greedyCheap", "off"),
		models: c.oneOf("policy.models", f.Policy.Models, "planned", "fixed", "off"),
	}
	s.timing.check(c)
	return s
}

// check compares the periods with each other.
func (t ControlTiming) check(c *checker) {
	if most := t.election * leasePercent / 100; t.lease > most {
		c.AddError("timing.leaseMillis", "the lease must end before others start an election", "write at most "+millis(most)+", or a longer electionMillis")
	}
	if 3*t.heartbeat > t.lease {
		c.AddError("timing.heartbeatMillis", "one lost heartbeat would end the lease", "write at most a third of leaseMillis, "+millis(t.lease))
	}
}

func (f *entryFile) entry(c *checker) *Entry {
	t := &f.Timing
	s := &Entry{
		node: EntryNode{
			deployment:        c.name("node.deployment", f.Node.Deployment),
			name:              c.name("node.name", f.Node.Name),
			zone:              c.name("node.zone", f.Node.Zone),
			callers:           c.listen("node.callers", f.Node.Callers),
			internal:          c.listen("node.internal", f.Node.Internal),
			advertiseCallers:  c.optionalAddress("node.advertiseCallers", f.Node.AdvertiseCallers),
			advertiseInternal: c.optionalAddress("node.advertiseInternal", f.Node.AdvertiseInternal),
		},
		controls: c.controls(f.Cluster.Controls),
		timing: EntryTiming{
			fresh: c.millis("timing.freshMillis", t.FreshMillis, defaultFresh, longestFresh),
			watch: c.millis("timing.watchMillis", t.WatchMillis, defaultWatch, longest),
			poll:  c.millis("timing.pollMillis", t.PollMillis, defaultPoll, longest),
			keep:  c.millis("timing.keepMillis", t.KeepMillis, defaultKeep, longestKeep),
			stop:  c.millis("timing.stopMillis", t.StopMillis, defaultStop, longest),
		},
		limits: EntryLimits{
			maxBodyBytes:   c.count("limits.maxBodyBytes", f.Limits.MaxBodyBytes, defaultMaxBodyBytes, 1<<30),
			maxHeaderBytes: int(c.count("limits.maxHeaderBytes", f.Limits.MaxHeaderBytes, defaultMaxHeaderBytes, 1<<20)),
			maxRunning:     int(c.count("limits.maxRunning", f.Limits.MaxRunning, defaultMaxRunning, 1<<20)),
			pollBytes:      int(c.count("limits.pollBytes", f.Limits.PollBytes, defaultPollBytes, 1<<30)),
		},
		router:    c.oneOf("policy.router", f.Policy.Router, "cacheAware", "roundRobin", "leastLoaded"),
		admission: c.oneOf("policy.admission", f.Policy.Admission, "fair", "fifo"),
	}
	if s.node.callers == s.node.internal && !freePort(s.node.callers) {
		c.AddError("node.internal", "the same address as callers", "write another port")
	}
	if 2*s.timing.watch > s.timing.fresh {
		c.AddError("timing.watchMillis", "one lost watch would make the entry stale", "write at most half of freshMillis, "+millis(s.timing.fresh))
	}
	return s
}
