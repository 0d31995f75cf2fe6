package sqengine

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/standin/sqrecord"
)

// sendOrder sends an order of the term on a connection of its own and does not wait for
// the response.
func sendOrder(t *testing.T, e *Engine, term int) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", e.Address())
	assert.NilError(t, err)
	body := fmt.Sprintf(`{"kind":"role","argument":"decode","orderId":"o%d","fencingTerm":%d,"fencingSequence":1}`, term, term)
	_, err = fmt.Fprintf(c, "POST /v1/orders HTTP/1.1\r\nHost: e\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	assert.NilError(t, err)
	return c
}

func TestPausedEngineReordersOrders(t *testing.T) {
	for range 20 {
		e := startEngine(t, Config{})
		e.faults.Pause()
		killed := sendOrder(t, e, 2)
		time.Sleep(5 * time.Millisecond)
		_ = killed.Close()
		next := sendOrder(t, e, 3)
		time.Sleep(5 * time.Millisecond)
		e.faults.Resume()
		_, err := io.ReadAtLeast(next, make([]byte, 64), 1)
		assert.NilError(t, err)
		_ = next.Close()
		var terms []uint64
		for _, entry := range e.cfg.Record.After(0) {
			if entry.Kind == sqrecord.OrderReceived {
				terms = append(terms, entry.FencingTerm)
			}
		}
		assert.Assert(t, len(terms) > 0)
		assert.Equal(t, terms[len(terms)-1], uint64(3), "%v", terms)
	}
}
