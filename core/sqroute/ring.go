package sqroute

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// virtualNodesPerEndpoint is the number of points of each endpoint on the hash
// ring.
const virtualNodesPerEndpoint = 16

// homesPerPrefix is the number of endpoints to which a new prefix is assigned.
const homesPerPrefix = 3

// ringPoint is one virtual node of an endpoint on the hash ring.
type ringPoint struct {
	hash  uint64
	index uint32
}

// buildRing builds the consistent-hash ring that assigns prefixes to endpoints.
// It depends only on the endpoint identities, so all entries build the same
// ring.
func (f *Fleet) buildRing(g *group) {
	g.generations = f.memberGenerations(g)
	g.ring = make([]ringPoint, 0, virtualNodesPerEndpoint*len(g.members))
	for _, index := range g.members {
		id := f.nodes[index].endpoint.ID()
		for i := range virtualNodesPerEndpoint {
			hash := xxhash.Sum64String(id + "/" + strconv.Itoa(i))
			g.ring = append(g.ring, ringPoint{hash: hash, index: index})
		}
	}
	slices.SortFunc(g.ring, func(a, b ringPoint) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
}

// maxRingSteps bounds the search for homes when most endpoints are unusable.
const maxRingSteps = 64

// ringPosition returns the position of the first ring point at or after a
// prefix's hash.
func (g *group) ringPosition(prefix uint64) int {
	low, high := 0, len(g.ring)
	for low < high {
		middle := (low + high) / 2
		if g.ring[middle].hash < prefix {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}
