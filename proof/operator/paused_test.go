package operator

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
)

// TestPausedHolder stops the holder with SIGSTOP. Its kernel still takes
// connections, so a command that waited for it alone would never end. The
// commands must reach the next holder, and the old one must not undo them.
func TestPausedHolder(t *testing.T) {
	b := start(t, sqcluster.Config{EntryCount: 1})
	holder, err := b.cluster.WaitForHolder(b.ctx)
	assert.NilError(t, err)
	holder.Pause()
	out := b.expect(exitOK, "publish -base current "+b.cluster.DeclarationsFolder())
	assert.Assert(t, strings.HasPrefix(out, "version 2 is "), out)
	status := b.expect(exitOK, "status")
	assert.Assert(t, strings.Contains(status, "no answer"), status)
	holder.Continue()
	b.expect(exitOK, "key withdraw "+sqcluster.DefaultTeams()[0].KeyID())
	assert.Equal(t, b.ask(), http.StatusUnauthorized)
	err = b.cluster.Eventually(b.ctx, "the old holder follows", func() bool {
		s, err := b.cluster.Status(b.ctx, holder)
		return err == nil && !s.GetHoldsLease() && s.GetConfigurationVersion() == 2
	})
	assert.NilError(t, err)
}
