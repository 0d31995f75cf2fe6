package sqentry

import (
	"sync"

	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqrpc"
)

// sloResult is how a request counts towards its service-level objective.
type sloResult int

const (
	sloGood sloResult = iota
	sloLate
	sloFailed
	sloRefused
	// sloIgnored is for requests that failed because of the caller or that the
	// caller abandoned.
	sloIgnored
)

// serviceLevels counts requests by service-level result since the entry
// started.
type serviceLevels struct {
	mu        sync.Mutex
	byService map[serviceLevelKey]*sqrpc.BurnCount
}

type serviceLevelKey struct {
	team, service string
}

func newServiceLevels() *serviceLevels {
	return &serviceLevels{byService: map[serviceLevelKey]*sqrpc.BurnCount{}}
}

func (b *serviceLevels) add(team, service string, result sloResult) {
	if result == sloIgnored {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	key := serviceLevelKey{team, service}
	c, ok := b.byService[key]
	if !ok {
		c = &sqrpc.BurnCount{Team: team, Service: service}
		b.byService[key] = c
	}
	switch result {
	case sloGood:
		c.Good++
	case sloLate:
		c.Late++
	case sloFailed:
		c.Failed++
	case sloRefused:
		c.Refused++
	}
}

func (b *serviceLevels) counts() []*sqrpc.BurnCount {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]*sqrpc.BurnCount, 0, len(b.byService))
	for _, c := range b.byService {
		list = append(list, &sqrpc.BurnCount{
			Team: c.Team, Service: c.Service, Good: c.Good, Late: c.Late, Failed: c.Failed, Refused: c.Refused,
		})
	}
	return list
}

// sloResultOf returns how a request that ended with an error of the kind
// counts.
func sloResultOf(kind sqerror.Kind) sloResult {
	switch kind {
	case sqerror.OverLimit, sqerror.DeadlineUnmeetable, sqerror.NoEndpoint, sqerror.StaleEntry,
		sqerror.Overloaded, sqerror.Leaving:
		return sloRefused
	case sqerror.EndpointFailed, sqerror.BadResponse, sqerror.CallUnknown:
		return sloFailed
	case sqerror.DeadlineExceeded:
		return sloLate
	}
	return sloIgnored
}
