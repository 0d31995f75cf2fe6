package sqentry

import (
	"sync"
	"time"

	sqcore "sequoiadock/core"
	"sequoiadock/core/sqcache"
	"sequoiadock/core/sqreader"
	"sequoiadock/core/sqroute"
	"sequoiadock/io/sqrpc"
)

// Endpoint states, as the holder reports them.
const (
	stateLive    = "live"
	stateLeaving = "leaving"
)

// endpoint is one endpoint and the entry's own work there.
type endpoint struct {
	view *sqrpc.EndpointView
	// notLiveSince is when the endpoint stopped being live; zero while it is
	// live.
	notLiveSince time.Time
	// runningRequests counts the entry's requests at the endpoint. The holder
	// waits until all entries report none before it gives the endpoint an
	// order.
	runningRequests int
	// missedPolls counts the polls without a response since the last one with a
	// response.
	missedPolls int
	pollState
}

// maxMissedPolls is the number of consecutive polls without a response after
// which an endpoint gets no new work.
const maxMissedPolls = 3

func (p *endpoint) live() bool { return p.view.GetState() == stateLive }

func (p *endpoint) unavailable() bool { return !p.live() || p.missedPolls >= maxMissedPolls }

// fleet guards the routing policy, which has no locks, timers or I/O of its
// own, for concurrent use.
type fleet struct {
	mu            sync.Mutex
	routing       *sqroute.Fleet
	router        sqcore.Router
	endpoints     map[string]*endpoint
	endpointOrder []string
	// scratch is the query passed to the router, which keeps no pointer to it.
	scratch sqroute.Query
	// entryName is the entry's own name. readers are the entries that poll
	// endpoints on behalf of all entries.
	entryName string
	readers   []sqreader.Node
}

// newFleet returns a fleet without endpoints.
func newFleet(zone string, seed uint64, router string) *fleet {
	routing := sqroute.NewFleet(sqroute.Config{Zone: zone, Seed: seed}, sqcache.New(sqcache.Config{}))
	return &fleet{routing: routing, router: newRouter(router, routing), endpoints: map[string]*endpoint{}}
}

// setEntries tells the routing policy which entries share the fleet.
func (f *fleet) setEntries(entryName string, views []*sqrpc.EntryView) {
	names := make([]string, 0, len(views))
	for _, v := range views {
		names = append(names, v.GetEntry())
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.routing.SetEntries(entryName, names)
	f.setReaders(entryName, views)
}

// throughput returns the observed prefill and decode throughput of one engine
// of a model, in tokens per second.
func (f *fleet) throughput(model string) (prefill, decode float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.routing.Throughput(model)
}

// setEndpoints applies the holder's list of endpoints.
func (f *fleet) setEndpoints(now time.Time, views []*sqrpc.EndpointView) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := make(map[string]bool, len(views))
	f.endpointOrder = f.endpointOrder[:0]
	for _, v := range views {
		listed[v.GetId()] = true
		f.endpointOrder = append(f.endpointOrder, v.GetId())
		f.setEndpoint(now, v)
	}
	for id, p := range f.endpoints {
		if !listed[id] && p.runningRequests == 0 {
			delete(f.endpoints, id)
		}
	}
	f.updateRouting(now)
	f.assignReading()
}

func (f *fleet) setEndpoint(now time.Time, v *sqrpc.EndpointView) {
	p, ok := f.endpoints[v.GetId()]
	if !ok || p.view.GetAddress() != v.GetAddress() {
		p = &endpoint{view: v}
		f.endpoints[v.GetId()] = p
	}
	p.view = v
	if p.live() {
		p.notLiveSince = time.Time{}
	} else if p.notLiveSince.IsZero() {
		p.notLiveSince = now
	}
}

// updateRouting passes the endpoints to the routing policy. The caller holds
// the lock.
func (f *fleet) updateRouting(now time.Time) {
	list := make([]sqroute.Endpoint, 0, len(f.endpointOrder))
	for _, id := range f.endpointOrder {
		p := f.endpoints[id]
		role, _ := sqroute.ParseRole(p.view.GetRole())
		list = append(list, sqroute.NewEndpoint(sqroute.EndpointConfig{
			ID:            id,
			Zone:          p.view.GetZone(),
			Kind:          p.view.GetKind(),
			Models:        p.view.GetModels(),
			Role:          role,
			Spot:          p.view.GetCheap(),
			Unschedulable: p.unavailable(),
		}))
	}
	f.routing.SetEndpoints(now, list)
}

// setPeerLoads applies the loads that other entries put on endpoints.
func (f *fleet) setPeerLoads(now time.Time, loads []*sqrpc.EndpointLoad) {
	list := make([]sqroute.Load, 0, len(loads))
	for _, l := range loads {
		list = append(list, sqroute.NewLoad(sqroute.LoadConfig{
			Endpoint:      l.GetEndpoint(),
			Running:       int(l.GetRunning()),
			PrefillTokens: int(l.GetPrefillTokens()),
			DecodeTokens:  int(l.GetDecodeTokens()),
		}))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.routing.SetPeerLoads(now, list)
}

// route chooses an endpoint and returns the reasons as text.
func (f *fleet) route(now time.Time, cfg sqroute.QueryConfig) (sqroute.Choice, []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	q := sqroute.NewQuery(cfg)
	c := f.router.Route(now, &q)
	return c, f.router.Explain(now, &q, c)
}

// estimate chooses an endpoint without explaining the choice.
func (f *fleet) estimate(now time.Time, cfg sqroute.QueryConfig) sqroute.Choice {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.scratch = sqroute.NewQuery(cfg)
	return f.router.Route(now, &f.scratch)
}

// routeDecode chooses an engine that can continue a response that another one
// began, or returns "".
func (f *fleet) routeDecode(now time.Time, cfg sqroute.QueryConfig, from string) (string, []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	cfg.Resume = true
	if !f.isPrefill(from) {
		cfg.Excluded = append(append([]string(nil), cfg.Excluded...), from)
	}
	q := sqroute.NewQuery(cfg)
	c := f.router.Route(now, &q)
	to := c.Endpoint()
	if c.DecodeEndpoint() != "" {
		to = c.DecodeEndpoint()
	}
	if to == from || to == "" || f.isPrefill(to) {
		return "", nil
	}
	return to, f.router.Explain(now, &q, c)
}

func (f *fleet) isPrefill(id string) bool {
	p, ok := f.endpoints[id]
	return ok && p.view.GetRole() == sqroute.RolePrefill.String()
}

// dispatch is one request sent to one endpoint.
type dispatch struct {
	endpoint *endpoint
	routed   sqroute.Dispatch
	// hostPort is the endpoint's address at the time of the dispatch. The
	// endpoint's view changes later under the fleet's lock, which a request
	// doesn't hold.
	hostPort string
}

// address returns the address of the endpoint.
func (d *dispatch) address() string { return d.hostPort }

// startDispatch records that a request is sent to an endpoint. It fails if the
// endpoint takes no new work. The check and the count are done under the lock
// under which drainedEndpoints looks for running work, so no request can start
// after the holder was told that none is left.
func (f *fleet) startDispatch(now time.Time, id string, q *sqroute.Query, cached int, imported, resume bool) (*dispatch, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.endpoints[id]
	if !ok || p.unavailable() && !resume {
		return nil, false
	}
	p.runningRequests++
	d := f.routing.StartDispatch(now, sqroute.DispatchConfig{Endpoint: id, Query: q, CachedTokens: cached, Imported: imported})
	return &dispatch{endpoint: p, routed: d, hostPort: p.view.GetAddress()}, true
}

func (f *fleet) recordFirstToken(now time.Time, d *dispatch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.routing.RecordFirstToken(now, &d.routed)
}

func (f *fleet) finishDispatch(now time.Time, d *dispatch, r sqroute.DispatchResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d.endpoint.runningRequests--
	f.routing.FinishDispatch(now, &d.routed, r)
}

func (f *fleet) acceptsNewWork(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.endpoints[id]
	return ok && !p.unavailable()
}

// address returns the address of an endpoint, or "".
func (f *fleet) address(id string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p, ok := f.endpoints[id]; ok {
		return p.view.GetAddress()
	}
	return ""
}
