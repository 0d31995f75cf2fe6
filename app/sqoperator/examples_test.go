package sqoperator

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestExamples checks that both examples have no errors and that the hashes of
// their published demo keys are those in teams.toml.
func TestExamples(t *testing.T) {
	for _, name := range []string{"federation", "association"} {
		dir := filepath.Join("..", "..", "examples", name)
		out := runCommand(t, exitOK, "", "", "check "+dir)
		assert.Equal(t, out, name+": 8 teams, 8 keys, 2 models, 3 services; no faults\n")
		teams, err := os.ReadFile(filepath.Join(dir, "teams.toml"))
		assert.NilError(t, err)
		keys, err := os.ReadFile(filepath.Join(dir, "demoKeys.txt"))
		assert.NilError(t, err)
		for line := range strings.Lines(string(keys)) {
			teamName, key, _ := strings.Cut(strings.TrimSpace(line), " ")
			hash := strings.TrimSpace(runCommand(t, exitOK, key, "", "key hash"))
			assert.Assert(t, strings.Contains(string(teams), "team = \""+teamName+"\"\nsha256 = \""+hash+"\""), teamName)
		}
	}
}
