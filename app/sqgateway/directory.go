package sqgateway

import (
	sqcore "sequoiadock/core"
)

// minNear is how many gateways of a caller's availability zone there must be for
// it to be sent to these alone.
const minNear = 2

// maxAddresses bounds the list that a caller gets.
const maxAddresses = 64

var _ sqcore.Directory = (*gateway)(nil)

// Addresses implements sqcore.Directory: the gateways of the caller's zone, or
// all of them if there are too few.
func (g *gateway) Addresses(zone, _ string) ([]string, int) {
	var near, all []string
	for _, a := range g.view.Load().gateways {
		all = append(all, a.GetAddress())
		if a.GetZone() == zone {
			near = append(near, a.GetAddress())
		}
	}
	list := all
	if len(near) >= minNear {
		list = near
	}
	return list[:min(len(list), maxAddresses)], keepSeconds
}
