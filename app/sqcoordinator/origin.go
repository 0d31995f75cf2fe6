package sqcoordinator

import (
	"context"
	"time"

	"sequoiadock/core/sqorigin"
	"sequoiadock/core/sqplace"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqrpc"
)

// maxOrigins is how many streams the lease holder remembers, about 150 bytes each.
const maxOrigins = 1 << 17

// recordOrigins records the streams that began at a gateway. The caller must hold mu.
func (t *termState) recordOrigins(now time.Time, req *sqrpc.BeatRequest) {
	for _, o := range req.GetOrigins() {
		t.origins.Record(now, o.GetAttempt(), sqorigin.Origin{Service: o.GetService(), Version: o.GetVersion()})
	}
}

// recordVersions records the versions of a list of endpoints that was read now. The caller
// must hold mu.
func (t *termState) recordVersions(now time.Time, list []sqplace.Endpoint) {
	versions := make([]sqorigin.Origin, 0, len(list))
	for i := range list {
		versions = append(versions, sqorigin.Origin{Service: list[i].Service(), Version: list[i].Version()})
	}
	t.versions.Record(now, versions)
}

// FindOrigin implements sqrpc.Coordinator.
func (c *coordinator) FindOrigin(_ context.Context, req *sqrpc.FindOriginRequest) (*sqrpc.FindOriginResponse, error) {
	now := sqclock.Now()
	t, err := c.currentTerm(now)
	if err != nil {
		return nil, sqrpc.ToTwirp(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	o, ok := t.origins.Find(req.GetAttempt())
	if !ok {
		o, ok = t.versions.Only(now, req.GetService())
	}
	if !ok {
		return &sqrpc.FindOriginResponse{}, nil
	}
	return &sqrpc.FindOriginResponse{Origin: &sqrpc.StreamOrigin{Attempt: req.GetAttempt(), Service: o.Service, Version: o.Version}}, nil
}
