package sqcontrol

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"sequoiadock/core/sqburn"
	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqfleet"
	"sequoiadock/core/sqmember"
	"sequoiadock/core/sqstate"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqrpc"
)

// Watch implements sqrpc.Control.
func (s *server) Watch(ctx context.Context, req *sqrpc.WatchRequest) (*sqrpc.WatchResponse, error) {
	now := sqclock.Now()
	t, err := s.holder.currentTerm(now)
	if err != nil {
		return nil, sqrpc.ToTwirp(err)
	}
	if err := s.holder.renewLease(now, t, req); err != nil {
		return nil, sqrpc.ToTwirp(err)
	}
	if err := s.holder.registerEntry(ctx, req.GetEntry()); err != nil {
		return nil, sqrpc.ToTwirp(err)
	}
	res := &sqrpc.WatchResponse{FreshMillis: uint32(s.cfg.Timings.FreshnessLease.Milliseconds())}
	s.machine.Read(func(state *sqstate.State) { fillConfiguration(state, req, res) })
	s.holder.fillFleet(now, t, req, res)
	s.holder.fillShares(now, t, req, res)
	res.Answer = s.holder.nextAnswerNumber(now, t, req)
	// The lease may have ended while the response was built. A later holder may
	// then have committed changes that the response lacks, and the entry must not
	// trust it.
	if _, err := s.holder.currentTerm(sqclock.Now()); err != nil {
		return nil, sqrpc.ToTwirp(err)
	}
	return res, nil
}

// registerEntry commits that an entry may hold a freshness lease, before the entry
// gets its first one.
func (h *holder) registerEntry(ctx context.Context, name string) error {
	known := false
	h.machine.Read(func(s *sqstate.State) { known = s.HasEntry(name) })
	if known {
		return nil
	}
	_, err := h.propose(ctx, &sqcommand.Command{Body: &sqcommand.Command_SeeEntry{SeeEntry: &sqcommand.SeeEntry{Entry: name}}})
	return err
}

// removeExpiredEntries removes entries from the replicated state whose leases ended
// long ago.
func (h *holder) removeExpiredEntries(ctx context.Context, t *termState) {
	var known []string
	h.machine.Read(func(s *sqstate.State) { known = s.Entries() })
	h.mu.Lock()
	expired := t.entries.Expired(sqclock.Now(), known)
	for _, name := range expired {
		t.removing[name] = true
	}
	h.mu.Unlock()
	for _, name := range expired {
		h.commit(ctx, "forget entry", &sqcommand.Command{Body: &sqcommand.Command_SeeEntry{SeeEntry: &sqcommand.SeeEntry{Entry: name, Gone: true}}})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(t.removing)
}

func fillConfiguration(state *sqstate.State, req *sqrpc.WatchRequest, res *sqrpc.WatchResponse) {
	res.Version = state.Version()
	if res.Version > req.GetKnownVersion() {
		res.Configuration = withoutKeys(state.Configuration())
	}
	res.KeyRevision = state.KeyRevision()
	if res.KeyRevision > req.GetKnownKeyRevision() {
		res.Keys = cloneKeys(state.Keys())
	}
}

// withoutKeys returns a copy of cfg without the keys of the configuration files.
// The response holds the keys in force in a field of their own.
func withoutKeys(cfg *sqcommand.Configuration) *sqcommand.Configuration {
	c := proto.CloneOf(cfg)
	c.Keys = nil
	return c
}

func cloneKeys(keys []*sqcommand.Key) []*sqcommand.Key {
	out := make([]*sqcommand.Key, 0, len(keys))
	for _, k := range keys {
		out = append(out, proto.CloneOf(k))
	}
	return out
}

// renewLease records an entry's report and renews its freshness lease. An entry
// that is being removed must send its watch again. Otherwise the command that
// removes it could be committed after the command that registers it.
func (h *holder) renewLease(now time.Time, t *termState, req *sqrpc.WatchRequest) error {
	objectives := h.objectivePercents()
	h.mu.Lock()
	defer h.mu.Unlock()
	if t.removing[req.GetEntry()] {
		return sqerror.New(sqerror.Config{
			Kind: sqerror.Overloaded, Detail: "the entry is being forgotten", RetryAfter: h.cfg.Timings.HeartbeatInterval,
		})
	}
	t.entries.Renew(now, sqmember.Heartbeat{
		Entry: req.GetEntry(), RunID: req.GetRun(), Zone: req.GetZone(), Address: req.GetAddress(),
		InternalAddress: req.GetInternal(), Leaving: req.GetLeaving(), Load: req.GetLoad(),
		Version: req.GetKnownVersion(), KeyRevision: req.GetKnownKeyRevision(),
		FleetRevision: req.GetKnownFleetRevision(), Drained: req.GetStopped(),
	})
	t.applyLoads(now, req)
	for key, n := range t.demand.record(now, req) {
		k := sqburn.NewKey(sqburn.KeyConfig{Team: key.team, Service: key.service})
		t.burn.Add(now, k, objectives[key.service], n.good, n.bad)
	}
	return nil
}

// applyLoads records the endpoint loads that an entry reports. If the reported work
// refers to another fleet revision, the work of the last report is kept.
func (t *termState) applyLoads(now time.Time, req *sqrpc.WatchRequest) {
	if t.listRead {
		t.readings.recordReport(now, t.fleet, req)
	}
	if req.GetWork() == nil {
		return
	}
	loads, ok := t.readings.resolveLoads(t.fleet, req)
	if last := t.demand.reports[req.GetEntry()]; !ok && last != nil && last.run == req.GetRun() {
		loads = last.loads
	}
	req.Loads = loads
}

func (h *holder) objectivePercents() map[string]float64 {
	m := make(map[string]float64)
	h.machine.Read(func(s *sqstate.State) {
		for _, svc := range s.Configuration().GetServices() {
			m[svc.GetName()] = svc.GetObjectivePercent()
		}
	})
	return m
}

func (h *holder) fillFleet(now time.Time, t *termState, req *sqrpc.WatchRequest, res *sqrpc.WatchResponse) {
	h.fillEntries(now, t, req, res)
	h.mu.Lock()
	if req.GetWork() == nil || !t.listRead {
		res.OtherLoads = t.demand.otherLoads(now, req.GetEntry())
	} else {
		t.readings.fillWork(now, t.fleet, t.demand.otherWork(now, req.GetEntry()), res)
	}
	res.FleetRevision = t.fleet.Revision()
	listed := t.listRead
	if listed {
		t.readings.fillReadings(now, t.fleet, req, res)
	}
	if listed && res.FleetRevision > req.GetKnownFleetRevision() {
		res.Endpoints = endpointViews(t.fleet.All())
	}
	h.mu.Unlock()
	// Until the platform's list is read in this term, the fleet table is empty. The
	// entry keeps the endpoints that the previous holder sent.
	if !listed {
		res.FleetRevision = req.GetKnownFleetRevision()
	}
}

func (h *holder) entryViews(t *termState) []*sqrpc.EntryView {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := sqclock.Now()
	entries := t.entries.Entries()
	views := make([]*sqrpc.EntryView, 0, len(entries))
	for _, e := range entries {
		views = append(views, &sqrpc.EntryView{
			Entry: e.Name(), Zone: e.Zone(), Address: e.Address(), Internal: e.InternalAddress(),
			Leaving: e.Leaving(), Fresh: t.entries.HasLease(now, e), Version: e.Version(),
		})
	}
	return views
}

func endpointViews(all []sqfleet.Endpoint) []*sqrpc.EndpointView {
	views := make([]*sqrpc.EndpointView, 0, len(all))
	for _, e := range all {
		views = append(views, endpointView(e))
	}
	return views
}

func endpointView(e sqfleet.Endpoint) *sqrpc.EndpointView {
	return &sqrpc.EndpointView{
		Id: e.ID(), Zone: e.Zone(), Address: e.Address(), Kind: e.Kind(), Role: e.Role(),
		Cheap: e.Spot(), State: string(e.State()), LeavesUnixNano: e.LeavesUnixNano(),
		HonoursFencing: e.HonoursFencing(), Models: e.Models(),
	}
}

// waitInForce waits until every entry has confirmed the current version and key
// revision, or has lost its lease. It returns false when the wait times out, and
// NotConfirmed as soon as this process no longer holds the lease, because entries
// then report to the next holder only.
func (h *holder) waitInForce(ctx context.Context) (bool, error) {
	var version, keyRevision uint64
	h.machine.Read(func(s *sqstate.State) {
		version = s.Version()
		keyRevision = s.KeyRevision()
	})
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	tick := time.NewTicker(inForcePollInterval)
	defer tick.Stop()
	for {
		done, err := h.isInForce(version, keyRevision)
		if done || err != nil {
			return done, err
		}
		select {
		case <-ctx.Done():
			return false, nil
		case <-tick.C:
		}
	}
}

func (h *holder) isInForce(version, keyRevision uint64) (bool, error) {
	now := sqclock.Now()
	t, err := h.currentTerm(now)
	if err != nil {
		return false, sqerror.New(sqerror.Config{
			Kind: sqerror.NotConfirmed, Execution: sqerror.MayHaveRun, Cause: err,
			Detail:          "the change is accepted, but this process lost the lease before it was in force",
			Advice:          "send the same operation again: the next holder gives the same answer",
			RedirectAddress: h.replica.Status().LeaderAddress(), RetryAfter: h.cfg.Timings.HeartbeatInterval,
		})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return t.entries.InForce(now, version, keyRevision), nil
}
