package main

import (
	"context"
	"sync"
	"time"

	"sequoiadock/proof/sqcluster"
	"sequoiadock/standin/sqplatform"
)

// lookEvery is the time between two looks at the platform's own list.
const lookEvery = time.Second

// fleetWatch remembers which VMs are spot VMs, also of those that go again.
type fleetWatch struct {
	stop context.CancelFunc
	done sync.WaitGroup
	c    *sqcluster.Cluster

	mu    sync.Mutex
	cheap map[string]bool
}

func watchFleet(ctx context.Context, c *sqcluster.Cluster) *fleetWatch {
	ctx, stop := context.WithCancel(ctx)
	w := &fleetWatch{stop: stop, c: c, cheap: make(map[string]bool)}
	w.look()
	w.done.Go(func() {
		t := time.NewTicker(lookEvery)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				w.look()
			}
		}
	})
	return w
}

// trueVMs is the platform's list without its lag.
type trueVMs struct {
	VMs []sqplatform.VM `json:"vms"`
}

func (w *fleetWatch) look() {
	var list trueVMs
	if err := w.c.GetJSON(w.c.StandinAddresses().Platform, "/standin/vms", &list); err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, v := range list.VMs {
		w.cheap[v.ID] = v.Spot
	}
}

// finish ends the watch and returns which VMs are spot VMs.
func (w *fleetWatch) finish() map[string]bool {
	w.look()
	w.stop()
	w.done.Wait()
	return w.cheap
}
