package sqdirectory

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

const (
	// minSameZone is the number of gateways in the caller's availability zone from which on
	// only those are named.
	minSameZone = 2
	// MaxAddresses is the maximum number of addresses in an answer to a caller.
	MaxAddresses = 64
	// entriesPerGateway is how many entries an answer has for each gateway it names, if
	// their weights differ and MaxAddresses allows it.
	entriesPerGateway = 4
)

// Gateway is a gateway that callers may be directed to.
type Gateway struct {
	Address string
	Zone    string
	// Weight is the share of callers that the gateway can take, relative to others; 0 means
	// that it is not known.
	Weight uint32
	// Overloaded is set while the gateway is left out.
	Overloaded bool
}

// Answer returns the gateways for callers of the zone: those of the zone, or all if the
// zone has fewer than minSameZone, without the overloaded ones. If their weights are equal,
// each is named once, and there may be more than MaxAddresses. If they differ, the answer
// has up to MaxAddresses entries, and gateways are named in proportion to their weights,
// at least once. It depends on the arguments only, so all gateways with the same list give
// all callers of a zone the same answer.
func Answer(list []Gateway, zone string) []string {
	candidates := notOverloaded(ofZone(list, zone))
	if equalWeights(candidates) {
		addresses := make([]string, 0, len(candidates))
		for _, g := range candidates {
			addresses = append(addresses, g.Address)
		}
		return addresses
	}
	if len(candidates) > MaxAddresses {
		candidates = sample(candidates, zone)
	}
	return apportion(candidates)
}

// ofZone returns the gateways of the zone, or all if there are fewer than minSameZone.
func ofZone(list []Gateway, zone string) []Gateway {
	var sameZone []Gateway
	for _, g := range list {
		if g.Zone == zone {
			sameZone = append(sameZone, g)
		}
	}
	if len(sameZone) >= minSameZone {
		return sameZone
	}
	return list
}

// notOverloaded returns the gateways that are not overloaded, or all if all are.
func notOverloaded(list []Gateway) []Gateway {
	kept := make([]Gateway, 0, len(list))
	for _, g := range list {
		if !g.Overloaded {
			kept = append(kept, g)
		}
	}
	if len(kept) == 0 {
		return list
	}
	return kept
}

func equalWeights(list []Gateway) bool {
	for _, g := range list {
		if g.Weight != list[0].Weight {
			return false
		}
	}
	return true
}

// apportion names each gateway at least once and distributes the other entries in
// proportion to the weights, by the method of Webster and Sainte-Laguë. An unknown weight
// counts as the smallest known one.
func apportion(list []Gateway) []string {
	smallest := uint32(math.MaxUint32)
	for _, g := range list {
		if g.Weight > 0 {
			smallest = min(smallest, g.Weight)
		}
	}
	weights, entries := make([]float64, len(list)), make([]int, len(list))
	answer := make([]string, 0, MaxAddresses)
	for i, g := range list {
		weights[i], entries[i] = float64(max(g.Weight, smallest)), 1
		answer = append(answer, g.Address)
	}
	for len(answer) < min(MaxAddresses, entriesPerGateway*len(list)) {
		next, highest := 0, 0.0
		for i, w := range weights {
			if quotient := w / float64(2*entries[i]+1); quotient > highest {
				next, highest = i, quotient
			}
		}
		entries[next]++
		answer = append(answer, list[next].Address)
	}
	return answer
}

// sample returns MaxAddresses of the gateways, chosen in proportion to their weights by
// weighted rendezvous hashing with the zone, so that it changes little with the list.
func sample(list []Gateway, zone string) []Gateway {
	chosen := make([]Gateway, 0, MaxAddresses)
	scores := make([]float64, 0, MaxAddresses)
	for _, g := range list {
		// The hash becomes a number above 0 and below 1.
		u := (float64(xxhash.Sum64String(zone+"\x00"+g.Address)>>11) + 0.5) / (1 << 53)
		score := float64(max(g.Weight, 1)) / -math.Log(u)
		if len(chosen) < MaxAddresses {
			chosen, scores = append(chosen, g), append(scores, score)
			continue
		}
		lowest := 0
		for i := range scores {
			if scores[i] < scores[lowest] {
				lowest = i
			}
		}
		if score > scores[lowest] {
			chosen[lowest], scores[lowest] = g, score
		}
	}
	return chosen
}
