package sqcoordinator

import (
	"slices"
	"strings"
	"time"

	"sequoiadock/core/sqdirectory"
	"sequoiadock/core/sqevent"
	"sequoiadock/io/sqrpc"
)

// toUtilization converts what a gateway reported of its VM.
func toUtilization(u *sqrpc.Utilization) sqdirectory.Utilization {
	return sqdirectory.Utilization{MemoryPercent: u.GetMemoryPercent(), LinkPercent: u.GetLinkPercent(), ProcessorPercent: u.GetProcessorPercent()}
}

// newAddress returns the directory's entry of the gateway that sent the heartbeat.
func (r *gatewayRegistry) newAddress(req *sqrpc.BeatRequest) *sqrpc.GatewayAddress {
	return &sqrpc.GatewayAddress{
		Address: req.GetAddress(), Zone: req.GetZone(), Region: req.GetRegion(),
		Weight: req.GetUtilization().GetWeight(), Overloaded: r.overloads.LeftOut(req.GetGateway()),
	}
}

// updateOverloads decides which of the listed gateways are left out of the answers to
// callers, and marks their entries of the directory.
func (r *gatewayRegistry) updateOverloads(now time.Time, listed []string) {
	if r.overloads.Empty() && !slices.ContainsFunc(listed, func(name string) bool { return r.byName[name].utilization.High() }) {
		return
	}
	reports := make([]sqdirectory.Report, 0, len(listed))
	for _, name := range listed {
		gw := r.byName[name]
		reports = append(reports, sqdirectory.Report{Name: name, Zone: gw.address.GetZone(), Utilization: gw.utilization, Weight: gw.address.GetWeight()})
	}
	// The order of events and of equally loaded gateways does not depend on the map.
	slices.SortFunc(reports, func(a, b sqdirectory.Report) int { return strings.Compare(a.Name, b.Name) })
	for _, c := range r.overloads.Update(now, reports) {
		u := c.Utilization
		if c.Overloaded {
			r.log.Event(sqevent.GatewayOverloaded, c.Name, c.Zone, u.MemoryPercent, u.LinkPercent, u.ProcessorPercent, c.LeftOut)
		} else {
			r.log.Event(sqevent.GatewayRecovered, c.Name, c.Zone, u.MemoryPercent, u.LinkPercent, u.ProcessorPercent)
		}
	}
	for _, name := range listed {
		gw := r.byName[name]
		if leftOut := r.overloads.LeftOut(name); leftOut != gw.address.GetOverloaded() {
			// Responses that are being encoded hold the old entry.
			a := gw.address
			gw.address = &sqrpc.GatewayAddress{Address: a.GetAddress(), Zone: a.GetZone(), Region: a.GetRegion(), Weight: a.GetWeight(), Overloaded: leftOut}
		}
	}
}
