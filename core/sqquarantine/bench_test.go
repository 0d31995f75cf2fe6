package sqquarantine

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDecide measures what the lease holder does each time it judges the evidence after
// a rack of engines has crashed.
func BenchmarkDecide(b *testing.B) {
	h := newHistory()
	for i := range maxCrashes {
		var requests [][]string
		for j := range 16 {
			requests = append(requests, []string{"ab", fmt.Sprintf("s%d", (i*16+j)%160)})
		}
		c := &Crash{Service: service, Endpoint: fmt.Sprint("e", i), At: h.at(i)}
		for j, parts := range requests {
			c.Requests = append(c.Requests, Traits(service, parts, fmt.Sprintf("r%d-%d", i, j)))
		}
		h.tracker.RecordCrash(h.at(i), c)
	}
	now := h.at(0).Add(5 * time.Second)
	for b.Loop() {
		h.tracker.Decide(now, nil, 291)
		h.tracker.Cautions(now, nil, gatewayCount)
	}
}
