package sqoperator

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"sequoiadock/core/sqcommand"
	"sequoiadock/io/sqrpc"
)

// startFakeCluster starts three fake control processes and one fake entry, and
// returns the control processes and their addresses for -controls. The last
// control process holds the lease.
func startFakeCluster(t *testing.T) ([]*fakeControl, string) {
	t.Helper()
	var fakes []*fakeControl
	var addresses []string
	for i := range 3 {
		f := &fakeControl{results: map[string]*sqcommand.Result{}}
		server := httptest.NewServer(sqrpc.NewControlServer(f))
		t.Cleanup(server.Close)
		address := server.Listener.Addr().String()
		f.id = &sqrpc.IdentityResponse{Id: uint64(i + 1), Name: "control" + strconv.Itoa(i+1), Zone: "zoneA", Address: address, Deployment: "federation"}
		addresses = append(addresses, address)
		fakes = append(fakes, f)
	}
	entry := httptest.NewServer(sqrpc.NewEntryServer(fakeEntry{}))
	t.Cleanup(entry.Close)
	for _, f := range fakes {
		f.holder = fakes[2]
		f.entries = []*sqrpc.EntryView{{Entry: "entry1", Internal: entry.Listener.Addr().String(), Address: "127.0.0.1:2", Zone: "zoneB", Fresh: true}}
	}
	return fakes, strings.Join(addresses, ",")
}

// runCommand runs a command line, checks its exit code and returns its standard
// output followed by its standard error.
func runCommand(t *testing.T, wantCode int, stdin, controls, commandLine string) string {
	t.Helper()
	var out, errOut bytes.Buffer
	getenv := func(name string) string {
		if name == EnvControls {
			return controls
		}
		return ""
	}
	got := run(strings.Fields(commandLine), strings.NewReader(stdin), &out, &errOut, getenv)
	assert.Equal(t, got, wantCode, "%s\n%s%s", commandLine, out.String(), errOut.String())
	return out.String() + errOut.String()
}

const validDir = "testdata/good"

func TestHelp(t *testing.T) {
	var b strings.Builder
	b.WriteString(runCommand(t, exitOK, "", "", "help"))
	for _, cmd := range subcommands() {
		b.WriteString("---\n" + runCommand(t, exitOK, "", "", "help "+cmd.name))
		assert.Equal(t, runCommand(t, exitOK, "", "", cmd.name+" -h"), runCommand(t, exitOK, "", "", "help "+cmd.name))
	}
	golden.Assert(t, b.String(), "help.golden")
}

func TestExitCodes(t *testing.T) {
	_, controls := startFakeCluster(t)
	for commandLine, wantCode := range map[string]int{
		"":                                     exitUsage,
		"publsh x":                             exitUsage,
		"publish " + validDir:                  exitUsage,
		"publish " + validDir + " -base x":     exitUsage,
		"check":                                exitUsage,
		"check a b":                            exitUsage,
		"check " + validDir + " -nope":         exitUsage,
		"check testdata/none":                  exitBadSettings,
		"check testdata/bad":                   exitBadSettings,
		"publish testdata/bad -base 0":         exitBadSettings,
		"publish " + validDir + " -base 7":     exitConflict,
		"key withdraw none":                    exitRefused,
		"explain entry1-6":                     exitRefused,
		"drain engine-9":                       exitRefused,
		"report weather":                       exitUsage,
		"report usage -plot x.png":             exitUsage,
		"report burn -plot x.gif":              exitUsage,
		"settle gent b-7 -note x":              exitUsage,
		"settle gent b-7 -ran -notRun -note x": exitUsage,
		"status -controls nowhere":             exitUsage,
		"status -controls 127.0.0.1:1":         exitUnreachable,
		"publish " + validDir + " -base current -timeout 1s -controls 127.0.0.1:1": exitUnreachable,
		"version": exitOK,
	} {
		runCommand(t, wantCode, "", controls, commandLine)
	}
}

func TestCheck(t *testing.T) {
	assert.Equal(t, runCommand(t, exitOK, "", "", "check "+validDir), "federation: 1 teams, 1 keys, 1 models, 1 services; no faults\n")
	badOutput := runCommand(t, exitBadSettings, "", "", "check testdata/bad")
	otherOutput := runCommand(t, exitBadSettings, "", "", "check testdata/other")
	golden.Assert(t, badOutput+otherOutput, "check.golden")
	var out struct {
		Errors []struct {
			Kind, File string
			Line       int
		}
	}
	assert.NilError(t, json.Unmarshal([]byte(runCommand(t, exitBadSettings, "", "", "check -json testdata/bad")), &out))
	assert.Equal(t, out.Errors[0].Kind, "badSetting")
	assert.Assert(t, len(out.Errors) > 1)
}

// TestSetup checks that a second set-up is refused, and that an interrupted
// set-up is resumed only with the same replicas.
func TestSetup(t *testing.T) {
	fakes, controls := startFakeCluster(t)
	runCommand(t, exitOK, "", controls, "setup -operation one")
	assert.Equal(t, len(fakes[1].members), 3)
	runCommand(t, exitConflict, "", controls, "setup")
	fakes[1].id.Cluster, fakes[1].members = "", nil
	runCommand(t, exitConflict, "", controls, "setup -operation two")
	runCommand(t, exitOK, "", controls, "setup -operation one")
	assert.Equal(t, fakes[1].id.GetCluster(), "one")
	// A replica that lost its disk has a new ID.
	fakes[1].id.Cluster, fakes[1].members, fakes[1].id.Id = "", nil, 9
	runCommand(t, exitConflict, "", controls, "setup -operation one")
	assert.Equal(t, fakes[1].id.GetCluster(), "")
}

// TestSetupPrintsOperationFirst checks that the operation ID, which resumes an
// interrupted set-up, is printed before the first set-up request is sent.
func TestSetupPrintsOperationFirst(t *testing.T) {
	fakes, controls := startFakeCluster(t)
	fakes[0].setupGate = make(chan struct{})
	r, w := io.Pipe()
	exitCodes := make(chan int, 1)
	go func() {
		exitCodes <- run([]string{"setup", "-operation", "one"}, strings.NewReader(""), w, io.Discard, func(string) string { return controls })
		_ = w.Close()
	}()
	lines := bufio.NewScanner(r)
	assert.Assert(t, lines.Scan())
	assert.Equal(t, lines.Text(), "operation one (give it again to resume)")
	close(fakes[0].setupGate)
	for lines.Scan() {
	}
	assert.Equal(t, <-exitCodes, exitOK)
}

func TestPublish(t *testing.T) {
	fakes, controls := startFakeCluster(t)
	assert.Equal(t, runCommand(t, exitOK, "", controls, "publish "+validDir+" -base 0"), "version 1 is in force after 12 ms\n")
	runCommand(t, exitConflict, "", controls, "publish "+validDir+" -base 0")
	fakes[2].lostResponses = 2
	assert.Equal(t, runCommand(t, exitOK, "", controls, "publish -base current "+validDir), "version 2 is in force after 12 ms\n")
	assert.Equal(t, len(fakes[2].commands), 2)
}

// TestKeys hashes, grants and withdraws a key. Only hashes may leave the
// process, so an invalid key must not appear in the output.
func TestKeys(t *testing.T) {
	const key = "demo-key-of-gent-1"
	fakes, controls := startFakeCluster(t)
	hash := strings.TrimSpace(runCommand(t, exitOK, key+"\n", "", "key hash"))
	assert.Equal(t, len(hash), 64)
	out := runCommand(t, exitOK, key, controls, "key grant -id gent-1 -team gent")
	assert.Equal(t, out, "key gent-1 of team gent is in force after 12 ms\n")
	assert.Equal(t, fakes[2].commands[0].GetGrantKey().GetKey().GetId(), "gent-1")
	runCommand(t, exitOK, "", controls, "key withdraw gent-1")
	out = runCommand(t, exitFailed, "two words", controls, "key grant -id gent-1 -team gent")
	assert.Assert(t, !strings.Contains(out, "two words"))
}

func TestOutput(t *testing.T) {
	_, controls := startFakeCluster(t)
	var b strings.Builder
	for _, commandLine := range []string{
		"status", "explain entry1-5", "explain entry1-5 -json", "report burn", "report usage", "report spending",
		"drain engine-1", "drain engine-1 -undo", "settle gent b-7 -notRun -note looked",
	} {
		b.WriteString("$ " + commandLine + "\n" + runCommand(t, exitOK, "", controls, commandLine))
	}
	output := b.String()
	for i, address := range strings.Split(controls, ",") {
		output = strings.ReplaceAll(output, address, "127.0.0.1:700"+strconv.Itoa(i+1))
	}
	golden.Assert(t, output, "output.golden")
}

func TestPlot(t *testing.T) {
	_, controls := startFakeCluster(t)
	for _, name := range []string{"burn.png", "burn.svg"} {
		path := filepath.Join(t.TempDir(), name)
		runCommand(t, exitOK, "", controls, "report burn -plot "+path)
		info, err := os.Stat(path)
		assert.NilError(t, err)
		assert.Assert(t, info.Size() > 1000)
	}
}
