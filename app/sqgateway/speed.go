package sqgateway

import (
	"time"

	"sequoiadock/core/sqattempt"
	"sequoiadock/core/sqplace"
	"sequoiadock/io/sqrpc"
)

// recordLoadReport records the load and the speed that an endpoint reported with a
// response.
func (g *gateway) recordLoadReport(now time.Time, e *sqplace.Endpoint, load sqattempt.LoadReport) {
	g.metrics.unreadableLoadFigures.Add(load.Unreadable)
	if load.WorkPercent > 0 {
		g.metrics.speedReports.Inc()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placer.RecordLoadReport(now, e.ID(), load)
}

// addSpeeds adds to a heartbeat what endpoints reported of their speed since the last one
// that was answered. The caller must hold mu.
func (g *gateway) addSpeeds(now time.Time, req *sqrpc.BeatRequest) {
	req.Speeds = sqrpc.FromSpeedReports(now, g.placer.Speeds().Take(now))
}
