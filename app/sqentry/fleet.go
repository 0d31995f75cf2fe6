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

// States of endpoints, as the holder names them.
const (
	stateLive    = "live"
	stateLeaving = "leaving"
)

// endpoint is one back end with the entry's own work at it.
type endpoint struct {
	view *sqrpc.EndpointView
	// closedAt is when it stopped being live; zero while it is.
	closedAt time.Time
	// running counts the entry's requests there, of which the holder must hear
	// before it gives an order.
	running int
	// misses counts the polls without an answer since the last one with.
	misses int
	reading
}

// missesToClose is how many polls may go without an answer before an endpoint
// gets no new work.
const missesToClose = 3

func (p *endpoint) live() bool { return p.view.GetState() == stateLive }

func (p *endpoint) closed() bool { return !p.live() || p.misses >= missesToClose }

// fleet guards the routing policy, which is pure, for concurrent use.
type fleet struct {
	mu      sync.Mutex
	routing *sqroute.Fleet
	router  sqcore.Router
	points  map[string]*endpoint
	order   []string
	// query is what the router is being asked; it keeps no pointer to it.
	query sqroute.Query
	// self is the entry's own name; sharers are the entries that read endpoints
	// for all.
	self    string
	sharers []sqreader.Node
}

// newFleet returns a fleet without endpoints.
func newFleet(zone string, seed uint64, router string) *fleet {
	routing := sqroute.NewFleet(sqroute.Config{Zone: zone, Seed: seed}, sqcache.New(sqcache.Config{}))
	return &fleet{routing: routing, router: newRouter(router, routing), points: map[string]*endpoint{}}
}

// setEntries tells the policy who else shares the fleet.
func (f *fleet) setEntries(self string, views []*sqrpc.EntryView) {
	names := make([]string, 0, len(views))
	for _, v := range views {
		names = append(names, v.GetEntry())
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.routing.SetEntries(self, names)
	f.share(self, views)
}

// speed returns what one engine of a model was seen to do in a second.
func (f *fleet) speed(model string) (prefill, decode float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.routing.Throughput(model)
}

// set takes the holder's list.
func (f *fleet) set(now time.Time, views []*sqrpc.EndpointView) {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := make(map[string]bool, len(views))
	f.order = f.order[:0]
	for _, v := range views {
		seen[v.GetId()] = true
		f.order = append(f.order, v.GetId())
		f.setOne(now, v)
	}
	for id, p := range f.points {
		if !seen[id] && p.running == 0 {
			delete(f.points, id)
		}
	}
	f.publish(now)
	f.assign()
}

func (f *fleet) setOne(now time.Time, v *sqrpc.EndpointView) {
	p, ok := f.points[v.GetId()]
	if !ok || p.view.GetAddress() != v.GetAddress() {
		p = &endpoint{view: v}
		f.points[v.GetId()] = p
	}
	p.view = v
	if p.live() {
		p.closedAt = time.Time{}
	} else if p.closedAt.IsZero() {
		p.closedAt = now
	}
}

// publish hands the endpoints to the policy; the lock is held.
func (f *fleet) publish(now time.Time) {
	list := make([]sqroute.Endpoint, 0, len(f.order))
	for _, id := range f.order {
		p := f.points[id]
		role, _ := sqroute.ParseRole(p.view.GetRole())
		list = append(list, sqroute.NewEndpoint(sqroute.EndpointConfig{
			ID:            id,
			Zone:          p.view.GetZone(),
			Kind:          p.view.GetKind(),
			Models:        p.view.GetModels(),
			Role:          role,
			Cheap:         p.view.GetCheap(),
			Unschedulable: p.closed(),
		}))
	}
	f.routing.SetEndpoints(now, list)
}

// setOthers takes the other entries' loads.
func (f *fleet) setOthers(now time.Time, loads []*sqrpc.EndpointLoad) {
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

// route chooses an endpoint and says why.
func (f *fleet) route(now time.Time, cfg sqroute.QueryConfig) (sqroute.Choice, []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	q := sqroute.NewQuery(cfg)
	c := f.router.Route(now, &q)
	return c, f.router.Explain(now, &q, c)
}

// estimate chooses an endpoint without keeping why.
func (f *fleet) estimate(now time.Time, cfg sqroute.QueryConfig) sqroute.Choice {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.query = sqroute.NewQuery(cfg)
	return f.router.Route(now, &f.query)
}

// routeDecode chooses an engine that can go on with an answer that another one
// began, or "".
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
	if c.Decode() != "" {
		to = c.Decode()
	}
	if to == from || to == "" || f.isPrefill(to) {
		return "", nil
	}
	return to, f.router.Explain(now, &q, c)
}

func (f *fleet) isPrefill(id string) bool {
	p, ok := f.points[id]
	return ok && p.view.GetRole() == sqroute.RolePrefill.String()
}

// dispatch is one request at one endpoint.
type dispatch struct {
	point  *endpoint
	ticket sqroute.Dispatch
	// where is the address at the begin; the endpoint's view changes later, under
	// the lock that a request does not hold.
	where string
}

// address returns where the endpoint listens.
func (d *dispatch) address() string { return d.where }

// begin notes a request at an endpoint. It fails when the endpoint takes no new
// work, in the same step in which the holder hears that no work is left: so no
// request can slip in between.
func (f *fleet) begin(now time.Time, id string, q *sqroute.Query, cached int, imported, goesOn bool) (*dispatch, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.points[id]
	if !ok || p.closed() && !goesOn {
		return nil, false
	}
	p.running++
	t := f.routing.StartDispatch(now, sqroute.DispatchConfig{Endpoint: id, Query: q, CachedTokens: cached, Imported: imported})
	return &dispatch{point: p, ticket: t, where: p.view.GetAddress()}, true
}

func (f *fleet) firstToken(now time.Time, d *dispatch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.routing.RecordFirstToken(now, &d.ticket)
}

func (f *fleet) done(now time.Time, d *dispatch, r sqroute.DispatchResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d.point.running--
	f.routing.FinishDispatch(now, &d.ticket, r)
}

// accepts reports whether an endpoint still takes new work.
func (f *fleet) accepts(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.points[id]
	return ok && !p.closed()
}

// address returns where an endpoint listens, or "".
func (f *fleet) address(id string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p, ok := f.points[id]; ok {
		return p.view.GetAddress()
	}
	return ""
}
