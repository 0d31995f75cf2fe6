package main

import (
	"flag"
	"time"

	"sequoiadock/standin/sqengine"
	"sequoiadock/standin/sqfleet"
	"sequoiadock/standin/sqplatform"
	"sequoiadock/standin/sqrecord"
	"sequoiadock/standin/sqservice"
	"sequoiadock/standin/sqweights"
)

// readyAddress is the JSON that a single stand-in prints once it serves.
type readyAddress struct {
	Address string `json:"address"`
}

// commonFlags holds the flags of every stand-in that keeps a record.
type commonFlags struct {
	set                *flag.FlagSet
	listen, recordPath *string
	scale              *float64
}

func newCommonFlags(kind string) commonFlags {
	set := flag.NewFlagSet(kind, flag.ContinueOnError)
	return commonFlags{
		set:        set,
		listen:     set.String("listen", "127.0.0.1:0", "ip:port to serve"),
		recordPath: set.String("record", "", "file to which received requests are recorded; a service also restores its ledger from it"),
		scale:      set.Float64("scale", 1, "factor for every duration"),
	}
}

// openRecord parses the arguments and opens the record.
func (c commonFlags) openRecord(args []string) (*sqrecord.Record, error) {
	if err := parse(c.set, args); err != nil {
		return nil, err
	}
	return sqrecord.New(sqrecord.Config{Path: *c.recordPath})
}

func startEngine(args []string) (standIn, any, error) {
	c := newCommonFlags("engine")
	set := c.set
	name := set.String("name", "engine-1", "identity in the platform's list")
	role := set.String("role", sqengine.RoleBoth, "prefill, decode or both")
	models := set.String("models", "m@1", "loaded models, separated by commas")
	honours := set.Bool("honours-fencing", true, "refuse orders with an outdated fencing number")
	weights := set.String("weights", "", "ip:port of the weight store")
	seed := set.Uint64("seed", 1, "seed of the gaps in cache events")
	record, err := c.openRecord(args)
	if err != nil {
		return nil, nil, err
	}
	e, err := sqengine.Start(sqengine.Config{
		Name: *name, Role: *role, Models: splitList(*models), HonoursFencing: *honours,
		WeightStoreAddress: *weights, Record: record, TimeScale: *c.scale, Seed: *seed,
	}, *c.listen)
	if err != nil {
		return nil, nil, err
	}
	return e, readyAddress{e.Address()}, nil
}

func startService(args []string) (standIn, any, error) {
	c := newCommonFlags("service")
	set := c.set
	name := set.String("name", "booking-1", "identity in the platform's list")
	deduplicate := set.Bool("recognises", false, "return the first response to a repeated identity")
	work := set.Duration("work", 5*time.Millisecond, "execution time of a call")
	running := set.Int("max-running", 64, "limit of concurrent calls")
	record, err := c.openRecord(args)
	if err != nil {
		return nil, nil, err
	}
	s, err := sqservice.Start(sqservice.Config{
		Name: *name, Record: record, CallDuration: *work, MaxRunning: *running, Scale: *c.scale,
		Ledger: sqservice.NewLedger(sqservice.LedgerConfig{Record: record, DeduplicatesCalls: *deduplicate}),
	}, *c.listen)
	if err != nil {
		return nil, nil, err
	}
	return s, readyAddress{s.Address()}, nil
}

// nopHost is a host that starts no engine for an order.
type nopHost struct{}

func (nopHost) StartEngine(string, string, bool) (string, error) { return "127.0.0.1:1", nil }

func (nopHost) StopEngine(string) {}

func startPlatform(args []string) (standIn, any, error) {
	c := newCommonFlags("platform")
	set := c.set
	zones := set.String("zones", "a,b,c", "availability zones, separated by commas")
	lag := set.Duration("list-lag", 2*time.Second, "age of the list of VMs that is served")
	arrival := set.Duration("arrival", time.Minute, "time from an order to a live endpoint")
	spot := set.Int("cheap-stock", 4, "spot endpoints that each zone can add")
	onDemand := set.Int("dear-stock", 20, "on-demand endpoints that each zone can add")
	honours := set.Bool("honours-fencing", true, "refuse orders with an outdated fencing number")
	record, err := c.openRecord(args)
	if err != nil {
		return nil, nil, err
	}
	p, err := sqplatform.Start(sqplatform.Config{
		Host: nopHost{}, Record: record, Zones: splitList(*zones), ListLag: *lag, ProvisionDelay: *arrival,
		SpotStock: *spot, OnDemandStock: *onDemand, HonoursFencing: *honours, Scale: *c.scale,
	}, *c.listen)
	if err != nil {
		return nil, nil, err
	}
	return p, readyAddress{p.Address()}, nil
}

func startWeights(args []string) (standIn, any, error) {
	set := flag.NewFlagSet("weights", flag.ContinueOnError)
	listen := set.String("listen", "127.0.0.1:0", "ip:port to serve")
	rate := set.Float64("rate", 1<<30, "bytes per second, shared by all readers")
	size := set.Int64("model-bytes", 1<<20, "size of each model")
	if err := parse(set, args); err != nil {
		return nil, nil, err
	}
	s, err := sqweights.Start(sqweights.Config{BytesPerSecond: *rate, ModelBytes: *size}, *listen)
	if err != nil {
		return nil, nil, err
	}
	return s, readyAddress{s.Address()}, nil
}

func startFleet(args []string) (standIn, any, error) {
	set := flag.NewFlagSet("fleet", flag.ContinueOnError)
	path := set.String("settings", "fleet.toml", "settings of the whole fleet")
	if err := parse(set, args); err != nil {
		return nil, nil, err
	}
	settings, err := sqfleet.Load(*path)
	if err != nil {
		return nil, nil, err
	}
	f, err := sqfleet.Start(settings)
	if err != nil {
		return nil, nil, err
	}
	return f, f.Ready(), nil
}

var _ standIn = (*sqfleet.Fleet)(nil)
