package sqrpc

import (
	"time"

	"sequoiadock/core/sqplace"
)

// FromEndpoint converts an endpoint to the message that is sent between processes.
func FromEndpoint(e *sqplace.Endpoint) *ListedEndpoint {
	return &ListedEndpoint{
		Id: e.ID(), Service: e.Service(), Address: e.Address(), Zone: e.Zone(), Slots: uint32(e.Slots()),
		Draining: e.Draining(), Stage: uint32(e.Stage()), ColdMillis: uint32(e.ColdRemaining().Milliseconds()), Spot: e.Spot(),
	}
}

// ToEndpoint converts the message of another process to an endpoint.
func ToEndpoint(l *ListedEndpoint) sqplace.Endpoint {
	return sqplace.NewEndpoint(sqplace.EndpointConfig{
		ID: l.GetId(), Service: l.GetService(), Address: l.GetAddress(), Zone: l.GetZone(), Slots: int(l.GetSlots()),
		Draining: l.GetDraining(), Stage: sqplace.Stage(l.GetStage()),
		ColdRemaining: time.Duration(l.GetColdMillis()) * time.Millisecond, Spot: l.GetSpot(),
	})
}
