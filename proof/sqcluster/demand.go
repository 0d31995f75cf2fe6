package sqcluster

import (
	"context"
	"net/http"
	"sync"
	"time"

	"sequoiadock/io/sqrpc"
)

// Settings of a DemandReporter. The reported demand exceeds the load of any test,
// so that the roles that a reactive planner chooses depend only on the phase.
const (
	reportInterval = 100 * time.Millisecond
	reportTimeout  = 500 * time.Millisecond
	// In each reportInterval, highDemandTokens arrive of the kind that dominates the
	// current phase (prefill or decode) and lowDemandTokens of the other kind.
	highDemandTokens = 100_000
	lowDemandTokens  = 5_000
	// engineTokensPerSecond is the reported speed of one engine, for prefill and for
	// decode.
	engineTokensPerSecond = 100_000
)

// DemandReporter reports demand that alternates between long prompts and long
// answers, in the way of an entry that accepts no callers. Tests of orders need role
// changes at known times, which a load of real requests cannot guarantee.
type DemandReporter struct {
	cluster       *Cluster
	phaseDuration time.Duration
	cancel        context.CancelFunc
	wg            sync.WaitGroup

	mu      sync.Mutex
	request *sqrpc.WatchRequest
	// draining are the endpoints that are draining by the newest fleet revision.
	// They are reported as stopped, since the reporter has no work on any of them.
	draining []string
}

// StartDemandReporter starts a reporter whose demand switches after each
// phaseDuration. DemandReporter.Stop ends it.
func (c *Cluster) StartDemandReporter(phaseDuration time.Duration) *DemandReporter {
	ctx, cancel := context.WithCancel(background())
	d := &DemandReporter{cluster: c, phaseDuration: phaseDuration, cancel: cancel}
	d.request = &sqrpc.WatchRequest{Entry: "demand", Run: "demand", Zone: c.cfg.Zones[0], Leaving: true}
	d.wg.Go(func() { d.run(ctx) })
	return d
}

// Stop stops the reporter and waits for reports in progress.
func (d *DemandReporter) Stop() {
	d.cancel()
	d.wg.Wait()
}

func (d *DemandReporter) run(ctx context.Context) {
	model := &sqrpc.ModelDemand{Model: ModelName, PrefillSpeed: engineTokensPerSecond, DecodeSpeed: engineTokensPerSecond}
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for start := time.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		prefill, decode := uint64(highDemandTokens), uint64(lowDemandTokens)
		if int(time.Since(start)/d.phaseDuration)%2 == 1 {
			prefill, decode = decode, prefill
		}
		model.PrefillArrived += prefill
		model.DecodeArrived += decode
		model.PrefillOpen, model.DecodeOpen = prefill, decode
		d.report(ctx, model)
	}
}

// report sends the demand to every running control process; only the lease holder
// accepts it.
func (d *DemandReporter) report(ctx context.Context, model *sqrpc.ModelDemand) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, n := range d.cluster.controls {
		if !n.Running() {
			continue
		}
		req := d.nextRequest(model)
		calls.Go(func() {
			res, err := sqrpc.NewControlProtobufClient("http://"+n.listen, &http.Client{}).Watch(ctx, req)
			if err == nil {
				d.applyResponse(res)
			}
		})
	}
	calls.Wait()
}

func (d *DemandReporter) nextRequest(model *sqrpc.ModelDemand) *sqrpc.WatchRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.request
	return &sqrpc.WatchRequest{
		Entry: r.Entry, Run: r.Run, Zone: r.Zone, Leaving: true,
		KnownVersion: r.KnownVersion, KnownKeyRevision: r.KnownKeyRevision, KnownFleetRevision: r.KnownFleetRevision,
		KnownEntries: r.KnownEntries, KnownShares: r.KnownShares, Stopped: d.draining,
		Models: []*sqrpc.ModelDemand{{
			Model: model.Model, PrefillSpeed: model.PrefillSpeed, DecodeSpeed: model.DecodeSpeed,
			PrefillArrived: model.PrefillArrived, DecodeArrived: model.DecodeArrived,
			PrefillOpen: model.PrefillOpen, DecodeOpen: model.DecodeOpen,
		}},
	}
}

func (d *DemandReporter) applyResponse(res *sqrpc.WatchResponse) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.request
	if res.GetFleetRevision() > r.KnownFleetRevision {
		d.draining = nil
		for _, e := range res.GetEndpoints() {
			if e.GetState() == "draining" {
				d.draining = append(d.draining, e.GetId())
			}
		}
		r.KnownFleetRevision = res.GetFleetRevision()
	}
	r.KnownVersion = max(r.KnownVersion, res.GetVersion())
	r.KnownKeyRevision = max(r.KnownKeyRevision, res.GetKeyRevision())
	r.KnownEntries, r.KnownShares = res.GetEntriesHash(), res.GetSharesHash()
}
