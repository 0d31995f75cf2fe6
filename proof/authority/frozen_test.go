package authority

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
	"sequoiadock/proof/sqjudge"
)

// TestFrozenHolder pauses the lease holder at a named stop point for longer than
// its lease, lets another replica take over and send orders, and resumes the
// paused process. With the protections on, no stale order of the old lease holder
// arrives; with one of them off, sqjudge must find the stale orders that arrived.
func TestFrozenHolder(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name     string
		point    string
		disabled string
		// wantStale is whether sqjudge must find a stale order.
		wantStale bool
		// wantExited is whether the watchdog must have ended the paused process.
		wantExited bool
	}{
		{"committed", "orderCommitted", "", false, false},
		{"betweenCheckAndWrite", "guardChecked", "", false, true},
		{"faultNoWatchdog", "guardChecked", "watchdog", true, false},
		{"faultNoGuard", "guardChecked", "guard", true, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			stale, exited := freezeHolder(t, tc.point, tc.disabled)
			assert.Equal(t, len(stale) > 0, tc.wantStale, "%v", stale)
			assert.Equal(t, exited, tc.wantExited, "whether the watchdog ended the paused process")
		})
	}
}

// freezeHolder pauses the lease holder at the stop point and resumes it after
// another replica took over. It returns the stale orders that sqjudge finds, and
// whether the paused process exited before it was resumed.
func freezeHolder(t *testing.T, point, disabled string) (stale []string, exited bool) {
	t.Helper()
	stopFile := filepath.Join(t.TempDir(), "stop")
	cfg := frequentOrdersConfig()
	cfg.Tags = []string{"sqfault"}
	cfg.Env = []string{"SEQUOIADOCK_STOP_FILE=" + stopFile, "SEQUOIADOCK_OFF=" + disabled}
	c := start(t, cfg)
	startSwingingLoad(t, c)
	eventually(t, c, "engines receive orders", func() bool { n, _ := engineOrders(records(t, c)); return n > 2 })
	old := waitHolder(t, c)
	assert.NilError(t, os.WriteFile(stopFile, []byte(point), 0o644))
	eventually(t, c, "lease holder reaches "+point, func() bool { _, err := os.Stat(stopFile); return os.IsNotExist(err) })
	before, term := engineOrders(records(t, c))
	eventually(t, c, "a new lease holder sends orders", func() bool {
		n, newest := engineOrders(records(t, c))
		return n > before+2 && newest > term
	})
	exited = !old.Running()
	old.Continue()
	waitSettled(t, c)
	return sqjudge.StaleOrders(records(t, c)), exited
}

// settleTime is the wait for late effects after a fault has ended.
const settleTime = 2 * time.Second

func waitSettled(t *testing.T, c *sqcluster.Cluster) {
	t.Helper()
	time.Sleep(settleTime)
	waitHolder(t, c)
}
