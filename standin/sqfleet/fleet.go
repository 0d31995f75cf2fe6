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

	mu      sync.Mutex
	engines map[string]*sqengine.Engine
	started int
	ready   Ready
}

// Endpoint is the place of one endpoint.
type Endpoint struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Kind    string `json:"kind"`
	Spot    bool   `json:"cheap"`
	Address string `json:"address"`
}

// Ready is what a fleet prints, as one line of JSON, once it serves.
type Ready struct {
	Platform  string     `json:"platform"`
	Weights   string     `json:"weights"`
	Endpoints []Endpoint `json:"endpoints"`
}

// Start runs the fleet that s describes.
func Start(s Settings) (*Fleet, error) {
	s = s.withDefaults()
	record, err := sqrecord.New(sqrecord.Config{Path: s.Fleet.RecordPath})
	if err != nil {
		return nil, err
	}
	f := &Fleet{settings: s, record: record, engines: map[string]*sqengine.Engine{}}
	if err := f.startAll(); err != nil {
		f.Stop(canceled())
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startAll() error {
	if err := f.startCommon(); err != nil {
		return err
	}
	for i := range f.settings.Engines.Count + f.settings.Engines.SpotCount {
		if err := f.startEngineAt(i); err != nil {
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

func (f *Fleet) startCommon() error {
	s := f.settings
	var err error
	f.weights, err = sqweights.Start(sqweights.Config{
		Rate: s.Weights.BytesPerSecond / s.Fleet.Scale, ModelBytes: s.Weights.ModelBytes,
	}, f.listen())
	if err != nil {
		return err
	}
	f.platform, err = sqplatform.Start(sqplatform.Config{
		Host: f, Record: f.record, Zones: s.Fleet.Zones, Scale: s.Fleet.Scale,
		ListLag: duration(s.Platform.ListLagMillis), ProvisionDelay: duration(s.Platform.ProvisionMillis),
		ReleaseDelay: duration(s.Platform.ReleaseDelayMillis),
		SpotStock:    s.Platform.SpotStock, OnDemandStock: s.Platform.OnDemandStock,
		HonoursFencing: !s.Platform.IgnoreFencing,
	}, f.listen())
	return err
}

func (f *Fleet) listen() string { return net.JoinHostPort(f.settings.Fleet.Host, "0") }

func (f *Fleet) zone(i int) string {
	return f.settings.Fleet.Zones[i%len(f.settings.Fleet.Zones)]
}

// startEngineAt starts engine i of those that are there from the start.
func (f *Fleet) startEngineAt(i int) error {
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
	f.list(v)
	return nil
}

func (f *Fleet) list(v sqplatform.VM) {
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
	f.started++
	seed := s.Fleet.Seed + uint64(f.started)
	f.mu.Unlock()
	e, err := sqengine.Start(sqengine.Config{
		Name: name, Role: role, Models: s.Engines.Models, HonoursFencing: honours, Weights: f.weights.Address(),
		Record: f.record, Seed: seed, Scale: s.Fleet.Scale, Times: s.Engines.times(), Sizes: s.Engines.sizes(),
	}, f.listen())
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
		}, f.listen())
		if err != nil {
			return err
		}
		f.services = append(f.services, e)
		v.Address = e.Address()
		f.list(v)
	}
	return nil
}

// StartEngine runs an engine that the platform was asked for.
func (f *Fleet) StartEngine(vm, _ string, _ bool) (string, error) {
	return f.startEngine(vm, sqengine.RoleBoth, !f.settings.Platform.IgnoreFencing)
}

// StopEngine takes a VM away at once.
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

// Ready returns the addresses.
func (f *Fleet) Ready() Ready {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ready
}

// Record returns what the stand-ins received.
func (f *Fleet) Record() *sqrecord.Record { return f.record }

// Stop ends all stand-ins, by force when ctx is over.
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

func canceled() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
