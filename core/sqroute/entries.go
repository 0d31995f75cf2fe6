package sqroute

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// SetEntries sets the names of all entries that share the fleet, and which of
// them is this one. The entries have a different order at each endpoint, so
// that entries with the same knowledge that decide at the same time choose
// different endpoints.
func (f *Fleet) SetEntries(self string, entries []string) {
	f.self = self
	f.entries = slices.Clone(entries)
	slices.Sort(f.entries)
	f.entries = slices.Compact(f.entries)
	f.rankEntries()
}

// rankEntries computes the entry's rank at each endpoint. All entries sort the
// endpoints in the same order and assign first ranks round-robin. Hashing entry
// and endpoint names together instead would give some entries many first ranks
// and others none.
func (f *Fleet) rankEntries() {
	selfIndex := slices.Index(f.entries, f.self)
	indexes := make([]uint32, 0, len(f.indexByID))
	for _, index := range f.indexByID {
		indexes = append(indexes, index)
	}
	slices.SortFunc(indexes, func(a, b uint32) int { return f.compareIDHash(a, b) })
	for i, index := range indexes {
		f.nodes[index].entryRank = -1
		if selfIndex >= 0 && len(f.entries) > 1 {
			rank := (i + len(f.entries) - selfIndex) % len(f.entries)
			f.nodes[index].entryRank = float64(rank) / float64(len(f.entries)-1)
		}
	}
}

func (f *Fleet) compareIDHash(a, b uint32) int {
	x, y := xxhash.Sum64String(f.nodes[a].endpoint.ID()), xxhash.Sum64String(f.nodes[b].endpoint.ID())
	if x < y {
		return -1
	}
	if x > y {
		return 1
	}
	return 0
}
