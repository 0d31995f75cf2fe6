package sqentry

import (
	sqcore "sequoiadock/core"
	"sequoiadock/core/sqadmit"
	"sequoiadock/core/sqroute"
)

// Names of the policies. The first of each kind is the default; the others are
// baselines to compare it with.
const (
	RouterCacheAware  = "cacheAware"
	RouterRoundRobin  = "roundRobin"
	RouterLeastLoaded = "leastLoaded"
	AdmissionFair     = "fair"
	AdmissionFIFO     = "fifo"
)

// Policies names the entry's policies; "" is the default.
type Policies struct {
	Router    string
	Admission string
}

func newRouter(name string, routing *sqroute.Fleet) sqcore.Router {
	switch name {
	case RouterRoundRobin:
		return sqroute.NewRoundRobin(routing)
	case RouterLeastLoaded:
		return sqroute.NewLeastLoaded(routing)
	}
	return sqroute.NewCacheAware(routing)
}

func newAdmitter(name string) sqcore.Admitter {
	if name == AdmissionFIFO {
		return sqadmit.NewFIFO(sqadmit.Config{})
	}
	return sqadmit.NewFairQueue(sqadmit.Config{})
}
