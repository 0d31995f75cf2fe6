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

// Latency objectives of the assistant, the same for engines at any scale, and
// durations for the declarations and the stand-ins.
const (
	firstToken    = time.Second
	betweenTokens = 50 * time.Millisecond
	deadline      = 10 * time.Second
	// roleChangeMillis is the duration of a real engine's role change.
	roleChangeMillis = 4000
	arrivalMillis    = 20_000
	billingWindow    = 5 * time.Second
)

// runOne runs one variant with its scenario and returns its row of the table.
func runOne(ctx context.Context, o *options, name string) (string, error) {
	v, err := findVariant(name)
	if err != nil {
		return "", err
	}
	folder, remove, err := runFolder(o, name)
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
	injected := make(chan error, 1)
	go func() { injected <- injectFault(ctx, c, o.scenario, o.duration/2) }()
	report, err := sqmix.Run(ctx, mix(o, c))
	if err != nil {
		return "", err
	}
	if err := <-injected; err != nil {
		return "", err
	}
	if err := keepReport(o, folder, report); err != nil {
		return "", err
	}
	wait(ctx, usageSettleTime)
	return formatRow(name, c, report, fleet.finish())
}

// runFolder returns the folder of a run and a function that removes the folder,
// unless it is kept.
func runFolder(o *options, name string) (string, func(), error) {
	if o.keep != "" {
		folder := filepath.Join(o.keep, name)
		return folder, func() {}, os.MkdirAll(folder, 0o755)
	}
	folder, err := os.MkdirTemp("", "sequoiadock-measure-")
	return folder, func() { _ = os.RemoveAll(folder) }, err
}

// keepReport writes the whole report to report.json in the folder of the run, if
// the folder is kept.
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
			Deadline: deadline, FirstToken: firstToken, BetweenTokens: betweenTokens, OrdersEnabled: o.orders,
			MinEngines: 2, MaxEngines: 40, BillingWindow: billingWindow, Weights: weights(o.weights),
			RoleChange: seconds(o.scale * roleChangeMillis / 1000), Arrival: seconds(o.scale * arrivalMillis / 1000),
		},
	}
	configureScenario(&cfg, o.scenario)
	return cfg
}

// seconds returns a whole number of seconds, 1 at least.
func seconds(s float64) time.Duration {
	return max(time.Second, time.Duration(s)*time.Second)
}

func mix(o *options, c *sqcluster.Cluster) sqmix.Config {
	cfg := sqmix.Config{
		Seed: o.seed, Duration: o.duration, MixPeriod: o.swing, ChatRate: o.rate, Zones: sqcluster.DefaultZones(), Model: sqcluster.ModelName,
		FirstTokenTarget: firstToken, TokenIntervalTarget: betweenTokens, Deadline: deadline, RetryRefusals: true, MaxAttempts: 3,
	}
	for _, e := range c.Entries() {
		cfg.Entries = append(cfg.Entries, e.CallerAddress())
	}
	for _, t := range sqcluster.DefaultTeams() {
		// Large teams demand more than their share, small teams less.
		demand := float64(t.Share())
		if t.Share() > 1 {
			demand *= 1.5
		}
		cfg.Teams = append(cfg.Teams, sqmix.Team{Name: t.Name(), Key: t.Key(), Share: float64(t.Share()), Demand: demand})
	}
	return cfg
}

// Deployments whose weights can be chosen.
const (
	federation  = "federation"
	association = "association"
)

// weights returns the weights of a deployment's goals, as in its declarations.
func weights(deployment string) sqcluster.Weights {
	if deployment == association {
		return sqcluster.Weights{Goodput: 1, WorstTeam: 1, Cost: 4, Reports: 4}
	}
	return sqcluster.Weights{Goodput: 4, WorstTeam: 4, Cost: 1, Reports: 1}
}

// wait returns after d or when ctx is done.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
