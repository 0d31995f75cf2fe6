package sqstate

import (
	"maps"
	"slices"
	"sort"

	"google.golang.org/protobuf/proto"

	"sequoiadock/core/sqcommand"
)

// maxCountWindows is the number of request-count windows above which the oldest
// reported ones are dropped.
const maxCountWindows = 16

// RoutingTable returns the version and the document of the current routing
// table. The version is 0 if no table has been declared. The caller must not
// modify the document.
func (s *State) RoutingTable() (version uint64, document []byte) {
	return s.tableVersion, s.tableDocument
}

// declare replaces the routing table if the version is higher than the current
// one. Any other version is ignored without an error, because operators resend
// a table when the response was lost, and older tables may arrive late.
func (s *State) declare(d *sqcommand.Declare) *sqcommand.Result {
	if d.GetVersion() > s.tableVersion {
		s.tableVersion = d.GetVersion()
		s.tableDocument = append([]byte(nil), d.GetDocument()...)
	}
	return &sqcommand.Result{Version: s.tableVersion}
}

// CountWindows returns the retained windows of request counts, oldest first.
func (s *State) CountWindows() []*sqcommand.CountWindow {
	all := make([]*sqcommand.CountWindow, 0, len(s.countWindows))
	for _, w := range s.countWindows {
		all = append(all, proto.CloneOf(w))
	}
	return all
}

// LastCountWindow returns the number of the newest window of request counts, or
// 0 if there is none.
func (s *State) LastCountWindow() uint64 {
	if len(s.countWindows) == 0 {
		return 0
	}
	return s.countWindows[len(s.countWindows)-1].GetWindow()
}

// freezeCounts records the request counts of a window. If the window already
// has counts, they are kept and returned, so every lease holder reports the same
// figures.
func (s *State) freezeCounts(f *sqcommand.FreezeCounts) *sqcommand.Result {
	for _, w := range s.countWindows {
		if w.GetWindow() == f.GetWindow() {
			return &sqcommand.Result{Counts: proto.CloneOf(w)}
		}
	}
	w := &sqcommand.CountWindow{Window: f.GetWindow()}
	for _, c := range f.GetCounts() {
		w.Counts = append(w.Counts, proto.CloneOf(c))
	}
	s.countWindows = append(s.countWindows, w)
	sort.Slice(s.countWindows, func(i, j int) bool {
		return s.countWindows[i].GetWindow() < s.countWindows[j].GetWindow()
	})
	for len(s.countWindows) > maxCountWindows && s.countWindows[0].GetReported() {
		s.countWindows = s.countWindows[1:]
	}
	return &sqcommand.Result{Counts: proto.CloneOf(w)}
}

func (s *State) markCounts(m *sqcommand.MarkCounts) *sqcommand.Result {
	for _, w := range s.countWindows {
		if w.GetWindow() == m.GetWindow() {
			w.Reported = true
		}
	}
	return &sqcommand.Result{Version: s.tableVersion}
}

// InitialEndpoints returns how many endpoints the service had before any were
// ordered, or 0 if that number has not been recorded.
func (s *State) InitialEndpoints(service string) int { return int(s.initialEndpoints[service]) }

// fixFirstFleet records the initial number of endpoints of a service. The first
// recorded number is kept, so every lease holder plans its orders from the same
// number.
func (s *State) fixFirstFleet(f *sqcommand.FirstFleet) *sqcommand.Result {
	if s.initialEndpoints[f.GetService()] == 0 {
		s.initialEndpoints[f.GetService()] = f.GetEndpoints()
	}
	return &sqcommand.Result{Version: s.tableVersion}
}

func (s *State) sortedFirstFleets() []*sqcommand.FirstFleet {
	var list []*sqcommand.FirstFleet
	for _, service := range slices.Sorted(maps.Keys(s.initialEndpoints)) {
		list = append(list, &sqcommand.FirstFleet{Service: service, Endpoints: s.initialEndpoints[service]})
	}
	return list
}

func (s *State) restoreRoutingState(in *sqcommand.State) {
	s.tableVersion = in.GetTableVersion()
	s.tableDocument = append([]byte(nil), in.GetTableDocument()...)
	for _, w := range in.GetCountWindows() {
		s.countWindows = append(s.countWindows, proto.CloneOf(w))
	}
	for _, f := range in.GetFirstFleets() {
		s.initialEndpoints[f.GetService()] = f.GetEndpoints()
	}
	for _, p := range in.GetQuarantinedTraits() {
		s.quarantined = append(s.quarantined, proto.CloneOf(p))
	}
}
