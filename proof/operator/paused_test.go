package operator

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
)

// TestPausedHolder pauses the lease holder with SIGSTOP. The kernel still accepts
// connections for the paused process, so a command that waited only for this
// process would never end. Commands must reach the next lease holder, and the
// old one must not undo their effect after it continues.
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
	assert.Equal(t, b.postChat(), http.StatusUnauthorized)
	err = b.cluster.Eventually(b.ctx, "the old lease holder is a follower", func() bool {
		s, err := b.cluster.Status(b.ctx, holder)
		return err == nil && !s.GetHoldsLease() && s.GetConfigurationVersion() == 2
	})
	assert.NilError(t, err)
}
