package authority

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// crashCount is the number of engine crashes, crashInterval apart.
const (
	crashCount    = 8
	crashInterval = 700 * time.Millisecond
)

// crashRequest is the body of the stand-in engine's crash request.
type crashRequest struct {
	DownMillis int `json:"downMillis"`
}

// TestEnginesCrashDuringRoleChange crashes engines repeatedly while their
// roles change. No engine receives an order again after a later one, and role
// changes continue.
func TestEnginesCrashDuringRoleChange(t *testing.T) {
	t.Parallel()
	c := start(t, frequentOrdersConfig())
	startSwingingLoad(t, c)
	engines := c.Endpoints("engine")
	eventually(t, c, "engines receive orders", func() bool { n, _ := engineOrders(records(t, c)); return n > 2 })
	for i := range crashCount {
		e := engines[i%len(engines)]
		assert.NilError(t, c.PostJSON(e.Address, "/standin/crash", crashRequest{DownMillis: 300}, nil))
		time.Sleep(crashInterval)
	}
	before, _ := engineOrders(records(t, c))
	eventually(t, c, "orders continue", func() bool { n, _ := engineOrders(records(t, c)); return n > before+2 })
	waitSettled(t, c)
	assertNoViolations(t, records(t, c))
}
