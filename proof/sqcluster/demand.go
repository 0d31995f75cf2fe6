package sqcluster

import (
	"context"
	"net/http"
	"sync"
	"time"

	"sequoiadock/io/sqrpc"
)

// Figures of a Demand. They outweigh the load of any test, so that the roles
// that a reactive planner wants depend on the phase alone.
const (
	demandEvery = 100 * time.Millisecond
	demandCall  = 500 * time.Millisecond
	// demandTokens arrive in each period of the phase's kind, demandRest of the other.
	demandTokens = 100_000
	demandRest   = 5_000
	// demandSpeed is what one engine is said to do, in tokens a second.
	demandSpeed = 100_000
)

// DemandReporter reports a demand that swings between long prompts and long answers,
// as an entry that takes no callers would. Proofs of orders need changes of
// roles at known times, which no load of real requests gives.
type DemandReporter struct {
	cluster *Cluster
	half    time.Duration
	cancel  context.CancelFunc
	done    sync.WaitGroup

	mu      sync.Mutex
	request *sqrpc.WatchRequest
	// draining are the endpoints that the last answer showed as draining. The
	// demand has no work on any of them.
	draining []string
}

// StartDemandReporter starts to report; each half of the swing lasts as given. Stop
// ends it.
func (c *Cluster) StartDemandReporter(half time.Duration) *DemandReporter {
	ctx, cancel := context.WithCancel(background())
	d := &DemandReporter{cluster: c, half: half, cancel: cancel}
	d.request = &sqrpc.WatchRequest{Entry: "demand", Run: "demand", Zone: c.cfg.Zones[0], Leaving: true}
	d.done.Go(func() { d.run(ctx) })
	return d
}

// Stop ends the reports and waits until none is under way.
func (d *DemandReporter) Stop() {
	d.cancel()
	d.done.Wait()
}

func (d *DemandReporter) run(ctx context.Context) {
	model := &sqrpc.ModelDemand{Model: ModelName, PrefillSpeed: demandSpeed, DecodeSpeed: demandSpeed}
	tick := time.NewTicker(demandEvery)
	defer tick.Stop()
	for begun := time.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		prefill, decode := uint64(demandTokens), uint64(demandRest)
		if int(time.Since(begun)/d.half)%2 == 1 {
			prefill, decode = decode, prefill
		}
		model.PrefillArrived += prefill
		model.DecodeArrived += decode
		model.PrefillOpen, model.DecodeOpen = prefill, decode
		d.report(ctx, model)
	}
}

// report tells every control process that runs; only the holder takes it.
func (d *DemandReporter) report(ctx context.Context, model *sqrpc.ModelDemand) {
	ctx, cancel := context.WithTimeout(ctx, demandCall)
	defer cancel()
	var calls sync.WaitGroup
	for _, n := range d.cluster.controls {
		if !n.Running() {
			continue
		}
		req := d.next(model)
		calls.Go(func() {
			res, err := sqrpc.NewControlProtobufClient("http://"+n.listen, &http.Client{}).Watch(ctx, req)
			if err == nil {
				d.take(res)
			}
		})
	}
	calls.Wait()
}

func (d *DemandReporter) next(model *sqrpc.ModelDemand) *sqrpc.WatchRequest {
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

func (d *DemandReporter) take(res *sqrpc.WatchResponse) {
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
