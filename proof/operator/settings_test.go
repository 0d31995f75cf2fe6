package operator

import (
	"context"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
)

// exitSettings is the exit code for invalid settings.
const exitSettings = 3

// TestBadSettingsOpenNoPort checks that a process with invalid settings prints
// every error and exits before it listens. The port is already in use, so a
// process that tried to listen would report that.
func TestBadSettingsOpenNoPort(t *testing.T) {
	binaries, err := sqcluster.Build(t.Context())
	assert.NilError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	address := listener.Addr().String()
	folder := t.TempDir()
	for name, settings := range map[string]string{
		"control": "[node]\ndeployment = \"d\"\nname = \"c\"\nzone = 3\nlisten = \"" + address + "\"\ndataFolder = \"" + folder + "/data\"\n[cluster]\ncontrols = [\"" + address + "\"]\n[platforms]\naddress = \"" + address + "\"\n",
		"entry":   "[node]\ndeployment = \"d\"\nname = \"e\"\nzone = 3\ncallers = \"" + address + "\"\ninternal = \"127.0.0.1:0\"\n[cluster]\ncontrols = [\"" + address + "\"]\n[timing]\nfreshMillis = 90000\n",
	} {
		path := filepath.Join(folder, name+".toml")
		assert.NilError(t, os.WriteFile(path, []byte(settings), 0o600))
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		cmd := exec.CommandContext(ctx, binaries.Sequoiadock(), name, "-settings", path)
		out, _ := cmd.CombinedOutput()
		cancel()
		assert.Equal(t, cmd.ProcessState.ExitCode(), exitSettings, "%s", out)
		assert.Assert(t, strings.Contains(string(out), name+".toml:4:8"), "%s", out)
		assert.Assert(t, strings.Count(string(out), "badSetting") > 1, "%s", out)
		assert.Assert(t, !strings.Contains(string(out), "address already in use"), "%s", out)
	}
	_, err = os.Stat(filepath.Join(folder, "data"))
	assert.Assert(t, os.IsNotExist(err), "the data folder was created")
}
