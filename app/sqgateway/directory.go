package sqgateway

import (
	"math/rand/v2"

	sqcore "sequoiadock/core"
	"sequoiadock/core/sqdirectory"
	"sequoiadock/io/sqrpc"
)

var _ sqcore.Directory = (*gateway)(nil)

// Addresses implements sqcore.Directory. It returns the gateways for callers of the zone,
// in random order.
func (g *gateway) Addresses(zone, _ string) ([]string, int) {
	list := sqdirectory.Answer(g.view.Load().directory, zone)
	// Callers may use the first addresses most, and only MaxAddresses are returned.
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), sqdirectory.MaxAddresses)], addressTTLSeconds
}

// toDirectory converts the lease holder's list of gateways.
func toDirectory(list []*sqrpc.GatewayAddress) []sqdirectory.Gateway {
	gateways := make([]sqdirectory.Gateway, 0, len(list))
	for _, a := range list {
		gateways = append(gateways, sqdirectory.Gateway{Address: a.GetAddress(), Zone: a.GetZone(), Weight: a.GetWeight(), Overloaded: a.GetOverloaded()})
	}
	return gateways
}
