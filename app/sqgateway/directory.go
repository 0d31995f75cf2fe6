package sqgateway

import (
	"math/rand/v2"

	sqcore "sequoiadock/core"
)

// minSameZoneGateways is the minimum number of gateways in the caller's
// availability zone for the directory to list only those.
const minSameZoneGateways = 2

// maxAddresses is the maximum number of addresses in a response of the directory.
const maxAddresses = 64

var _ sqcore.Directory = (*gateway)(nil)

// Addresses implements sqcore.Directory. It returns the gateways in the caller's
// availability zone, or all gateways if the zone has fewer than
// minSameZoneGateways.
func (g *gateway) Addresses(zone, _ string) ([]string, int) {
	var sameZone, all []string
	for _, a := range g.view.Load().gateways {
		all = append(all, a.GetAddress())
		if a.GetZone() == zone {
			sameZone = append(sameZone, a.GetAddress())
		}
	}
	list := all
	if len(sameZone) >= minSameZoneGateways {
		list = sameZone
	}
	// Callers may use the first addresses most, and only maxAddresses are returned.
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), maxAddresses)], addressTTLSeconds
}
