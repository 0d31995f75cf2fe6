package sqentry

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqrpc"
)

// TestResponseMemoryBounded limits the memory for responses to 1000 bytes: a
// response that does not fit is refused, and its memory is released.
func TestResponseMemoryBounded(t *testing.T) {
	plain := newFakeService(t)
	plain.setHandler(func(w http.ResponseWriter, r *http.Request) {
		n := 10
		if r.URL.Path == openRoute+"/large" {
			n = 2000
		}
		_, _ = w.Write([]byte(strings.Repeat("x", n)))
	})
	e := newEntry(t.Context(), benchConfig())
	e.active.responseMemory.SetLimit(1000)
	e.routes.Store(newRoutes(1, testConfiguration()))
	e.fleet.setEndpoints(sqclock.Now(), []*sqrpc.EndpointView{{Id: "open0", Zone: "a", Kind: "open", State: stateLive, Address: plain.address()}})
	e.admission.setTeams(sqclock.Now(), admissionTeams(e.watch.View()))
	s := &testSystem{t: t}
	front := serveHandler(t, e.callersHandler())
	for range 3 {
		assert.Equal(t, s.get(front, openRoute+"/large").refusalBody(t).Kind, "overloaded")
		assert.Equal(t, s.get(front, openRoute+"/small").status, 200)
	}
	assert.Equal(t, e.active.responseMemory.UsedBytes(), int64(0))
}
