package authority

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// crashTimes is how often an engine crashes, crashEvery apart.
const (
	crashTimes = 8
	crashEvery = 700 * time.Millisecond
)

// crashRequest is what the stand-in engine takes.
type crashRequest struct {
	DownMillis int `json:"downMillis"`
}

// TestEnginesCrashMidChange crashes engines again and again while their roles
// change. No order comes twice after another one, and changes go on.
func TestEnginesCrashMidChange(t *testing.T) {
	t.Parallel()
	c := start(t, restless())
	swing(t, c)
	engines := c.Endpoints("engine")
	eventually(t, c, "engines receive orders", func() bool { n, _ := orders(record(t, c)); return n > 2 })
	for i := range crashTimes {
		e := engines[i%len(engines)]
		assert.NilError(t, c.PostJSON(e.Address, "/standin/crash", crashRequest{DownMillis: 300}, nil))
		time.Sleep(crashEvery)
	}
	before, _ := orders(record(t, c))
	eventually(t, c, "orders go on", func() bool { n, _ := orders(record(t, c)); return n > before+2 })
	settle(t, c)
	judge(t, record(t, c))
}
