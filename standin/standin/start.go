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

// address is what a single stand-in prints once it serves.
type address struct {
	Address string `json:"address"`
}

// common holds the flags of every stand-in that keeps a record.
type common struct {
	set          *flag.FlagSet
	listen, path *string
	scale        *float64
}

func newCommon(kind string) common {
	set := flag.NewFlagSet(kind, flag.ContinueOnError)
	return common{
		set:    set,
		listen: set.String("listen", "127.0.0.1:0", "ip:port to serve"),
		path:   set.String("record", "", "file that takes what was received; that of a service is its ledger too"),
		scale:  set.Float64("scale", 1, "factor on every duration"),
	}
}

// open parses the arguments and opens the record.
func (c common) open(args []string) (*sqrecord.Record, error) {
	if err := parse(c.set, args); err != nil {
		return nil, err
	}
	return sqrecord.New(sqrecord.Config{Path: *c.path})
}

func startEngine(args []string) (stopper, any, error) {
	c := newCommon("engine")
	set := c.set
	name := set.String("name", "engine-1", "identity in the platform's list")
	role := set.String("role", sqengine.RoleBoth, "prefill, decode or both")
	models := set.String("models", "m@1", "loaded models, separated by commas")
	honours := set.Bool("honours-fencing", true, "refuse orders with an old fencing number")
	weights := set.String("weights", "", "ip:port of the weight store")
	seed := set.Uint64("seed", 1, "seed of the gaps in cache events")
	record, err := c.open(args)
	if err != nil {
		return nil, nil, err
	}
	e, err := sqengine.Start(sqengine.Config{
		Name: *name, Role: *role, Models: list(*models), HonoursFencing: *honours,
		Weights: *weights, Record: record, Scale: *c.scale, Seed: *seed,
	}, *c.listen)
	if err != nil {
		return nil, nil, err
	}
	return e, address{e.Address()}, nil
}

func startService(args []string) (stopper, any, error) {
	c := newCommon("service")
	set := c.set
	name := set.String("name", "booking-1", "identity in the platform's list")
	recognises := set.Bool("recognises", false, "give a repeated identity its first answer")
	work := set.Duration("work", 5*time.Millisecond, "time of a call")
	running := set.Int("max-running", 64, "calls at the same time")
	record, err := c.open(args)
	if err != nil {
		return nil, nil, err
	}
	s, err := sqservice.Start(sqservice.Config{
		Name: *name, Record: record, CallDuration: *work, MaxRunning: *running, Scale: *c.scale,
		Ledger: sqservice.NewLedger(sqservice.LedgerConfig{Record: record, DeduplicatesCalls: *recognises}),
	}, *c.listen)
	if err != nil {
		return nil, nil, err
	}
	return s, address{s.Address()}, nil
}

// noHost is a platform whose orders bring no endpoint.
type noHost struct{}

func (noHost) StartEngine(string, string, bool) (string, error) { return "127.0.0.1:1", nil }

func (noHost) StopEngine(string) {}

func startPlatform(args []string) (stopper, any, error) {
	c := newCommon("platform")
	set := c.set
	zones := set.String("zones", "a,b,c", "availability zones, separated by commas")
	lag := set.Duration("list-lag", 2*time.Second, "how late the list of VMs is")
	arrival := set.Duration("arrival", time.Minute, "time from an order to a live endpoint")
	cheap := set.Int("cheap-stock", 4, "cheap endpoints that each zone can add")
	dear := set.Int("dear-stock", 20, "dear endpoints that each zone can add")
	honours := set.Bool("honours-fencing", true, "refuse orders with an old fencing number")
	record, err := c.open(args)
	if err != nil {
		return nil, nil, err
	}
	p, err := sqplatform.Start(sqplatform.Config{
		Host: noHost{}, Record: record, Zones: list(*zones), ListLag: *lag, ProvisionDelay: *arrival,
		SpotStock: *cheap, OnDemandStock: *dear, HonoursFencing: *honours, Scale: *c.scale,
	}, *c.listen)
	if err != nil {
		return nil, nil, err
	}
	return p, address{p.Address()}, nil
}

func startWeights(args []string) (stopper, any, error) {
	set := flag.NewFlagSet("weights", flag.ContinueOnError)
	listen := set.String("listen", "127.0.0.1:0", "ip:port to serve")
	rate := set.Float64("rate", 1<<30, "bytes a second over all readers")
	size := set.Int64("model-bytes", 1<<20, "size of each model")
	if err := parse(set, args); err != nil {
		return nil, nil, err
	}
	s, err := sqweights.Start(sqweights.Config{Rate: *rate, ModelBytes: *size}, *listen)
	if err != nil {
		return nil, nil, err
	}
	return s, address{s.Address()}, nil
}

func startFleet(args []string) (stopper, any, error) {
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

var _ stopper = (*sqfleet.Fleet)(nil)
