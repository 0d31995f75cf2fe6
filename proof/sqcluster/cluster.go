package sqcluster

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"sequoiadock/standin/sqfleet"
	"sequoiadock/standin/sqrecord"
)

// Timeouts are long enough for a machine whose cores are all busy.
const (
	readyTimeout = 30 * time.Second
	stopTimeout  = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

// DefaultZones returns the three availability zones.
func DefaultZones() []string { return []string{"zoneA", "zoneB", "zoneC"} }

// Config configures a Cluster. Zero values have defaults.
type Config struct {
	// Folder holds all files: settings, data, process outputs and the record of
	// the stand-ins.
	Folder string
	// ControlCount and EntryCount are the numbers of processes.
	ControlCount, EntryCount int
	Zones                    []string
	Fleet                    sqfleet.Settings
	Declarations             Declarations
	// Tags are the build tags of the product.
	Tags []string
	// ProxyControls puts a fault proxy in front of each control process.
	ProxyControls bool
	// ProxyPlatform puts a fault proxy in front of the platform.
	ProxyPlatform bool
	// ControlTiming and EntryTiming are keys and values of the settings table [timing].
	ControlTiming, EntryTiming map[string]int
	// EntryLimits are keys and values of the settings table [limits].
	EntryLimits map[string]int
	// ControlPolicy and EntryPolicy are keys and values of the settings table [policy].
	ControlPolicy, EntryPolicy map[string]string
	// Env is added to the environment of the product's processes.
	Env []string
	// SkipPublish makes Start return without publishing the declarations.
	SkipPublish bool
}

func (cfg Config) withDefaults() Config {
	if cfg.ControlCount == 0 {
		cfg.ControlCount = 3
	}
	if cfg.EntryCount == 0 {
		cfg.EntryCount = 3
	}
	if cfg.Zones == nil {
		cfg.Zones = DefaultZones()
	}
	if cfg.Declarations.Zones == nil {
		cfg.Declarations.Zones = cfg.Zones
	}
	f := &cfg.Fleet
	f.Fleet.Zones = cfg.Zones
	if f.Fleet.Scale == 0 {
		f.Fleet.Scale = 0.05
	}
	if f.Engines.Count == 0 {
		f.Engines.Count = 3
	}
	if f.Engines.Models == nil {
		f.Engines.Models = []string{ModelVersion}
	}
	if f.Services == nil {
		f.Services = []sqfleet.ServiceSettings{
			{Name: Booking, Count: 3, WorkMillis: 5, DeduplicatesCalls: cfg.Declarations.RecognisesIdentity},
			{Name: Meetups, Count: 1, WorkMillis: 5},
		}
	}
	return cfg
}

// Cluster is a running deployment. Its methods are safe for concurrent use.
type Cluster struct {
	cfg          Config
	binaries     Binaries
	client       *http.Client
	fleet        *Process
	recordReader *sqrecord.Reader
	standins     sqfleet.Ready
	platform     *Proxy
	controls     []*Control
	entries      []*Entry

	// publishResult receives the error of the initial publish command, or nil.
	publishResult chan error

	mu      sync.Mutex
	proxies []*Proxy
}

// Start builds, starts, sets up and publishes a deployment, and returns once
// every entry serves it. The caller must call Stop or Kill.
func Start(ctx context.Context, cfg Config) (*Cluster, error) {
	cfg = cfg.withDefaults()
	binaries, err := Build(ctx, cfg.Tags...)
	if err != nil {
		return nil, err
	}
	c := &Cluster{
		cfg: cfg, binaries: binaries, client: &http.Client{Timeout: 5 * time.Second}, publishResult: make(chan error, 1),
	}
	if err := c.startAll(ctx); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) startAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*readyTimeout)
	defer cancel()
	steps := []func(context.Context) error{c.startFleet, c.startControls, c.setUpDeployment, c.startEntries}
	if !c.cfg.SkipPublish {
		steps = append(steps, c.publishInitial)
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Folder returns the folder that holds all files of the deployment.
func (c *Cluster) Folder() string { return c.cfg.Folder }

// Binaries returns the commands that the cluster runs.
func (c *Cluster) Binaries() Binaries { return c.binaries }

// Controls returns the control processes.
func (c *Cluster) Controls() []*Control { return c.controls }

// Entries returns the entry processes.
func (c *Cluster) Entries() []*Entry { return c.entries }

// FleetProcess returns the process that runs the stand-ins.
func (c *Cluster) FleetProcess() *Process { return c.fleet }

// StandinAddresses returns the addresses of the stand-ins.
func (c *Cluster) StandinAddresses() sqfleet.Ready { return c.standins }

// PlatformProxy returns the fault proxy in front of the platform, or nil if there
// is none.
func (c *Cluster) PlatformProxy() *Proxy { return c.platform }

// DeclarationsFolder returns the folder with the declarations to publish.
func (c *Cluster) DeclarationsFolder() string { return filepath.Join(c.cfg.Folder, "declarations") }

// Stop stops every process gracefully and kills those that still run after
// stopTimeout.
func (c *Cluster) Stop() {
	ctx, cancel := context.WithTimeout(background(), stopTimeout)
	defer cancel()
	c.stopEach(ctx, c.entryProcesses())
	c.stopEach(ctx, c.controlProcesses())
	if c.fleet != nil {
		_, _ = c.fleet.Stop(ctx)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.proxies {
		p.Close()
	}
	c.proxies = nil
}

// Kill kills every process without a graceful stop.
func (c *Cluster) Kill() {
	for _, p := range append(c.entryProcesses(), c.controlProcesses()...) {
		p.Kill()
	}
	if c.fleet != nil {
		c.fleet.Kill()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.proxies {
		p.Close()
	}
	c.proxies = nil
}

func (c *Cluster) stopEach(ctx context.Context, processes []*Process) {
	var wg sync.WaitGroup
	for _, p := range processes {
		wg.Go(func() {
			p.Continue()
			_, _ = p.Stop(ctx)
		})
	}
	wg.Wait()
}

func (c *Cluster) entryProcesses() []*Process {
	var all []*Process
	for _, e := range c.entries {
		all = append(all, e.Process)
	}
	return all
}

func (c *Cluster) controlProcesses() []*Process {
	var all []*Process
	for _, n := range c.controls {
		all = append(all, n.Process)
	}
	return all
}

// openProxy starts a fault proxy, which Stop and Kill close.
func (c *Cluster) openProxy(name, target string) (*Proxy, error) {
	p, err := NewProxy(name, target)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.proxies = append(c.proxies, p)
	return p, nil
}

func (c *Cluster) path(parts ...string) string {
	return filepath.Join(append([]string{c.cfg.Folder}, parts...)...)
}

func writeFile(path, content string) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return operationError("create a folder", err)
	}
	if err := os.WriteFile(path, []byte(content), 0o644); err != nil {
		return operationError("write a file", err)
	}
	return nil
}

func background() context.Context { return context.Background() }
