package sqentry

import (
	"sync"
	"sync/atomic"
	"time"

	"sequoiadock/io/sqmemory"
)

// activeRequests tracks the requests that the entry is serving and the memory
// that they use.
type activeRequests struct {
	requests       atomic.Int64
	bodyBytes      atomic.Int64
	responseMemory *sqmemory.Pool

	mu     sync.Mutex
	relays map[*responseRelay]struct{}
}

func newActiveRequests() *activeRequests {
	return &activeRequests{responseMemory: sqmemory.NewPool(maxTotalResponseBytes), relays: map[*responseRelay]struct{}{}}
}

func (a *activeRequests) add(r *responseRelay) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.relays[r] = struct{}{}
}

func (a *activeRequests) remove(r *responseRelay) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.relays, r)
}

// relayList returns the chat responses in progress.
func (a *activeRequests) relayList() []*responseRelay {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make([]*responseRelay, 0, len(a.relays))
	for r := range a.relays {
		list = append(list, r)
	}
	return list
}

// lastEventTimes returns, for each endpoint that is streaming a response, when
// a stream from it last sent an event.
func (a *activeRequests) lastEventTimes() map[string]time.Time {
	times := make(map[string]time.Time)
	for _, r := range a.relayList() {
		id, last := r.streamActivity()
		if id != "" && last.After(times[id]) {
			times[id] = last
		}
	}
	return times
}

// streamActivity returns the endpoint of the current stream and when the stream
// last sent an event.
func (r *responseRelay) streamActivity() (endpoint string, last time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endpoint, r.lastEventAt
}
