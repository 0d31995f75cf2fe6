package sqcontrol

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoiadock/core/sqstate"
	"sequoiadock/io/sqrpc"
)

// entryList is the list of entries that every entry receives. It is built once per
// round, not for each watch, and sent only to entries that hold a different one.
// Otherwise the cost of a round would grow with the square of the number of
// entries.
type entryList struct {
	views []*sqrpc.EntryView
	hash  uint64
}

// rebuildEntryList builds the list from the entries' last reports.
func (h *holder) rebuildEntryList(now time.Time, t *termState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t.entryList = newEntryList(now, t)
}

func newEntryList(now time.Time, t *termState) entryList {
	var l entryList
	d := xxhash.New()
	for _, e := range t.entries.Entries() {
		v := &sqrpc.EntryView{
			Entry: e.Name(), Zone: e.Zone(), Address: e.Address(), Internal: e.InternalAddress(),
			Leaving: e.Leaving(), Fresh: t.entries.HasLease(now, e), Load: e.Load(),
		}
		l.views = append(l.views, v)
		_, _ = d.Write(sqstate.Encode(v))
	}
	l.hash = d.Sum64()
	return l
}

// fillEntries adds the list to the response for an entry that does not hold it. The
// list is rebuilt if it lacks the entry, or if the entry has announced that it
// stops or has changed its address.
func (h *holder) fillEntries(now time.Time, t *termState, req *sqrpc.WatchRequest, res *sqrpc.WatchResponse) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !t.entryList.isCurrentFor(req) {
		t.entryList = newEntryList(now, t)
	}
	res.EntriesHash = t.entryList.hash
	if req.GetKnownEntries() != t.entryList.hash {
		res.Entries = t.entryList.views
	}
}

func (l *entryList) isCurrentFor(req *sqrpc.WatchRequest) bool {
	for _, v := range l.views {
		if v.GetEntry() == req.GetEntry() {
			return v.GetLeaving() == req.GetLeaving() && v.GetAddress() == req.GetAddress()
		}
	}
	return false
}

// fillShares adds an entry's shares to the response if they changed.
func (h *holder) fillShares(now time.Time, t *termState, req *sqrpc.WatchRequest, res *sqrpc.WatchResponse) {
	shares := h.shares(now, t, req.GetEntry())
	d := xxhash.New()
	for _, s := range shares {
		_, _ = d.Write(sqstate.Encode(s))
	}
	res.SharesHash = d.Sum64()
	if req.GetKnownShares() != res.SharesHash {
		res.Shares = shares
	}
}
