package main

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"sequoiadock/proof/sqcluster"
	"sequoiadock/standin/sqfleet"
	"sequoiadock/standin/sqmix"
)

// Objectives of the assistant, for engines at any scale.
const (
	firstToken = time.Second
	between    = 50 * time.Millisecond
	deadline   = 10 * time.Second
	// roleChangeMillis is the time of a role change of a real engine.
	roleChangeMillis = 4000
	arrivalMillis    = 20_000
	billingWindow    = 5 * time.Second
)

func runOne(ctx context.Context, o *options, name string) (string, error) {
	v, err := variantOf(name)
	if err != nil {
		return "", err
	}
	folder, remove, err := folderFor(o, name)
	if err != nil {
		return "", err
	}
	defer remove()
	c, err := sqcluster.Start(ctx, clusterConfig(o, v, folder))
	if err != nil {
		return "", err
	}
	defer c.Kill()
	fleet := watchFleet(ctx, c)
	disturbed := make(chan error, 1)
	go func() { disturbed <- disturb(ctx, c, o.scenario, o.duration/2) }()
	report, err := sqmix.Run(ctx, mix(o, c))
	if err != nil {
		return "", err
	}
	if err := <-disturbed; err != nil {
		return "", err
	}
	if err := keepReport(o, folder, report); err != nil {
		return "", err
	}
	wait(ctx, usageSettles)
	return row(name, c, report, fleet.finish())
}

// folderFor returns the folder of a run and what removes it afterwards.
func folderFor(o *options, name string) (string, func(), error) {
	if o.keep != "" {
		folder := filepath.Join(o.keep, name)
		return folder, func() {}, os.MkdirAll(folder, 0o755)
	}
	folder, err := os.MkdirTemp("", "sequoiadock-measure-")
	return folder, func() { _ = os.RemoveAll(folder) }, err
}

// keepReport writes the whole report into the folder of the run, if it stays.
func keepReport(o *options, folder string, r *sqmix.Report) error {
	if o.keep == "" {
		return nil
	}
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(folder, "report.json"), b, 0o644)
}

func clusterConfig(o *options, v variant, folder string) sqcluster.Config {
	cfg := sqcluster.Config{
		Folder: folder, EntryCount: o.entries, ControlPolicy: v.control, EntryPolicy: v.entry,
		Fleet: sqfleet.Settings{
			Fleet: sqfleet.FleetSettings{Scale: o.scale, Seed: o.seed},
			Engines: sqfleet.EngineSettings{
				Count: o.engines, SpotCount: o.cheap, PrefillCount: o.prefill, DecodeCount: o.decode, RoleChangeMillis: roleChangeMillis,
			},
			Platform: sqfleet.PlatformSettings{ProvisionMillis: arrivalMillis, ReleaseDelayMillis: 2000, SpotStock: 20, OnDemandStock: 20},
		},
		Declarations: sqcluster.Declarations{
			Deadline: deadline, FirstToken: firstToken, BetweenTokens: between, OrdersEnabled: o.orders,
			MinEngines: 2, MaxEngines: 40, BillingWindow: billingWindow, Weights: weights(o.weights),
			RoleChange: seconds(o.scale * roleChangeMillis / 1000), Arrival: seconds(o.scale * arrivalMillis / 1000),
		},
	}
	shape(&cfg, o.scenario)
	return cfg
}

// seconds returns a whole number of seconds, 1 at least.
func seconds(s float64) time.Duration {
	return max(time.Second, time.Duration(s)*time.Second)
}

func mix(o *options, c *sqcluster.Cluster) sqmix.Config {
	cfg := sqmix.Config{
		Seed: o.seed, Duration: o.duration, MixPeriod: o.swing, ChatRate: o.rate, Zones: sqcluster.DefaultZones(), Model: sqcluster.ModelName,
		FirstTokenTarget: firstToken, TokenIntervalTarget: between, Deadline: deadline, RetryRefusals: true, MaxAttempts: 3,
	}
	for _, e := range c.Entries() {
		cfg.Entries = append(cfg.Entries, e.CallerAddress())
	}
	for _, t := range sqcluster.DefaultTeams() {
		// The large teams ask for more than their share, the small for less.
		demand := float64(t.Share())
		if t.Share() > 1 {
			demand *= 1.5
		}
		cfg.Teams = append(cfg.Teams, sqmix.Team{Name: t.Name(), Key: t.Key(), Share: float64(t.Share()), Demand: demand})
	}
	return cfg
}

// Deployments.
const (
	federation  = "federation"
	association = "association"
)

// weights returns what a deployment values, as in its declarations.
func weights(deployment string) sqcluster.Weights {
	if deployment == association {
		return sqcluster.Weights{Goodput: 1, WorstTeam: 1, Cost: 4, Reports: 4}
	}
	return sqcluster.Weights{Goodput: 4, WorstTeam: 4, Cost: 1, Reports: 1}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
