package main

import (
	"context"
	"sync"
	"time"

	"sequoiadock/proof/sqcluster"
	"sequoiadock/standin/sqplatform"
)

// pollPeriod is the time between two polls of the platform's own list of VMs.
const pollPeriod = time.Second

// fleetWatch records which VMs are cheap, including VMs that are gone by the end of
// the run.
type fleetWatch struct {
	cancel  context.CancelFunc
	done    sync.WaitGroup
	cluster *sqcluster.Cluster

	mu    sync.Mutex
	cheap map[string]bool
}

// watchFleet polls the platform's list of VMs until finish is called.
func watchFleet(ctx context.Context, c *sqcluster.Cluster) *fleetWatch {
	ctx, cancel := context.WithCancel(ctx)
	w := &fleetWatch{cancel: cancel, cluster: c, cheap: make(map[string]bool)}
	w.poll()
	w.done.Go(func() {
		t := time.NewTicker(pollPeriod)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				w.poll()
			}
		}
	})
	return w
}

// vmList is the platform's list of VMs as it is now, without the lag of the list
// that the system under test gets.
type vmList struct {
	VMs []sqplatform.VM `json:"vms"`
}

func (w *fleetWatch) poll() {
	var list vmList
	if err := w.cluster.GetJSON(w.cluster.StandinAddresses().Platform, "/standin/vms", &list); err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, v := range list.VMs {
		w.cheap[v.ID] = v.Spot
	}
}

// finish stops the polling and returns, by VM ID, whether the VM is cheap.
func (w *fleetWatch) finish() map[string]bool {
	w.poll()
	w.cancel()
	w.done.Wait()
	return w.cheap
}
