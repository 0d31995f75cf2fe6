package sqentry

import (
	"sort"

	"sequoiadock/io/sqrpc"
)

type addressList struct {
	Addresses  []addressItem `json:"addresses"`
	KeepMillis int64         `json:"keepMillis"`
}

type addressItem struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// maxWeight is how many times as often the least loaded entry of a zone is
// listed first as an entry with at least eight times its load.
const maxWeight = 8

// turnStride is a prime, so that consecutive turns select entries spread over
// the whole list and every entry is selected.
const turnStride = 7919

// addressesFor lists the entries that take new requests: those of the caller's
// zone first, and within each group the less loaded ones first. The first entry
// of each group rotates with every query, weighted by the inverse of the load.
// Sending all callers to the least loaded entry would only move the load there,
// because loads are reported late and callers keep a list for some seconds.
func (e *entry) addressesFor(zone string) []addressItem {
	views := e.usableEntries()
	turn := int(e.sequence.Load())
	sort.SliceStable(views, func(i, j int) bool { return views[i].GetEntry() < views[j].GetEntry() })
	items := []addressItem{}
	for _, sameZone := range []bool{true, false} {
		var entries []*sqrpc.EntryView
		for _, v := range views {
			if (v.GetZone() == zone) == sameZone {
				entries = append(entries, v)
			}
		}
		for _, v := range orderForTurn(entries, turn) {
			items = append(items, addressItem{Address: v.GetAddress(), Zone: v.GetZone()})
		}
	}
	return items
}

// orderForTurn returns entries, which are sorted by name, in the order for one
// query.
func orderForTurn(entries []*sqrpc.EntryView, turn int) []*sqrpc.EntryView {
	if len(entries) == 0 {
		return nil
	}
	first := turnIndex(entries, turn)
	rest := append(append([]*sqrpc.EntryView(nil), entries[first+1:]...), entries[:first]...)
	sort.SliceStable(rest, func(i, j int) bool { return rest[i].GetLoad() < rest[j].GetLoad() })
	return append([]*sqrpc.EntryView{entries[first]}, rest...)
}

// turnIndex returns the index of the entry that the query lists first.
func turnIndex(entries []*sqrpc.EntryView, turn int) int {
	minLoad := entries[0].GetLoad()
	for _, v := range entries {
		minLoad = min(minLoad, v.GetLoad())
	}
	total := 0
	for _, v := range entries {
		total += listingWeight(v, minLoad)
	}
	offset := turn * turnStride % total
	for i, v := range entries {
		offset -= listingWeight(v, minLoad)
		if offset < 0 {
			return i
		}
	}
	return 0
}

func listingWeight(v *sqrpc.EntryView, minLoad uint32) int {
	return max(1, maxWeight>>min(v.GetLoad()-minLoad, maxLoadStep))
}

// usableEntries returns the entries that are fresh and not leaving. An entry
// that is missing from the holder's list adds itself, unless it is leaving.
func (e *entry) usableEntries() []*sqrpc.EntryView {
	var views []*sqrpc.EntryView
	self := false
	for _, v := range e.watch.View().Entries() {
		if v.GetEntry() == e.cfg.Name {
			self = true
			if e.leaving.Load() {
				continue
			}
		}
		if !v.GetLeaving() && v.GetFresh() && v.GetAddress() != "" {
			views = append(views, v)
		}
	}
	if !self && !e.leaving.Load() {
		views = append(views, &sqrpc.EntryView{Entry: e.cfg.Name, Zone: e.cfg.Zone, Address: e.callersAddress})
	}
	return views
}
