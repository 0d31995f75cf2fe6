package sqstate

import (
	"sort"
	"strconv"

	"google.golang.org/protobuf/proto"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
)

// usageKey identifies the counter that a usage line is added to.
type usageKey struct {
	team, service, model string
}

// usageTable adds up usage batches, counting each batch once, and freezes the
// totals into billing windows.
type usageTable struct {
	maxWindows int
	maxSources int
	// sources holds the last batch number counted for each run of an entry
	// process, by run ID.
	sources map[string]*sqcommand.UsageSource
	// openByKey holds the usage that is not frozen into a window yet.
	openByKey map[usageKey]*sqcommand.UsageLine
	// openStart is the start of the period that openByKey covers, in Unix
	// nanoseconds.
	openStart  int64
	lastWindow uint64
	// windows is sorted by window number, ascending.
	windows []*sqcommand.UsageWindow
}

func newUsageTable(maxWindows, maxSources int) usageTable {
	return usageTable{
		maxWindows: maxWindows,
		maxSources: maxSources,
		sources:    make(map[string]*sqcommand.UsageSource),
		openByKey:  make(map[usageKey]*sqcommand.UsageLine),
	}
}

// record counts a batch if it is the next one of its run. A batch with an older
// number is a resend and changes nothing. A batch that skips a number is
// rejected: accepting it would make the missing batch look like a resend when
// it arrives.
func (t *usageTable) record(atUnixNano int64, b *sqcommand.UsageBatch) *sqcommand.Result {
	src := t.sources[b.GetRun()]
	last := src.GetNumber()
	if b.GetNumber() <= last {
		return &sqcommand.Result{Version: last}
	}
	if b.GetNumber() != last+1 {
		res := errorResult(sqerror.Conflict, "batch "+strconv.FormatUint(b.GetNumber(), 10)+" skips "+strconv.FormatUint(last+1, 10))
		res.Version = last
		return res
	}
	t.sources[b.GetRun()] = &sqcommand.UsageSource{Run: b.GetRun(), Number: b.GetNumber(), SeenUnixNano: atUnixNano}
	t.evictOldestSource()
	for _, l := range b.GetLines() {
		t.add(l)
	}
	return &sqcommand.Result{Version: b.GetNumber()}
}

func (t *usageTable) add(l *sqcommand.UsageLine) {
	key := usageKey{l.GetTeam(), l.GetService(), l.GetModel()}
	total := t.openByKey[key]
	if total == nil {
		total = &sqcommand.UsageLine{Team: key.team, Service: key.service, Model: key.model}
		t.openByKey[key] = total
	}
	total.PromptTokens += l.GetPromptTokens()
	total.OutputTokens += l.GetOutputTokens()
	total.Requests += l.GetRequests()
}

func (t *usageTable) evictOldestSource() {
	if len(t.sources) <= t.maxSources {
		return
	}
	var oldest *sqcommand.UsageSource
	for _, src := range t.sources {
		if oldest == nil || isOlderSource(src, oldest) {
			oldest = src
		}
	}
	delete(t.sources, oldest.GetRun())
}

func isOlderSource(a, b *sqcommand.UsageSource) bool {
	if a.GetSeenUnixNano() != b.GetSeenUnixNano() {
		return a.GetSeenUnixNano() < b.GetSeenUnixNano()
	}
	return a.GetRun() < b.GetRun()
}

// freeze moves the open usage into a new window. The totals of a frozen window
// never change; usage that arrives later is counted in the next window.
func (t *usageTable) freeze(f *sqcommand.FreezeWindow) *sqcommand.Result {
	if f.GetWindow() <= t.lastWindow {
		return errorResult(sqerror.WindowFrozen, "window "+strconv.FormatUint(f.GetWindow(), 10)+" is frozen")
	}
	w := &sqcommand.UsageWindow{
		Window:       f.GetWindow(),
		FromUnixNano: f.GetFromUnixNano(),
		ToUnixNano:   f.GetToUnixNano(),
		Lines:        t.openLines(),
	}
	t.lastWindow = f.GetWindow()
	t.openStart = f.GetToUnixNano()
	t.openByKey = make(map[usageKey]*sqcommand.UsageLine)
	t.windows = append(t.windows, w)
	t.trimWindows()
	return &sqcommand.Result{Window: proto.CloneOf(w)}
}

// trimWindows drops the oldest windows beyond maxWindows, but never a window
// that has not been reported.
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
	return errorResult(sqerror.NotFound, "no window "+strconv.FormatUint(n, 10))
}

func (t *usageTable) openLines() []*sqcommand.UsageLine {
	lines := make([]*sqcommand.UsageLine, 0, len(t.openByKey))
	for _, l := range t.openByKey {
		lines = append(lines, proto.CloneOf(l))
	}
	sort.Slice(lines, func(i, j int) bool { return usageLineLess(lines[i], lines[j]) })
	return lines
}

func usageLineLess(a, b *sqcommand.UsageLine) bool {
	if a.GetTeam() != b.GetTeam() {
		return a.GetTeam() < b.GetTeam()
	}
	if a.GetService() != b.GetService() {
		return a.GetService() < b.GetService()
	}
	return a.GetModel() < b.GetModel()
}

// UsageWindows returns the retained billing windows, oldest first.
func (s *State) UsageWindows() []*sqcommand.UsageWindow {
	all := make([]*sqcommand.UsageWindow, 0, len(s.usage.windows))
	for _, w := range s.usage.windows {
		all = append(all, proto.CloneOf(w))
	}
	return all
}

// LastUsageWindow returns the number of the newest frozen window, or 0 if there
// is none.
func (s *State) LastUsageWindow() uint64 { return s.usage.lastWindow }

// OpenUsageStart returns the start of the usage that is not frozen yet, in Unix
// nanoseconds, or 0 before the first configuration is published.
func (s *State) OpenUsageStart() int64 { return s.usage.openStart }
