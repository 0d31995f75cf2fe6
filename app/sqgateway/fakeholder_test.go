package sqgateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqplace"
	"sequoiadock/core/sqtransfer"
	"sequoiadock/io/sqrpc"
)

// fakeLeaseHolder is a coordinator whose responses a test controls. While notHolder
// is set, it responds to heartbeats that it does not hold the lease.
type fakeLeaseHolder struct {
	sqrpc.Coordinator
	mu        sync.Mutex
	notHolder bool
	// term is the holder's term, 1 if it is 0.
	term     uint64
	freshFor time.Duration
	// fleetAge is how old the holder's list of endpoints is.
	fleetAge time.Duration
	table    []byte
	tables   sqtransfer.Store
	// withholdTable is set if the holder names the version but does not send its table.
	withholdTable bool
	// version is the version of the table, revision that of the fleet.
	version, revision uint64
	fleet             []sqplace.Endpoint
	lastRequest       *sqrpc.BeatRequest
	heartbeats        int
	suspects          []*sqrpc.Trait
	quarantines       []*sqrpc.Quarantine
	// crashes collects the reported crashes, limitReports what is reported of limits.
	crashes      []*sqrpc.CrashReport
	limitReports []*sqrpc.LimitReport
	// speeds collects what is reported of the speed of endpoints.
	speeds []*sqrpc.SpeedReport
	// limits are the limits of the next responses. Their permits are issued once.
	limits []*sqrpc.EndpointLimit
	// probes counts the requests for one send after a quarantine. The first one is granted.
	probes int
	// probed holds the traits of these requests.
	probed []*sqrpc.Trait
	// origins holds where streams began, by attempt.
	origins map[string]*sqrpc.StreamOrigin
	// answerQuota answers calls for units of a quota. Without it, the call is not known.
	answerQuota func(*sqrpc.GrantQuotaRequest) (*sqrpc.GrantQuotaResponse, error)
}

// Beat implements sqrpc.Coordinator.
func (h *fakeLeaseHolder) Beat(_ context.Context, req *sqrpc.BeatRequest) (*sqrpc.BeatResponse, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.notHolder {
		return nil, sqrpc.ToTwirp(sqerror.New(sqerror.Config{Kind: sqerror.NotHolder}))
	}
	h.lastRequest = req
	h.heartbeats++
	h.crashes = append(h.crashes, req.GetCrashes()...)
	h.speeds = append(h.speeds, req.GetSpeeds()...)
	h.limitReports = append(h.limitReports, req.GetLimitReports()...)
	for _, r := range req.GetLimitReports() {
		i := slices.IndexFunc(h.limits, func(l *sqrpc.EndpointLimit) bool { return l.GetEndpoint() == r.GetEndpoint() })
		switch {
		case r.GetNamed() && i < 0:
			h.limits = append(h.limits, &sqrpc.EndpointLimit{Endpoint: r.GetEndpoint(), PerSecond: r.GetPerSecond(), AgeMillis: r.GetAgeMillis()})
		case !r.GetNamed() && i >= 0:
			h.limits = slices.Delete(h.limits, i, i+1)
		}
	}
	for _, o := range req.GetOrigins() {
		h.origins[o.GetAttempt()] = o
	}
	res := &sqrpc.BeatResponse{
		FreshMillis: uint32(h.freshFor.Milliseconds()), TableVersion: h.version,
		FleetRevision: h.revision, FleetAgeMillis: uint32(h.fleetAge.Milliseconds()), GatewayCount: 1, TrueUnixNano: time.Now().UnixNano(), Holder: "holder",
		Suspects: h.suspects, Quarantines: h.quarantines, Term: max(1, h.term),
		Gateways: []*sqrpc.GatewayAddress{{Address: req.GetAddress(), Zone: req.GetZone()}},
	}
	for _, l := range h.limits {
		res.Limits = append(res.Limits, proto.CloneOf(l))
		l.Permits = 0
	}
	for i := range h.fleet {
		res.Endpoints = append(res.Endpoints, sqrpc.FromEndpoint(time.Now(), &h.fleet[i]))
	}
	return res, nil
}

// FindOrigin implements sqrpc.Coordinator.
func (h *fakeLeaseHolder) FindOrigin(_ context.Context, req *sqrpc.FindOriginRequest) (*sqrpc.FindOriginResponse, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return &sqrpc.FindOriginResponse{Origin: h.origins[req.GetAttempt()]}, nil
}

// Probe implements sqrpc.Coordinator.
func (h *fakeLeaseHolder) Probe(_ context.Context, req *sqrpc.ProbeRequest) (*sqrpc.ProbeResponse, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.probes++
	h.probed = append(h.probed, req.GetTrait())
	return &sqrpc.ProbeResponse{Granted: h.probes == 1, RetryAfterMillis: 2000}, nil
}

// Table implements sqrpc.Coordinator.
func (h *fakeLeaseHolder) Table(_ context.Context, req *sqrpc.TableRequest) (*sqrpc.TablePiece, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.withholdTable {
		return nil, sqrpc.ToTwirp(sqerror.New(sqerror.Config{Kind: sqerror.NotHolder}))
	}
	h.tables.Put(h.version, h.table)
	p, ok := h.tables.Piece(req.GetVersion(), int(req.GetOffset()), int(req.GetMaxBytes()))
	if !ok {
		return nil, sqrpc.ToTwirp(sqerror.New(sqerror.Config{Kind: sqerror.NotHolder}))
	}
	return &sqrpc.TablePiece{Version: p.Version, Offset: uint64(p.Offset), TotalBytes: uint64(p.Total), Data: p.Data}, nil
}

// update calls f, which may read and write the fields, with the lock held.
func (h *fakeLeaseHolder) update(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
}

// newFakeLeaseHolder returns a holder of the tests' routing table and the fleet.
func newFakeLeaseHolder(fleet ...sqplace.Endpoint) *fakeLeaseHolder {
	return &fakeLeaseHolder{freshFor: 4 * time.Second, table: testTable(3), version: 3, revision: 1, fleet: fleet,
		origins: map[string]*sqrpc.StreamOrigin{}}
}

// GrantQuota implements sqrpc.Coordinator.
func (h *fakeLeaseHolder) GrantQuota(_ context.Context, req *sqrpc.GrantQuotaRequest) (*sqrpc.GrantQuotaResponse, error) {
	return h.answerQuota(req)
}
