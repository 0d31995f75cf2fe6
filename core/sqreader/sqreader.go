// Package sqreader decides which entries read the endpoints' own reports, and
// which endpoints an entry reads in a round. Every entry works it out from the
// list of entries and endpoints that all of them get, so that they agree without
// a word between them.
package sqreader

import "github.com/cespare/xxhash/v2"

// ReadersPerEndpoint is the number of entries that read an endpoint: one may be paused or cut
// off, and two that read at different times make readings younger.
const ReadersPerEndpoint = 2

// Node is an entry or an endpoint with its availability zone.
type Node struct {
	name string
	zone string
	hash uint64
}

// NewNode returns the place of an entry's name or an endpoint's identity.
func NewNode(name, zone string) Node {
	return Node{name: name, zone: zone, hash: xxhash.Sum64String(name)}
}

// Name returns the entry's name or the endpoint's identity.
func (p Node) Name() string { return p.name }

// Zone returns the availability zone.
func (p Node) Zone() string { return p.zone }

// rank orders the entries for one endpoint.
type rank struct {
	ok    bool
	near  bool
	score uint64
	index int
}

// before returns whether an entry reads rather than another one. An entry of the
// endpoint's zone goes first: bytes stay in the zone, and what one of them finds
// silent is not merely behind a cut between zones.
func (r rank) before(other rank) bool {
	if !other.ok || r.near != other.near {
		return !other.ok || r.near
	}
	return r.score > other.score || r.score == other.score && r.index < other.index
}

// Assigned returns for each endpoint whether self is one of its readers among the
// entries, which must have distinct names. It depends on nothing else, and an
// entry that comes or goes changes only the endpoints that it reads itself.
func Assigned(self string, entries, endpoints []Node) []bool {
	mine := make([]bool, len(endpoints))
	for i := range endpoints {
		first, second := readers(&endpoints[i], entries)
		mine[i] = first.ok && entries[first.index].name == self || second.ok && entries[second.index].name == self
	}
	return mine
}

// readers returns the two entries with the highest scores.
func readers(e *Node, entries []Node) (first, second rank) {
	for i := range entries {
		r := rank{ok: true, near: entries[i].zone == e.zone, score: mix(e.hash ^ mix(entries[i].hash)), index: i}
		switch {
		case r.before(first):
			first, second = r, first
		case r.before(second):
			second = r
		}
	}
	return first, second
}

// mix spreads the bits of a hash, so that the scores of one entry at different
// endpoints have nothing in common (the finalizer of MurmurHash3).
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
