package sqcontrol

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoiadock/core/sqstate"
	"sequoiadock/io/sqrpc"
)

// entryList is the list of entries as the entries themselves get it. It is made
// once a round and not for each watch, and sent only to those that hold another
// one: else the cost of a round would grow with the square of the entries.
type entryList struct {
	views []*sqrpc.EntryView
	hash  uint64
}

// listEntries makes the list anew.
func (h *holder) listEntries(now time.Time, t *tenure) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t.list = newEntryList(now, t)
}

func newEntryList(now time.Time, t *tenure) entryList {
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

// fillEntries gives the list to an entry that does not hold it. An entry that
// the list lacks, or that changed its announced stop, brings about a new one.
func (h *holder) fillEntries(now time.Time, t *tenure, req *sqrpc.WatchRequest, res *sqrpc.WatchResponse) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !t.list.has(req) {
		t.list = newEntryList(now, t)
	}
	res.EntriesHash = t.list.hash
	if req.GetKnownEntries() != t.list.hash {
		res.Entries = t.list.views
	}
}

func (l *entryList) has(req *sqrpc.WatchRequest) bool {
	for _, v := range l.views {
		if v.GetEntry() == req.GetEntry() {
			return v.GetLeaving() == req.GetLeaving() && v.GetAddress() == req.GetAddress()
		}
	}
	return false
}

// fillShares gives the entry its shares if they changed.
func (h *holder) fillShares(now time.Time, t *tenure, req *sqrpc.WatchRequest, res *sqrpc.WatchResponse) {
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
