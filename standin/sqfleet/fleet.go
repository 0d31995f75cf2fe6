package sqfleet

import (
	"context"
	"net"
	"strconv"
	"sync"

	"sequoiadock/standin/sqengine"
	"sequoiadock/standin/sqplatform"
	"sequoiadock/standin/sqrecord"
	"sequoiadock/standin/sqservice"
	"sequoiadock/standin/sqweights"
)

// Fleet is a running set of stand-ins. It is safe for concurrent use.
type Fleet struct {
	settings Settings
	record   *sqrecord.Record
	platform *sqplatform.Platform
	weights  *sqweights.Store
	services []*sqservice.Service

	mu          sync.Mutex
	engines     map[string]*sqengine.Engine
	engineCount int
	ready       Ready
}

// Endpoint describes one endpoint and its address.
type Endpoint struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Kind    string `json:"kind"`
	Spot    bool   `json:"cheap"`
	Address string `json:"address"`
}

// Ready holds the addresses of a running fleet. Command standin prints it as one
// line of JSON once the fleet serves.
type Ready struct {
	Platform  string     `json:"platform"`
	Weights   string     `json:"weights"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Start starts the fleet that s describes. If a stand-in cannot start, it stops
// the others and returns the error.
func Start(s Settings) (*Fleet, error) {
	s = s.withDefaults()
	record, err := sqrecord.New(sqrecord.Config{Path: s.Fleet.RecordPath})
	if err != nil {
		return nil, err
	}
	f := &Fleet{settings: s, record: record, engines: map[string]*sqengine.Engine{}}
	if err := f.startAll(); err != nil {
		f.Stop(canceledContext())
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startAll() error {
	if err := f.startShared(); err != nil {
		return err
	}
	for i := range f.settings.Engines.Count + f.settings.Engines.SpotCount {
		if err := f.startInitialEngine(i); err != nil {
			return err
		}
	}
	for _, s := range f.settings.Services {
		if err := f.startService(s); err != nil {
			return err
		}
	}
	f.platform.PublishList()
	f.ready.Platform = f.platform.Address()
	f.ready.Weights = f.weights.Address()
	return nil
}

func (f *Fleet) startShared() error {
	s := f.settings
	var err error
	f.weights, err = sqweights.Start(sqweights.Config{
		BytesPerSecond: s.Weights.BytesPerSecond / s.Fleet.Scale, ModelBytes: s.Weights.ModelBytes,
	}, f.listenAddress())
	if err != nil {
		return err
	}
	f.platform, err = sqplatform.Start(sqplatform.Config{
		Host: f, Record: f.record, Zones: s.Fleet.Zones, Scale: s.Fleet.Scale,
		ListLag: duration(s.Platform.ListLagMillis), ProvisionDelay: duration(s.Platform.ProvisionMillis),
		ReleaseDelay: duration(s.Platform.ReleaseDelayMillis),
		SpotStock:    s.Platform.SpotStock, OnDemandStock: s.Platform.OnDemandStock,
		HonoursFencing: !s.Platform.IgnoreFencing,
	}, f.listenAddress())
	return err
}

func (f *Fleet) listenAddress() string { return net.JoinHostPort(f.settings.Fleet.Host, "0") }

func (f *Fleet) zone(i int) string {
	return f.settings.Fleet.Zones[i%len(f.settings.Fleet.Zones)]
}

// startInitialEngine starts engine i of the initial engines and registers it.
func (f *Fleet) startInitialEngine(i int) error {
	s := f.settings.Engines
	role := sqengine.RoleBoth
	switch {
	case i < s.PrefillCount:
		role = sqengine.RolePrefill
	case i < s.PrefillCount+s.DecodeCount:
		role = sqengine.RoleDecode
	}
	v := sqplatform.VM{
		ID: "engine-" + strconv.Itoa(i+1), Zone: f.zone(i), Kind: sqplatform.KindEngine,
		Spot: i >= s.Count, HonoursFencing: i >= s.IgnoreFencingCount,
	}
	var err error
	v.Address, err = f.startEngine(v.ID, role, v.HonoursFencing)
	if err != nil {
		return err
	}
	f.register(v)
	return nil
}

func (f *Fleet) register(v sqplatform.VM) {
	f.platform.AddVM(v)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ready.Endpoints = append(f.ready.Endpoints, Endpoint{
		ID: v.ID, Zone: v.Zone, Kind: v.Kind, Spot: v.Spot, Address: v.Address,
	})
}

func (f *Fleet) startEngine(name, role string, honours bool) (string, error) {
	s := f.settings
	f.mu.Lock()
	f.engineCount++
	seed := s.Fleet.Seed + uint64(f.engineCount)
	f.mu.Unlock()
	e, err := sqengine.Start(sqengine.Config{
		Name: name, Role: role, Models: s.Engines.Models, HonoursFencing: honours, WeightStoreAddress: f.weights.Address(),
		Record: f.record, Seed: seed, TimeScale: s.Fleet.Scale, TimeModel: s.Engines.times(), Limits: s.Engines.sizes(),
	}, f.listenAddress())
	if err != nil {
		return "", err
	}
	f.mu.Lock()
	f.engines[name] = e
	f.mu.Unlock()
	return e.Address(), nil
}

func (f *Fleet) startService(s ServiceSettings) error {
	ledger := sqservice.NewLedger(sqservice.LedgerConfig{Record: f.record, DeduplicatesCalls: s.DeduplicatesCalls})
	for i := range s.Count {
		v := sqplatform.VM{ID: s.Name + "-" + strconv.Itoa(i+1), Zone: f.zone(i), Kind: s.Name}
		e, err := sqservice.Start(sqservice.Config{
			Name: v.ID, Ledger: ledger, Record: f.record, Scale: f.settings.Fleet.Scale,
			CallDuration: duration(s.WorkMillis), MaxRunning: s.MaxRunning, LoadLag: duration(s.LoadLagMillis),
		}, f.listenAddress())
		if err != nil {
			return err
		}
		f.services = append(f.services, e)
		v.Address = e.Address()
		f.register(v)
	}
	return nil
}

// StartEngine starts an engine for an endpoint order of the platform.
func (f *Fleet) StartEngine(vm, _ string, _ bool) (string, error) {
	return f.startEngine(vm, sqengine.RoleBoth, !f.settings.Platform.IgnoreFencing)
}

// StopEngine crashes the engine or service on a VM at once.
func (f *Fleet) StopEngine(vm string) {
	f.mu.Lock()
	e, ok := f.engines[vm]
	delete(f.engines, vm)
	f.mu.Unlock()
	if ok {
		e.Crash()
		return
	}
	for _, s := range f.services {
		if s.Name() == vm {
			s.Crash()
		}
	}
}

// Ready returns the addresses of the fleet.
func (f *Fleet) Ready() Ready {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ready
}

// Record returns the record of what the stand-ins received.
func (f *Fleet) Record() *sqrecord.Record { return f.record }

// Stop shuts all stand-ins down gracefully, or at once when ctx ends.
func (f *Fleet) Stop(ctx context.Context) {
	if f.platform != nil {
		f.platform.Stop(ctx)
	}
	f.mu.Lock()
	engines := make([]*sqengine.Engine, 0, len(f.engines))
	for _, e := range f.engines {
		engines = append(engines, e)
	}
	f.mu.Unlock()
	for _, e := range engines {
		e.Stop(ctx)
	}
	for _, s := range f.services {
		s.Stop(ctx)
	}
	if f.weights != nil {
		f.weights.Stop(ctx)
	}
	_ = f.record.Close()
}

func canceledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
