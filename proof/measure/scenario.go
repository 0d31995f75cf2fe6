package main

import (
	"context"
	"time"

	"sequoiadock/proof/sqcluster"
)

// Scenarios.
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

// Faults of the scenarios.
const (
	// lateLag is the lag of load reports, in milliseconds of a real engine.
	lateLag = 3000
	// gapPercent is the share of cache events that are lost.
	gapPercent = 40
	// reclaimNotice is how long before they go spot endpoints say so, in
	// milliseconds.
	reclaimNotice = 2000
)

// shape sets up the stand-ins for a scenario.
func shape(cfg *sqcluster.Config, scenario string) {
	switch scenario {
	case lateReports:
		cfg.Fleet.Engines.LoadLagMillis = lateLag
	case cacheGaps:
		gaps := gapPercent
		cfg.Fleet.Engines.EventGapPercent = &gaps
	}
}

type reclaim struct {
	Zone         string `json:"zone"`
	NoticeMillis int    `json:"noticeMillis"`
}

// disturb does what the scenario says after a while.
func disturb(ctx context.Context, c *sqcluster.Cluster, scenario string, after time.Duration) error {
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
		return c.PostJSON(c.StandinAddresses().Platform, "/standin/reclaim", reclaim{Zone: sqcluster.DefaultZones()[0], NoticeMillis: reclaimNotice}, nil)
	}
	return nil
}
