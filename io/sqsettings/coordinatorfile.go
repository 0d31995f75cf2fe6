package sqsettings

import (
	"net"
	"strconv"
	"time"
)

// memberNodeFile is the [node] table of coordinator.toml and gateway.toml.
type memberNodeFile struct {
	Name     string `toml:"name"`
	Zone     string `toml:"zone"`
	Region   string `toml:"region"`
	Internal string `toml:"internal"`
	// The resources of the VM that the process may use.
	MemoryMegabytes int64   `toml:"memoryMegabytes"`
	LinkMegabits    float64 `toml:"linkMegabits"`
	ProcessorShare  float64 `toml:"processorShare"`
	MaxDescriptors  int64   `toml:"maxDescriptors"`
	// Contracts names the optional parts of the platform's protocol that are in force.
	Contracts []string `toml:"contracts"`
}

// memberClusterFile is the [cluster] table of coordinator.toml and gateway.toml.
type memberClusterFile struct {
	Seeds     []string `toml:"seeds"`
	SeedPort  int64    `toml:"seedPort"`
	Tolerated int64    `toml:"tolerated"`
}

// boundsFile is the [bounds] table: times and limits agreed with the platform.
type boundsFile struct {
	RevokeMillis       int64   `toml:"revokeMillis"`
	LeaseMillis        int64   `toml:"leaseMillis"`
	FencedReceivers    bool    `toml:"fencedReceivers"`
	ConfigApplyMillis  int64   `toml:"configApplyMillis"`
	DrainMillis        int64   `toml:"drainMillis"`
	WindowSeconds      float64 `toml:"windowSeconds"`
	GraceSeconds       float64 `toml:"graceSeconds"`
	RetryRatio         float64 `toml:"retryRatio"`
	RetryExtra         float64 `toml:"retryExtra"`
	RetryWindowSeconds float64 `toml:"retryWindowSeconds"`
	QuotaWindowSeconds float64 `toml:"quotaWindowSeconds"`
	QuotaOverrun       float64 `toml:"quotaOverrun"`
	QuotaSlack         float64 `toml:"quotaSlack"`
	EndpointMegabytes  int64   `toml:"endpointMegabytes"`
}

// coordinatorFile is the decoded content of coordinator.toml.
type coordinatorFile struct {
	Node        memberNodeFile    `toml:"node"`
	Cluster     memberClusterFile `toml:"cluster"`
	Bounds      boundsFile        `toml:"bounds"`
	Coordinator struct {
		Operators  string `toml:"operators"`
		DataFolder string `toml:"dataFolder"`
		FirstStart bool   `toml:"firstStart"`
	} `toml:"coordinator"`
	Platform struct {
		Address string `toml:"address"`
	} `toml:"platform"`
}

// gatewayFile is the decoded content of gateway.toml.
type gatewayFile struct {
	Node    memberNodeFile    `toml:"node"`
	Cluster memberClusterFile `toml:"cluster"`
	Bounds  boundsFile        `toml:"bounds"`
	Gateway struct {
		Callers   string `toml:"callers"`
		Ready     string `toml:"ready"`
		Directory string `toml:"directory"`
	} `toml:"gateway"`
}

// Defaults of the settings of coordinators and gateways.
const (
	defaultToleratedFailures = 1
	maxToleratedFailures     = 4
	defaultRevocationTimeout = 5000 * time.Millisecond
	defaultTakeoverDelay     = 3000 * time.Millisecond
	defaultTableApplyTimeout = 2000 * time.Millisecond
	defaultDrainBound        = 3000 * time.Millisecond
	defaultBillingWindow     = 5 * time.Second
	defaultStopGracePeriod   = 8 * time.Second
	defaultRetryRatio        = 0.1
	defaultExtraRetries      = 0
	defaultRetryWindow       = 10 * time.Second
	defaultQuotaWindow       = 10 * time.Second
	defaultQuotaOverrun      = 0.0
	defaultQuotaSlack        = 0.0
	// defaultEndpointMegabytes is the memory of 64 bodies of the largest size that routing
	// tables allow by default, four times the slots of an engine.
	defaultEndpointMegabytes = 256
	maxEndpointMegabytes     = 1 << 20
	defaultMemoryMegabytes   = 128
	maxMemoryMegabytes       = 1 << 20
	defaultMaxDescriptors    = 4096
	maxMaxDescriptors        = 1 << 24
)

func (f *coordinatorFile) toCoordinator(c *checker) *Coordinator {
	return &Coordinator{
		node:            f.Node.toMemberNode(c),
		cluster:         f.Cluster.toCluster(c),
		operatorAddress: c.address("coordinator.operators", f.Coordinator.Operators),
		dataFolder:      c.required("coordinator.dataFolder", f.Coordinator.DataFolder, `dataFolder = "data"`),
		firstStart:      f.Coordinator.FirstStart,
		platformAddress: c.address("platform.address", f.Platform.Address),
		bounds:          f.Bounds.toBounds(c),
	}
}

func (f *gatewayFile) toGateway(c *checker) *Gateway {
	return &Gateway{
		node:             f.Node.toMemberNode(c),
		cluster:          f.Cluster.toCluster(c),
		callerAddress:    c.address("gateway.callers", f.Gateway.Callers),
		readinessAddress: c.address("gateway.ready", f.Gateway.Ready),
		directoryAddress: c.address("gateway.directory", f.Gateway.Directory),
		bounds:           f.Bounds.toBounds(c),
	}
}

func (f *memberNodeFile) toMemberNode(c *checker) MemberNode {
	return MemberNode{
		name:            c.required("node.name", f.Name, `name = "gateway1"`),
		zone:            c.required("node.zone", f.Zone, `zone = "zoneA"`),
		region:          f.Region,
		internalAddress: c.address("node.internal", f.Internal),
		vm: VM{
			memoryBytes:    c.count("node.memoryMegabytes", f.MemoryMegabytes, defaultMemoryMegabytes, maxMemoryMegabytes) << 20,
			linkMegabits:   c.nonNegative("node.linkMegabits", f.LinkMegabits, 0),
			processorShare: c.nonNegative("node.processorShare", f.ProcessorShare, 0),
			maxDescriptors: int(c.count("node.maxDescriptors", f.MaxDescriptors, defaultMaxDescriptors, maxMaxDescriptors)),
		},
		contracts: f.Contracts,
	}
}

// toCluster checks the seeds and the number of tolerated failures. If seedPort is
// set, it replaces the port of each seed, so a seed may name any port of its VM.
func (f *memberClusterFile) toCluster(c *checker) Cluster {
	const path = "cluster.seeds"
	if len(f.Seeds) == 0 {
		c.AddMissing(path, `seeds = ["10.0.0.1:7000", "10.0.1.1:7000", "10.0.2.1:7000"]`)
	}
	tolerated := int(c.count("cluster.tolerated", f.Tolerated, defaultToleratedFailures, maxToleratedFailures))
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

func (b *boundsFile) toBounds(c *checker) Bounds {
	return Bounds{
		revocationTimeout:    c.millis("bounds.revokeMillis", b.RevokeMillis, defaultRevocationTimeout, maxDuration),
		takeoverDelay:        c.millis("bounds.leaseMillis", b.LeaseMillis, defaultTakeoverDelay, maxDuration),
		fencedReceivers:      b.FencedReceivers,
		tableApplyTimeout:    c.millis("bounds.configApplyMillis", b.ConfigApplyMillis, defaultTableApplyTimeout, maxDuration),
		drainTimeout:         c.millis("bounds.drainMillis", b.DrainMillis, defaultDrainBound, maxDuration),
		billingWindow:        c.seconds("bounds.windowSeconds", b.WindowSeconds, defaultBillingWindow),
		stopGracePeriod:      c.seconds("bounds.graceSeconds", b.GraceSeconds, defaultStopGracePeriod),
		retryRatio:           c.nonNegative("bounds.retryRatio", b.RetryRatio, defaultRetryRatio),
		extraRetries:         c.nonNegative("bounds.retryExtra", b.RetryExtra, defaultExtraRetries),
		retryWindow:          c.seconds("bounds.retryWindowSeconds", b.RetryWindowSeconds, defaultRetryWindow),
		quotaWindow:          c.seconds("bounds.quotaWindowSeconds", b.QuotaWindowSeconds, defaultQuotaWindow),
		quotaOverrun:         c.nonNegative("bounds.quotaOverrun", b.QuotaOverrun, defaultQuotaOverrun),
		quotaSlack:           c.nonNegative("bounds.quotaSlack", b.QuotaSlack, defaultQuotaSlack),
		maxEndpointBodyBytes: c.count("bounds.endpointMegabytes", b.EndpointMegabytes, defaultEndpointMegabytes, maxEndpointMegabytes) << 20,
	}
}

// seconds checks a duration in seconds, which may have a fraction.
func (c *checker) seconds(path string, value float64, defaultValue time.Duration) time.Duration {
	if !c.Has(path) {
		return defaultValue
	}
	d := time.Duration(value * float64(time.Second))
	if d < minDuration || d > maxDuration {
		c.AddError(path, strconv.FormatFloat(value, 'g', -1, 64)+" is not a valid duration", "write seconds, such as 2.5")
		return defaultValue
	}
	return d
}

// nonNegative checks that a number is not negative.
func (c *checker) nonNegative(path string, value, defaultValue float64) float64 {
	if !c.Has(path) {
		return defaultValue
	}
	if value < 0 {
		c.AddError(path, strconv.FormatFloat(value, 'g', -1, 64)+" is negative", "write 0 or more")
		return defaultValue
	}
	return value
}
