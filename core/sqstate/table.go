package sqstate

import (
	"maps"
	"slices"
	"sort"

	"google.golang.org/protobuf/proto"

	"sequoiadock/core/sqcommand"
)

// maxCountWindows is how many reported windows of request counts are kept.
const maxCountWindows = 16

// RoutingTable returns the version and the document of the routing table in force; the
// version is 0 before the first. The document must not be changed.
func (s *State) RoutingTable() (version uint64, document []byte) {
	return s.tableVersion, s.tableDocument
}

// declare takes a routing table of a higher version. Operators send a table
// again after a lost answer, and older ones may arrive late, so any other
// version is no error and changes nothing.
func (s *State) declare(d *sqcommand.Declare) *sqcommand.Result {
	if d.GetVersion() > s.tableVersion {
		s.tableVersion = d.GetVersion()
		s.tableDocument = append([]byte(nil), d.GetDocument()...)
	}
	return &sqcommand.Result{Version: s.tableVersion}
}

// CountWindows returns the frozen windows of request counts, oldest first.
func (s *State) CountWindows() []*sqcommand.CountWindow {
	all := make([]*sqcommand.CountWindow, 0, len(s.countWindows))
	for _, w := range s.countWindows {
		all = append(all, proto.CloneOf(w))
	}
	return all
}

// LastCountWindow returns the newest frozen window of request counts, 0 for none.
func (s *State) LastCountWindow() uint64 {
	if len(s.countWindows) == 0 {
		return 0
	}
	return s.countWindows[len(s.countWindows)-1].GetWindow()
}

// freezeCounts fixes a window's counts once: whoever reports the window later
// reports the same figures.
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

// InitialEndpoints returns how many endpoints the service had before any were ordered,
// 0 if that was not fixed yet.
func (s *State) InitialEndpoints(service string) int { return int(s.firstFleets[service]) }

// fixFirstFleet keeps the first number for a service: whoever orders later goes
// by the same one.
func (s *State) fixFirstFleet(f *sqcommand.FirstFleet) *sqcommand.Result {
	if s.firstFleets[f.GetService()] == 0 {
		s.firstFleets[f.GetService()] = f.GetEndpoints()
	}
	return &sqcommand.Result{Version: s.tableVersion}
}

func (s *State) listFirstFleets() []*sqcommand.FirstFleet {
	var list []*sqcommand.FirstFleet
	for _, service := range slices.Sorted(maps.Keys(s.firstFleets)) {
		list = append(list, &sqcommand.FirstFleet{Service: service, Endpoints: s.firstFleets[service]})
	}
	return list
}

func (s *State) restoreTable(in *sqcommand.State) {
	s.tableVersion = in.GetTableVersion()
	s.tableDocument = append([]byte(nil), in.GetTableDocument()...)
	for _, w := range in.GetCountWindows() {
		s.countWindows = append(s.countWindows, proto.CloneOf(w))
	}
	for _, f := range in.GetFirstFleets() {
		s.firstFleets[f.GetService()] = f.GetEndpoints()
	}
}
