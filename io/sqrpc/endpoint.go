package sqrpc

import (
	"time"

	"sequoiadock/core/sqplace"
)

// FromEndpoint converts an endpoint to the message that is sent to other processes at now.
func FromEndpoint(now time.Time, e *sqplace.Endpoint) *ListedEndpoint {
	return &ListedEndpoint{
		Id: e.ID(), Service: e.Service(), Address: e.Address(), Zone: e.Zone(), Slots: uint32(e.Slots()),
		Draining: e.Draining(), Stage: uint32(e.Stage()), ColdMillis: uint32(e.ColdRemaining(now).Milliseconds()), Spot: e.Spot(),
		Version: e.Version(),
	}
}

// ToEndpoint converts the message of another process that arrives at now to an endpoint.
func ToEndpoint(now time.Time, l *ListedEndpoint) sqplace.Endpoint {
	coldUntil := time.Time{}
	if l.GetColdMillis() > 0 {
		coldUntil = now.Add(time.Duration(l.GetColdMillis()) * time.Millisecond)
	}
	return sqplace.NewEndpoint(sqplace.EndpointConfig{
		ID: l.GetId(), Service: l.GetService(), Address: l.GetAddress(), Zone: l.GetZone(), Slots: int(l.GetSlots()),
		Draining: l.GetDraining(), Stage: sqplace.Stage(l.GetStage()),
		ColdUntil: coldUntil, Spot: l.GetSpot(), Version: l.GetVersion(),
	})
}
