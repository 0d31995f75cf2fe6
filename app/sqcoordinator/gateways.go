package sqcoordinator

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"sequoiadock/core/sqdirectory"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqspeed"
	"sequoiadock/io/sqlog"
	"sequoiadock/io/sqrpc"
)

const (
	// gatewayListedTimeout is how long after its last heartbeat a gateway stays in the
	// directory for callers and its in-flight requests are passed on to other gateways.
	gatewayListedTimeout = 1500 * time.Millisecond
	// gatewayLostTimeout is how long a silent gateway still counts among the gateways
	// that share limits, since it may have spent its share. It is also how long the
	// announcement of a coordinator stays valid.
	gatewayLostTimeout = 12 * time.Second
	// silenceCheckInterval is the period of looking for silent gateways.
	silenceCheckInterval = 100 * time.Millisecond
	// loadSumInterval is how long all gateways are sent the same sum of the loads.
	loadSumInterval = 100 * time.Millisecond
)

// gateway is the state of a gateway as of its last heartbeat.
type gateway struct {
	address    *sqrpc.GatewayAddress
	runID      string
	leaving    bool
	lastBeatAt time.Time
	// inFlight is the gateway's load by endpoint ID. While counted is set, the registry's
	// sums include it.
	inFlight map[string]inFlight
	counted  bool
	// number is that of the last heartbeat, includedBeat that of the one whose load is in
	// the registry's encoded sum, or 0.
	number, includedBeat uint64
	// demand is cumulative since the gateway started, by service.
	demand map[string]*sqrpc.ServiceDemand
	// utilization is how much of its VM the gateway uses.
	utilization sqdirectory.Utilization
}

// inFlight is the work that is in flight at an endpoint.
type inFlight struct {
	running        uint32
	uncachedTokens uint64
	memoryTokens   uint64
	bodyBytes      uint64
}

func (l *inFlight) add(other inFlight) {
	l.running += other.running
	l.uncachedTokens += other.uncachedTokens
	l.memoryTokens += other.memoryTokens
	l.bodyBytes += other.bodyBytes
}

func (l *inFlight) subtract(other inFlight) {
	l.running -= other.running
	l.uncachedTokens -= other.uncachedTokens
	l.memoryTokens -= other.memoryTokens
	l.bodyBytes -= other.bodyBytes
}

// fill sets the fields of the message about the endpoint.
func (l *inFlight) fill(m *sqrpc.InFlight, id string) {
	m.Id, m.Running, m.UncachedTokens, m.MemoryTokens, m.BodyBytes = id, l.running, l.uncachedTokens, l.memoryTokens, l.bodyBytes
}

// inFlightSum is the sum of what a number of gateways have in flight at an endpoint.
type inFlightSum struct {
	inFlight
	gateways int
}

// gatewayRegistry holds the gateways that send heartbeats. It keeps the sums over them up
// to date, so that the cost of a heartbeat does not grow with the number of gateways. The
// coordinator's mu guards it.
type gatewayRegistry struct {
	log    *sqlog.Log
	byName map[string]*gateway
	// inFlight sums the loads of the gateways that are not silent, by endpoint ID.
	inFlight map[string]*inFlightSum
	// directory holds the gateways to which callers may be directed, sorted by address.
	// directoryRevision changes with it.
	directory         []*sqrpc.GatewayAddress
	directoryRevision uint64
	// checkedAt is when silent gateways were last looked for. changed is set if the
	// directory has to be made anew before that is due.
	checkedAt time.Time
	changed   bool
	// overloads says which gateways callers are not directed to for a while.
	overloads *sqdirectory.Overloads
	// loadSum is the encoded sum of the loads as of loadSumAt.
	loadSum   []byte
	loadSumAt time.Time
	// speeds merges what endpoints reported of their speed to all gateways.
	speeds *sqspeed.Merger
}

func newGatewayRegistry(log *sqlog.Log, term uint64) *gatewayRegistry {
	return &gatewayRegistry{
		log: log, byName: map[string]*gateway{}, inFlight: map[string]*inFlightSum{}, directoryRevision: term << counterBits, changed: true,
		overloads: sqdirectory.NewOverloads(), speeds: sqspeed.NewMerger(),
	}
}

// record records a heartbeat. It returns the demand that the gateway reported before, and
// nil if the gateway has just started.
func (r *gatewayRegistry) record(now time.Time, req *sqrpc.BeatRequest, demand map[string]*sqrpc.ServiceDemand) map[string]*sqrpc.ServiceDemand {
	gw := r.gateway(req)
	if req.GetLeaving() && !gw.leaving {
		r.log.Event(sqevent.GatewayLeaving, req.GetGateway())
	}
	if req.GetLeaving() != gw.leaving || req.GetAddress() != gw.address.GetAddress() {
		r.changed = true
	}
	gw.leaving, gw.lastBeatAt = req.GetLeaving(), now
	gw.address, gw.utilization = r.newAddress(req), toUtilization(req.GetUtilization())
	gw.number = req.GetNumber()
	r.uncount(gw)
	gw.inFlight = make(map[string]inFlight, len(req.GetLoads()))
	for _, l := range req.GetLoads() {
		gw.inFlight[l.GetId()] = inFlight{
			running: l.GetRunning(), uncachedTokens: l.GetUncachedTokens(), memoryTokens: l.GetMemoryTokens(), bodyBytes: l.GetBodyBytes(),
		}
	}
	r.count(gw)
	r.recordSpeeds(now, req)
	previous := gw.demand
	gw.demand = demand
	return previous
}

// gateway returns the gateway that sent the heartbeat. After a restart it is a new one.
func (r *gatewayRegistry) gateway(req *sqrpc.BeatRequest) *gateway {
	gw := r.byName[req.GetGateway()]
	if gw != nil && gw.runID == req.GetRun() {
		return gw
	}
	if gw != nil {
		r.uncount(gw)
	}
	gw = &gateway{runID: req.GetRun()}
	r.byName[req.GetGateway()] = gw
	r.changed = true
	r.log.Event(sqevent.GatewayFound, req.GetGateway(), req.GetRun(), req.GetZone())
	return gw
}

// count adds the gateway's load to the sums.
func (r *gatewayRegistry) count(gw *gateway) {
	gw.counted = true
	for id, l := range gw.inFlight {
		sum := r.inFlight[id]
		if sum == nil {
			sum = &inFlightSum{}
			r.inFlight[id] = sum
		}
		sum.gateways++
		sum.add(l)
	}
}

// uncount subtracts the gateway's load from the sums, if they include it.
func (r *gatewayRegistry) uncount(gw *gateway) {
	if !gw.counted {
		return
	}
	gw.counted = false
	for id, l := range gw.inFlight {
		sum := r.inFlight[id]
		sum.gateways--
		sum.subtract(l)
		if sum.gateways == 0 {
			delete(r.inFlight, id)
		}
	}
}

// checkSilence drops gateways that have been silent for too long from the directory, the
// sums and the registry. It does nothing if that was done a short time ago.
func (r *gatewayRegistry) checkSilence(now time.Time) {
	if !r.changed && now.Sub(r.checkedAt) < silenceCheckInterval {
		return
	}
	r.checkedAt, r.changed = now, false
	var listed []string
	for name, gw := range r.byName {
		silence := now.Sub(gw.lastBeatAt)
		if silence > gatewayListedTimeout {
			r.uncount(gw)
		} else if !gw.leaving {
			listed = append(listed, name)
		}
		if silence > gatewayLostTimeout {
			r.log.Event(sqevent.GatewayLost, name)
			delete(r.byName, name)
		}
	}
	r.updateOverloads(now, listed)
	directory := make([]*sqrpc.GatewayAddress, 0, len(listed))
	for _, name := range listed {
		directory = append(directory, r.byName[name].address)
	}
	slices.SortFunc(directory, func(a, b *sqrpc.GatewayAddress) int { return strings.Compare(a.GetAddress(), b.GetAddress()) })
	if !slices.EqualFunc(directory, r.directory, sameAddress) {
		r.directory = directory
		r.directoryRevision++
	}
}

func sameAddress(a, b *sqrpc.GatewayAddress) bool {
	return a.GetAddress() == b.GetAddress() && a.GetZone() == b.GetZone() && a.GetRegion() == b.GetRegion() &&
		a.GetWeight() == b.GetWeight() && a.GetOverloaded() == b.GetOverloaded()
}

// encodedLoadSum returns the sum of the loads of all gateways, and the number of the
// heartbeat of the named gateway whose load it includes, or 0. It is made anew each
// loadSumInterval, so that the cost of a heartbeat does not grow with the endpoints.
func (r *gatewayRegistry) encodedLoadSum(now time.Time, name string) (encoded []byte, includedBeat uint64, err error) {
	if r.loadSumAt.IsZero() || now.Sub(r.loadSumAt) >= loadSumInterval {
		if r.loadSum, err = proto.Marshal(r.loadList(now)); err != nil {
			return nil, 0, err
		}
		r.loadSumAt = now
		for _, gw := range r.byName {
			gw.includedBeat = 0
			if gw.counted {
				gw.includedBeat = gw.number
			}
		}
	}
	if gw := r.byName[name]; gw != nil {
		includedBeat = gw.includedBeat
	}
	return r.loadSum, includedBeat, nil
}

// loadList returns the sums of the loads, and the speeds of the endpoints that report them.
func (r *gatewayRegistry) loadList(now time.Time) *sqrpc.InFlightList {
	list := &sqrpc.InFlightList{Loads: make([]*sqrpc.InFlight, 0, len(r.inFlight))}
	messages := make([]sqrpc.InFlight, len(r.inFlight))
	for id, sum := range r.inFlight {
		l := &messages[len(list.Loads)]
		sum.fill(l, id)
		if speed, ok := r.speeds.Speed(now, id); ok {
			l.SetSpeed(speed)
		}
		list.Loads = append(list.Loads, l)
	}
	r.addIdleSpeeds(now, list)
	return list
}

// othersInFlight returns the sums without the load of one gateway.
func (r *gatewayRegistry) othersInFlight(name string) []*sqrpc.InFlight {
	var own map[string]inFlight
	if gw := r.byName[name]; gw != nil && gw.counted {
		own = gw.inFlight
	}
	others := make([]*sqrpc.InFlight, 0, len(r.inFlight))
	messages := make([]sqrpc.InFlight, len(r.inFlight))
	for id, sum := range r.inFlight {
		l, isOwn := own[id]
		if isOwn && sum.gateways == 1 {
			continue
		}
		m := &messages[len(others)]
		rest := sum.inFlight
		rest.subtract(l)
		rest.fill(m, id)
		others = append(others, m)
	}
	return others
}
