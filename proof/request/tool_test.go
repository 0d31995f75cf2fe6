package request

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
	"sequoiadock/standin/sqmix"
)

// TestLoadTool runs the sqload command against a deployment.
func TestLoadTool(t *testing.T) {
	c := start(t, sqcluster.Config{})
	var teams strings.Builder
	for _, team := range sqcluster.DefaultTeams() {
		fmt.Fprintf(&teams, "%s:%s:%d:%d\n", team.Name(), team.Key(), team.Share(), team.Share())
	}
	path := filepath.Join(t.TempDir(), "teams")
	assert.NilError(t, os.WriteFile(path, []byte(teams.String()), 0o600))
	out, err := exec.Command(c.Binaries().Sqload(), "-entries", strings.Join(entryAddresses(c), ","), "-teams", path,
		"-zones", strings.Join(sqcluster.DefaultZones(), ","), "-model", sqcluster.ModelName,
		"-duration", "2s", "-rate", "20", "-call-rate", "10", "-seed", "71", "-json").Output()
	assert.NilError(t, err)
	var r sqmix.Report
	assert.NilError(t, json.Unmarshal(out, &r))
	assert.Assert(t, r.Finished > 20, "%d finished", r.Finished)
	assertAllWhole(t, &r)
	assert.Equal(t, len(r.Teams), len(sqcluster.DefaultTeams()))
}
