package sqcontrol

import (
	"context"
	"sync"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqfleet"
	"sequoiadock/core/sqstate"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqplatform"
)

// maxEngineCalls is how many engines are called concurrently.
const maxEngineCalls = 16

// refreshFleet reads the platform's list and the engines' reports into the fleet
// table.
func (h *holder) refreshFleet(ctx context.Context, t *termState) {
	if h.cfg.PlatformAddress == "" {
		return
	}
	list, err := sqplatform.FetchVMs(ctx, h.unguardedClient, h.cfg.PlatformAddress)
	if err != nil {
		h.log.Event(sqevent.PlatformListFailed, err.Error())
	} else {
		h.applyPlatformList(t, list)
	}
	h.pollEngines(ctx, t)
	h.updateDrains(t)
}

func (h *holder) applyPlatformList(t *termState, list sqplatform.VMList) {
	configs := make([]sqfleet.EndpointConfig, 0, len(list.VMs))
	for _, vm := range list.VMs {
		configs = append(configs, endpointConfig(vm))
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := sqclock.Now()
	t.fleet.ApplyList(now, configs)
	t.listRead = true
	t.listReadAt = now
}

func endpointConfig(vm sqplatform.VM) sqfleet.EndpointConfig {
	state := sqfleet.Live
	if vm.State == sqplatform.VMStateLeaving {
		state = sqfleet.Leaving
	}
	return sqfleet.EndpointConfig{
		ID: vm.ID, Zone: vm.Zone, Address: vm.Address, Kind: vm.Kind, Spot: vm.Cheap,
		HonoursFencing: vm.HonoursFencing, State: state, LeavesUnixNano: vm.LeavesUnixNano,
	}
}

// pollEngines reads the status and the load of every engine. An engine that does
// not answer keeps its last report.
func (h *holder) pollEngines(ctx context.Context, t *termState) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxEngineCalls)
	for _, e := range h.endpoints(t) {
		if !e.IsEngine() {
			continue
		}
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			h.pollEngine(ctx, t, e)
			<-slots
		}()
	}
	wg.Wait()
}

func (h *holder) pollEngine(ctx context.Context, t *termState, e sqfleet.Endpoint) {
	st, err := sqplatform.FetchEngineStatus(ctx, h.unguardedClient, e.Address())
	if err != nil {
		return
	}
	load, err := h.engineLoad(ctx, t, e)
	if err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	t.fleet.ApplyStatus(e.ID(), sqfleet.EngineStatus{
		Role:           st.Role,
		Models:         st.Models,
		HonoursFencing: st.HonoursFencing,
		Load:           load,
	})
}

// engineLoad returns an engine's load. A recent reading of an entry is used if
// there is one, unless the engine is not live: an order may then wait for the
// engine's last work to end, so the holder reads the load itself.
func (h *holder) engineLoad(ctx context.Context, t *termState, e sqfleet.Endpoint) (sqfleet.LoadReport, error) {
	if load, ok := h.recentLoad(t, e); ok {
		return load, nil
	}
	load, err := sqplatform.FetchEngineLoad(ctx, h.unguardedClient, e.Address())
	if err != nil {
		return sqfleet.LoadReport{}, err
	}
	return sqfleet.LoadReport{
		Running: load.Running, Queued: load.Queued,
		PrefillTokens: load.PrefillTokens, DecodeTokens: load.DecodeTokens,
	}, nil
}

func (h *holder) recentLoad(t *termState, e sqfleet.Endpoint) (sqfleet.LoadReport, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e.State() != sqfleet.Live {
		return sqfleet.LoadReport{}, false
	}
	return t.readings.recentLoad(sqclock.Now(), e.ID())
}

// updateDrains drains the endpoints that the operator drains and those that an open
// order is about to take out of service.
func (h *holder) updateDrains(t *termState) {
	draining := make(map[string]bool)
	h.machine.Read(func(s *sqstate.State) {
		for _, rec := range s.Orders() {
			if requiresDrain(rec) {
				draining[rec.GetOrder().GetTarget()] = true
			}
		}
		for _, e := range h.endpoints(t) {
			if s.IsDraining(e.ID()) {
				draining[e.ID()] = true
			}
		}
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	t.fleet.SetDraining(func(id string) bool { return draining[id] })
}

// requiresDrain returns whether an order keeps its target out of service. It does
// while it is open, and a release also afterwards, because the platform's list
// shows the VM for some time after the platform accepted the release.
func requiresDrain(rec *sqcommand.OrderRecord) bool {
	if !isDrainingKind(rec.GetOrder().GetKind()) {
		return false
	}
	released := rec.GetDone() && rec.GetOrder().GetKind() == sqcommand.OrderKind_ORDER_KIND_RELEASE_ENDPOINT
	return released || !rec.GetClosed()
}

func isDrainingKind(k sqcommand.OrderKind) bool {
	return k == sqcommand.OrderKind_ORDER_KIND_ROLE || k == sqcommand.OrderKind_ORDER_KIND_RELEASE_ENDPOINT
}

func (h *holder) endpoints(t *termState) []sqfleet.Endpoint {
	h.mu.Lock()
	defer h.mu.Unlock()
	return t.fleet.All()
}

func (h *holder) endpoint(t *termState, id string) (sqfleet.Endpoint, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return t.fleet.Find(id)
}
