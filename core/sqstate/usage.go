package sqstate

import (
	"sort"
	"strconv"

	"google.golang.org/protobuf/proto"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
)

// usageKey is what usage is summed by.
type usageKey struct {
	team, service, model string
}

// usageTable counts batches once and freezes billing windows.
type usageTable struct {
	maxWindows int
	maxSources int
	// sources has the last number counted of each entry run.
	sources map[string]*sqcommand.UsageSource
	open    map[usageKey]*sqcommand.UsageLine
	// openFrom is when the open usage began, in Unix nanoseconds.
	openFrom   int64
	lastWindow uint64
	// windows is in rising order of number.
	windows []*sqcommand.UsageWindow
}

func newUsageTable(windows, sources int) usageTable {
	return usageTable{
		maxWindows: windows,
		maxSources: sources,
		sources:    make(map[string]*sqcommand.UsageSource),
		open:       make(map[usageKey]*sqcommand.UsageLine),
	}
}

// record counts a batch if it is the next of its entry run. An older number is
// a resend and changes nothing. A number that skips one is refused, because to
// accept it would make the missing batch look like a resend.
func (t *usageTable) record(at int64, b *sqcommand.UsageBatch) *sqcommand.Result {
	src := t.sources[b.GetRun()]
	last := src.GetNumber()
	if b.GetNumber() <= last {
		return &sqcommand.Result{Version: last}
	}
	if b.GetNumber() != last+1 {
		res := failure(sqerror.Conflict, "batch "+strconv.FormatUint(b.GetNumber(), 10)+" skips "+strconv.FormatUint(last+1, 10))
		res.Version = last
		return res
	}
	t.sources[b.GetRun()] = &sqcommand.UsageSource{Run: b.GetRun(), Number: b.GetNumber(), SeenUnixNano: at}
	t.dropOldestSource()
	for _, l := range b.GetLines() {
		t.add(l)
	}
	return &sqcommand.Result{Version: b.GetNumber()}
}

func (t *usageTable) add(l *sqcommand.UsageLine) {
	key := usageKey{l.GetTeam(), l.GetService(), l.GetModel()}
	sum := t.open[key]
	if sum == nil {
		sum = &sqcommand.UsageLine{Team: key.team, Service: key.service, Model: key.model}
		t.open[key] = sum
	}
	sum.PromptTokens += l.GetPromptTokens()
	sum.OutputTokens += l.GetOutputTokens()
	sum.Requests += l.GetRequests()
}

func (t *usageTable) dropOldestSource() {
	if len(t.sources) <= t.maxSources {
		return
	}
	var oldest *sqcommand.UsageSource
	for _, src := range t.sources {
		if oldest == nil || olderSource(src, oldest) {
			oldest = src
		}
	}
	delete(t.sources, oldest.GetRun())
}

func olderSource(a, b *sqcommand.UsageSource) bool {
	if a.GetSeenUnixNano() != b.GetSeenUnixNano() {
		return a.GetSeenUnixNano() < b.GetSeenUnixNano()
	}
	return a.GetRun() < b.GetRun()
}

// freeze closes the open usage into a window. Usage that arrives later goes
// into the next window: a frozen figure never changes.
func (t *usageTable) freeze(f *sqcommand.FreezeWindow) *sqcommand.Result {
	if f.GetWindow() <= t.lastWindow {
		return failure(sqerror.WindowFrozen, "window "+strconv.FormatUint(f.GetWindow(), 10)+" is frozen")
	}
	w := &sqcommand.UsageWindow{
		Window:       f.GetWindow(),
		FromUnixNano: f.GetFromUnixNano(),
		ToUnixNano:   f.GetToUnixNano(),
		Lines:        t.openLines(),
	}
	t.lastWindow = f.GetWindow()
	t.openFrom = f.GetToUnixNano()
	t.open = make(map[usageKey]*sqcommand.UsageLine)
	t.windows = append(t.windows, w)
	t.trimWindows()
	return &sqcommand.Result{Window: proto.CloneOf(w)}
}

// trimWindows forgets the oldest windows, but never one that is not reported.
func (t *usageTable) trimWindows() {
	for len(t.windows) > t.maxWindows && t.windows[0].GetReported() {
		t.windows = t.windows[1:]
	}
}

func (t *usageTable) markReported(n uint64) *sqcommand.Result {
	for _, w := range t.windows {
		if w.GetWindow() == n {
			w.Reported = true
			return &sqcommand.Result{Window: proto.CloneOf(w)}
		}
	}
	return failure(sqerror.NotFound, "no window "+strconv.FormatUint(n, 10))
}

func (t *usageTable) openLines() []*sqcommand.UsageLine {
	lines := make([]*sqcommand.UsageLine, 0, len(t.open))
	for _, l := range t.open {
		lines = append(lines, proto.CloneOf(l))
	}
	sort.Slice(lines, func(i, j int) bool { return lessLine(lines[i], lines[j]) })
	return lines
}

func lessLine(a, b *sqcommand.UsageLine) bool {
	if a.GetTeam() != b.GetTeam() {
		return a.GetTeam() < b.GetTeam()
	}
	if a.GetService() != b.GetService() {
		return a.GetService() < b.GetService()
	}
	return a.GetModel() < b.GetModel()
}

// UsageWindows returns the billing windows that are kept, oldest first.
func (s *State) UsageWindows() []*sqcommand.UsageWindow {
	all := make([]*sqcommand.UsageWindow, 0, len(s.usage.windows))
	for _, w := range s.usage.windows {
		all = append(all, proto.CloneOf(w))
	}
	return all
}

// LastUsageWindow returns the number of the newest frozen window, 0 for none.
func (s *State) LastUsageWindow() uint64 { return s.usage.lastWindow }

// OpenUsageStart returns when the open usage began, in Unix nanoseconds; 0
// before the first configuration.
func (s *State) OpenUsageStart() int64 { return s.usage.openFrom }
