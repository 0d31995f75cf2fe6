package sqsettings

import (
	"net"
	"strconv"
	"time"
)

// memberNodeFile is the identity of a process as written.
type memberNodeFile struct {
	Name     string `toml:"name"`
	Zone     string `toml:"zone"`
	Region   string `toml:"region"`
	Internal string `toml:"internal"`
}

// seedsFile is how a process finds the coordinators, as written.
type seedsFile struct {
	Seeds     []string `toml:"seeds"`
	SeedPort  int64    `toml:"seedPort"`
	Tolerated int64    `toml:"tolerated"`
}

// boundsFile is what was agreed with the platform, as written.
type boundsFile struct {
	RevokeMillis       int64   `toml:"revokeMillis"`
	LeaseMillis        int64   `toml:"leaseMillis"`
	WindowSeconds      float64 `toml:"windowSeconds"`
	GraceSeconds       float64 `toml:"graceSeconds"`
	RetryRatio         float64 `toml:"retryRatio"`
	RetryExtra         float64 `toml:"retryExtra"`
	RetryWindowSeconds float64 `toml:"retryWindowSeconds"`
}

// coordinatorFile is coordinator.toml as written.
type coordinatorFile struct {
	Node        memberNodeFile `toml:"node"`
	Cluster     seedsFile      `toml:"cluster"`
	Bounds      boundsFile     `toml:"bounds"`
	Coordinator struct {
		Operators  string `toml:"operators"`
		DataFolder string `toml:"dataFolder"`
		FirstStart bool   `toml:"firstStart"`
	} `toml:"coordinator"`
	Platform struct {
		Address string `toml:"address"`
	} `toml:"platform"`
}

// gatewayFile is gateway.toml as written.
type gatewayFile struct {
	Node    memberNodeFile `toml:"node"`
	Cluster seedsFile      `toml:"cluster"`
	Bounds  boundsFile     `toml:"bounds"`
	Gateway struct {
		Callers   string `toml:"callers"`
		Ready     string `toml:"ready"`
		Directory string `toml:"directory"`
	} `toml:"gateway"`
}

// Defaults of the bounds of coordinators and gateways.
const (
	defaultTolerated   = 1
	maxTolerated       = 4
	defaultRevoke      = 5000 * time.Millisecond
	defaultDutyLease   = 3000 * time.Millisecond
	defaultWindow      = 5 * time.Second
	defaultGrace       = 8 * time.Second
	defaultRetryRatio  = 0.1
	defaultRetryExtra  = 0
	defaultRetryWindow = 10 * time.Second
)

func (f *coordinatorFile) coordinator(c *checker) *Coordinator {
	return &Coordinator{
		node:      f.Node.member(c),
		cluster:   f.Cluster.cluster(c),
		operators: c.address("coordinator.operators", f.Coordinator.Operators),
		folder:    c.required("coordinator.dataFolder", f.Coordinator.DataFolder, `dataFolder = "data"`),
		first:     f.Coordinator.FirstStart,
		platform:  c.address("platform.address", f.Platform.Address),
		bounds:    f.Bounds.bounds(c),
	}
}

func (f *gatewayFile) gateway(c *checker) *Gateway {
	return &Gateway{
		node:      f.Node.member(c),
		cluster:   f.Cluster.cluster(c),
		callers:   c.address("gateway.callers", f.Gateway.Callers),
		ready:     c.address("gateway.ready", f.Gateway.Ready),
		directory: c.address("gateway.directory", f.Gateway.Directory),
		bounds:    f.Bounds.bounds(c),
	}
}

func (f *memberNodeFile) member(c *checker) MemberNode {
	return MemberNode{
		name:     c.required("node.name", f.Name, `name = "gateway1"`),
		zone:     c.required("node.zone", f.Zone, `zone = "zoneA"`),
		region:   f.Region,
		internal: c.address("node.internal", f.Internal),
	}
}

// cluster reads the seeds. They may be given by any port of their VM if seedPort
// says at which one they answer other processes.
func (f *seedsFile) cluster(c *checker) Cluster {
	const path = "cluster.seeds"
	if len(f.Seeds) == 0 {
		c.AddMissing(path, `seeds = ["10.0.0.1:7000", "10.0.1.1:7000", "10.0.2.1:7000"]`)
	}
	tolerated := int(c.count("cluster.tolerated", f.Tolerated, defaultTolerated, maxTolerated))
	cluster := Cluster{voters: 2*tolerated + 1}
	for i, a := range f.Seeds {
		a = c.address(path+"."+strconv.Itoa(i), a)
		if host, _, err := net.SplitHostPort(a); err == nil && f.SeedPort > 0 {
			a = net.JoinHostPort(host, strconv.FormatInt(f.SeedPort, 10))
		}
		cluster.seeds = append(cluster.seeds, a)
	}
	return cluster
}

func (b *boundsFile) bounds(c *checker) Bounds {
	return Bounds{
		revoke:      c.millis("bounds.revokeMillis", b.RevokeMillis, defaultRevoke, longest),
		lease:       c.millis("bounds.leaseMillis", b.LeaseMillis, defaultDutyLease, longest),
		window:      c.seconds("bounds.windowSeconds", b.WindowSeconds, defaultWindow),
		grace:       c.seconds("bounds.graceSeconds", b.GraceSeconds, defaultGrace),
		retryRatio:  c.ratio("bounds.retryRatio", b.RetryRatio, defaultRetryRatio),
		retryExtra:  c.ratio("bounds.retryExtra", b.RetryExtra, defaultRetryExtra),
		retryWindow: c.seconds("bounds.retryWindowSeconds", b.RetryWindowSeconds, defaultRetryWindow),
	}
}

// seconds checks a time that may have fractions of a second.
func (c *checker) seconds(path string, value float64, unset time.Duration) time.Duration {
	if !c.Has(path) {
		return unset
	}
	d := time.Duration(value * float64(time.Second))
	if d < shortest || d > longest {
		c.AddError(path, strconv.FormatFloat(value, 'g', -1, 64)+" is not a possible time", "write seconds, such as 2.5")
		return unset
	}
	return d
}

// ratio checks a number that must not be negative.
func (c *checker) ratio(path string, value, unset float64) float64 {
	if !c.Has(path) {
		return unset
	}
	if value < 0 {
		c.AddError(path, strconv.FormatFloat(value, 'g', -1, 64)+" is negative", "write 0 or more")
		return unset
	}
	return value
}
