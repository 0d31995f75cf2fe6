package main

import (
	"context"
	"time"

	"sequoiadock/proof/sqcluster"
)

// Names of the scenarios.
const (
	calm         = "calm"
	lateReports  = "lateReports"
	cacheGaps    = "cacheGaps"
	entryKilled  = "entryKilled"
	holderKilled = "holderKilled"
	zoneGone     = "zoneGone"
	twoFaults    = "twoFaults"
)

func scenarioNames() []string {
	return []string{calm, lateReports, cacheGaps, entryKilled, holderKilled, zoneGone, twoFaults}
}

// Sizes of the faults in the scenarios.
const (
	// loadReportLagMillis is the lag of load reports, in the time of a real engine.
	loadReportLagMillis = 3000
	// lostEventPercent is the percentage of cache events that are lost.
	lostEventPercent = 40
	// reclaimNoticeMillis is how long before their end reclaimed cheap endpoints
	// announce it.
	reclaimNoticeMillis = 2000
)

// configureScenario sets the stand-ins' faults that last for the whole run.
func configureScenario(cfg *sqcluster.Config, scenario string) {
	switch scenario {
	case lateReports:
		cfg.Fleet.Engines.LoadLagMillis = loadReportLagMillis
	case cacheGaps:
		gaps := lostEventPercent
		cfg.Fleet.Engines.EventGapPercent = &gaps
	}
}

// reclaimRequest tells the platform stand-in to reclaim the cheap VMs of a zone.
type reclaimRequest struct {
	Zone         string `json:"zone"`
	NoticeMillis int    `json:"noticeMillis"`
}

// injectFault waits for the given duration and then injects the scenario's fault.
func injectFault(ctx context.Context, c *sqcluster.Cluster, scenario string, after time.Duration) error {
	wait(ctx, after)
	if ctx.Err() != nil {
		return nil
	}
	switch scenario {
	case entryKilled:
		c.Entries()[0].Kill()
	case holderKilled:
		holder, err := c.WaitForHolder(ctx)
		if err != nil {
			return err
		}
		holder.Kill()
	case twoFaults:
		c.Entries()[0].Kill()
		holder, err := c.WaitForHolder(ctx)
		if err != nil {
			return err
		}
		holder.Kill()
	case zoneGone:
		return c.PostJSON(c.StandinAddresses().Platform, "/standin/reclaim", reclaimRequest{Zone: sqcluster.DefaultZones()[0], NoticeMillis: reclaimNoticeMillis}, nil)
	}
	return nil
}
