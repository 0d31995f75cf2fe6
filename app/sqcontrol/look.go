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

// lookers bounds how many engines are asked at a time.
const lookers = 16

// look reads the platform's list and the engines' reports into the fleet table.
func (h *holder) look(ctx context.Context, t *tenure) {
	if h.cfg.Platform == "" {
		return
	}
	list, err := sqplatform.VMs(ctx, h.plain, h.cfg.Platform)
	if err != nil {
		h.log.Event(sqevent.PlatformSilent, err.Error())
	} else {
		h.takeList(t, list)
	}
	h.askEngines(ctx, t)
	h.markDrains(t)
}

func (h *holder) takeList(t *tenure, list sqplatform.List) {
	rows := make([]sqfleet.EndpointConfig, 0, len(list.VMs))
	for _, vm := range list.VMs {
		rows = append(rows, endpointOf(vm))
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := sqclock.Now()
	t.fleet.ApplyList(now, rows)
	t.listed = true
	t.listedAt = now
}

func endpointOf(vm sqplatform.VM) sqfleet.EndpointConfig {
	state := sqfleet.Live
	if vm.State == sqplatform.StateLeaving {
		state = sqfleet.Leaving
	}
	return sqfleet.EndpointConfig{
		ID: vm.ID, Zone: vm.Zone, Address: vm.Address, Kind: vm.Kind, Cheap: vm.Cheap,
		HonoursFencing: vm.HonoursFencing, State: state, LeavesUnixNano: vm.LeavesUnixNano,
	}
}

// askEngines reads status and load of every engine. An engine that does not
// answer keeps its last report.
func (h *holder) askEngines(ctx context.Context, t *tenure) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, lookers)
	for _, e := range h.endpoints(t) {
		if !e.IsEngine() {
			continue
		}
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			h.askEngine(ctx, t, e)
			<-slots
		}()
	}
	wg.Wait()
}

func (h *holder) askEngine(ctx context.Context, t *tenure, e sqfleet.Endpoint) {
	st, err := sqplatform.Status(ctx, h.plain, e.Address())
	if err != nil {
		return
	}
	load, err := h.engineLoad(ctx, t, e)
	if err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	t.fleet.ApplyStatus(e.ID(), sqfleet.StatusConfig{
		Role:           st.Role,
		Models:         st.Models,
		HonoursFencing: st.HonoursFencing,
		Load:           load,
	})
}

// engineLoad returns an engine's load: as an entry read it just before, or else
// as the engine says. Where an order waits for the last work to end, the holder
// asks itself.
func (h *holder) engineLoad(ctx context.Context, t *tenure, e sqfleet.Endpoint) (sqfleet.Load, error) {
	if load, ok := h.readLoad(t, e); ok {
		return load, nil
	}
	load, err := sqplatform.Load(ctx, h.plain, e.Address())
	if err != nil {
		return sqfleet.Load{}, err
	}
	return sqfleet.Load{
		Running: load.Running, Queued: load.Queued,
		PrefillTokens: load.PrefillTokens, DecodeTokens: load.DecodeTokens,
	}, nil
}

func (h *holder) readLoad(t *tenure, e sqfleet.Endpoint) (sqfleet.Load, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e.State() != sqfleet.Live {
		return sqfleet.Load{}, false
	}
	return t.readings.load(sqclock.Now(), e.ID())
}

// markDrains drains what the operator drains and what an open order is about to
// take out of service.
func (h *holder) markDrains(t *tenure) {
	want := make(map[string]bool)
	h.machine.Read(func(s *sqstate.State) {
		for _, rec := range s.Orders() {
			if keepsDrained(rec) {
				want[rec.GetOrder().GetTarget()] = true
			}
		}
		for _, e := range h.endpoints(t) {
			if s.IsDraining(e.ID()) {
				want[e.ID()] = true
			}
		}
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	t.fleet.SetDraining(func(id string) bool { return want[id] })
}

// keepsDrained returns whether an order takes its target out of service: while
// it is open, and for a release also afterwards, because the platform's list
// shows the VM for some time after it accepted.
func keepsDrained(rec *sqcommand.OrderRecord) bool {
	if !needsDrain(rec.GetOrder().GetKind()) {
		return false
	}
	released := rec.GetDone() && rec.GetOrder().GetKind() == sqcommand.OrderKind_ORDER_KIND_RELEASE_ENDPOINT
	return released || !rec.GetClosed()
}

func needsDrain(k sqcommand.OrderKind) bool {
	return k == sqcommand.OrderKind_ORDER_KIND_ROLE || k == sqcommand.OrderKind_ORDER_KIND_RELEASE_ENDPOINT
}

func (h *holder) endpoints(t *tenure) []sqfleet.Endpoint {
	h.mu.Lock()
	defer h.mu.Unlock()
	return t.fleet.All()
}

func (h *holder) endpoint(t *tenure, id string) (sqfleet.Endpoint, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return t.fleet.Find(id)
}
