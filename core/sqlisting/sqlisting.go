// Package sqlisting keeps the revisions of the list of endpoints that gateways use, and
// what changed between them. A gateway that has a recent revision is sent the changes
// only, so that the cost of a change does not grow with the number of endpoints.
package sqlisting

import "sequoiadock/core/sqplace"

// maxChanges is how many changed entries are kept. A gateway that has missed more of them
// is sent the whole list.
const maxChanges = 2048

// History holds the current list and its recent changes. It is not safe for concurrent use.
type History struct {
	revision uint64
	list     []sqplace.Endpoint
	// byID holds the index in list of each endpoint.
	byID    map[string]int
	changes []change
	// oldest is the oldest revision since which all changes are kept.
	oldest uint64
}

// change says that an entry was added, changed or removed with a revision.
type change struct {
	revision uint64
	id       string
}

// Delta is what changed since a revision.
type Delta struct {
	// Changed holds the entries that are new or different, Removed the IDs of those that
	// are gone.
	Changed []sqplace.Endpoint
	Removed []string
}

// New returns an empty history that begins after the given revision.
func New(revision uint64) *History { return &History{revision: revision, oldest: revision} }

// Revision returns the revision of the current list.
func (h *History) Revision() uint64 { return h.revision }

// Endpoints returns the current list, which the caller must not change.
func (h *History) Endpoints() []sqplace.Endpoint { return h.list }

// Update replaces the list. It returns false, and keeps the revision, if no entry changed;
// the first list is always a new revision.
func (h *History) Update(list []sqplace.Endpoint) bool {
	isFirst := h.byID == nil
	byID := make(map[string]int, len(list))
	var ids []string
	for i := range list {
		id := list[i].ID()
		byID[id] = i
		if old, ok := h.byID[id]; !ok || h.list[old] != list[i] {
			ids = append(ids, id)
		}
	}
	for i := range h.list {
		if _, ok := byID[h.list[i].ID()]; !ok {
			ids = append(ids, h.list[i].ID())
		}
	}
	h.list, h.byID = list, byID
	if !isFirst && len(ids) == 0 {
		return false
	}
	h.revision++
	if isFirst {
		h.oldest = h.revision
		return true
	}
	h.record(ids)
	return true
}

// record keeps the changed entries of the current revision, and drops those of the oldest
// revisions beyond maxChanges.
func (h *History) record(ids []string) {
	for _, id := range ids {
		h.changes = append(h.changes, change{h.revision, id})
	}
	for len(h.changes) > maxChanges {
		h.oldest = h.changes[0].revision
		n := 0
		for n < len(h.changes) && h.changes[n].revision == h.oldest {
			n++
		}
		h.changes = h.changes[n:]
	}
}

// Since returns what changed since a revision. It returns false if the whole list has to be
// sent, since the revision is unknown or too old.
func (h *History) Since(revision uint64) (Delta, bool) {
	var d Delta
	if revision < h.oldest || revision > h.revision {
		return d, false
	}
	seen := map[string]bool{}
	for i := len(h.changes) - 1; i >= 0 && h.changes[i].revision > revision; i-- {
		id := h.changes[i].id
		if seen[id] {
			continue
		}
		seen[id] = true
		if index, ok := h.byID[id]; ok {
			d.Changed = append(d.Changed, h.list[index])
		} else {
			d.Removed = append(d.Removed, id)
		}
	}
	return d, true
}

// Apply returns the list after a delta: the entries that stay in their order, then the new
// ones.
func (d Delta) Apply(list []sqplace.Endpoint) []sqplace.Endpoint {
	changed := make(map[string]sqplace.Endpoint, len(d.Changed))
	for _, e := range d.Changed {
		changed[e.ID()] = e
	}
	removed := make(map[string]bool, len(d.Removed))
	for _, id := range d.Removed {
		removed[id] = true
	}
	result := make([]sqplace.Endpoint, 0, len(list)+len(d.Changed))
	for _, e := range list {
		if removed[e.ID()] {
			continue
		}
		if c, ok := changed[e.ID()]; ok {
			e = c
			delete(changed, e.ID())
		}
		result = append(result, e)
	}
	for _, e := range d.Changed {
		if _, isNew := changed[e.ID()]; isNew {
			result = append(result, e)
		}
	}
	return result
}
