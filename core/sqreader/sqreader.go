// Package sqreader assigns endpoints to the entries that poll their load reports,
// and plans which endpoints an entry polls in a round. An entry is a process that
// accepts callers' requests. Every entry computes the assignment from the list of
// entries and endpoints that all of them receive, so that they agree without
// communication.
package sqreader

import "github.com/cespare/xxhash/v2"

// PollersPerEndpoint is the number of entries that poll an endpoint: one of them may
// be paused or disconnected, and two that poll at different times give more recent
// reports.
const PollersPerEndpoint = 2

// Node is an entry or an endpoint with its availability zone.
type Node struct {
	name string
	zone string
	hash uint64
}

// NewNode returns the node of an entry's name or an endpoint's ID.
func NewNode(name, zone string) Node {
	return Node{name: name, zone: zone, hash: xxhash.Sum64String(name)}
}

// Name returns the entry's name or the endpoint's ID.
func (n Node) Name() string { return n.name }

// Zone returns the availability zone.
func (n Node) Zone() string { return n.zone }

// candidate is an entry ranked as a reader of one endpoint; index is its position
// in the list of entries. The zero value is no candidate.
type candidate struct {
	valid    bool
	sameZone bool
	score    uint64
	index    int
}

// ranksAbove returns whether c is preferred to other. Entries in the endpoint's zone
// are preferred: traffic stays in the zone, and an endpoint that does not respond
// to them is not merely cut off by a partition between zones.
func (c candidate) ranksAbove(other candidate) bool {
	if !other.valid || c.sameZone != other.sameZone {
		return !other.valid || c.sameZone
	}
	return c.score > other.score || c.score == other.score && c.index < other.index
}

// Assigned returns, for each endpoint, whether the entry named self is one of its
// readers. The entries must have distinct names. The result depends on the
// arguments only, and an entry that joins or leaves changes only the assignment
// of the endpoints that it polls itself.
func Assigned(self string, entries, endpoints []Node) []bool {
	assigned := make([]bool, len(endpoints))
	for i := range endpoints {
		first, second := assignedReaders(&endpoints[i], entries)
		assigned[i] = first.valid && entries[first.index].name == self || second.valid && entries[second.index].name == self
	}
	return assigned
}

// assignedReaders returns the two candidates for an endpoint that rank highest.
func assignedReaders(e *Node, entries []Node) (first, second candidate) {
	for i := range entries {
		c := candidate{valid: true, sameZone: entries[i].zone == e.zone, score: mix(e.hash ^ mix(entries[i].hash)), index: i}
		switch {
		case c.ranksAbove(first):
			first, second = c, first
		case c.ranksAbove(second):
			second = c
		}
	}
	return first, second
}

// mix is the 64-bit finalizer of MurmurHash3. It makes the scores of an entry for
// different endpoints independent of each other.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
