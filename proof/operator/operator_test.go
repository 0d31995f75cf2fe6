package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
	"sequoiadock/standin/sqfault"
)

// Exit codes of the commands.
const (
	exitOK       = 0
	exitConflict = 4
	exitRefused  = 6
)

func TestMain(m *testing.M) { sqcluster.Main(m) }

// testbed is a running deployment with a client for caller requests.
type testbed struct {
	*testing.T
	ctx     context.Context
	cluster *sqcluster.Cluster
	client  http.Client
}

func start(t *testing.T, cfg sqcluster.Config) *testbed {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	t.Cleanup(cancel)
	cfg.Folder = t.TempDir()
	cluster, err := sqcluster.Start(ctx, cfg)
	assert.NilError(t, err)
	t.Cleanup(cluster.Kill)
	return &testbed{T: t, ctx: ctx, cluster: cluster, client: http.Client{Timeout: 10 * time.Second}}
}

// expect runs an operator's command, checks its exit code and returns its
// standard output followed by its standard error.
func (b *testbed) expect(code int, commandLine string) string {
	b.Helper()
	result := b.cluster.RunCommand(b.ctx, "", strings.Fields(commandLine)...)
	assert.Equal(b, result.ExitCode(), code, "%s\n%s%s", commandLine, result.Stdout(), result.Stderr())
	return result.Stdout() + result.Stderr()
}

// post sends one request with the first team's key and returns the HTTP status,
// or 0 if there is no response.
func (b *testbed) post(entry int, path, body, idempotencyKey string) int {
	b.Helper()
	req, err := http.NewRequestWithContext(b.ctx, http.MethodPost, "http://"+b.cluster.Entries()[entry].CallerAddress()+path, strings.NewReader(body))
	assert.NilError(b, err)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+sqcluster.DefaultTeams()[0].Key())
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	res, err := b.client.Do(req)
	if err != nil {
		return 0
	}
	res.Body.Close()
	return res.StatusCode
}

const chatRequest = `{"model":"` + sqcluster.ModelName + `","max_tokens":1,"messages":[{"role":"user","content":"hello"}]}`

// postChat sends a chat request to the first entry and returns the HTTP status.
func (b *testbed) postChat() int {
	b.Helper()
	return b.post(0, "/v1/chat/completions", chatRequest, "")
}

// TestSetupAndPublish checks that a second set-up is refused, that a repeated
// publish with the same operation ID returns the first result, and that exactly
// one of several concurrent publishes on the same base version succeeds.
func TestSetupAndPublish(t *testing.T) {
	b := start(t, sqcluster.Config{})
	folder := b.cluster.DeclarationsFolder()
	b.expect(exitConflict, "setup")
	b.expect(exitConflict, "publish -base 0 "+folder)
	first := b.expect(exitOK, "publish -base 1 -operation once "+folder)
	assert.Assert(t, strings.HasPrefix(first, "version 2 is in force"), first)
	repeated := b.expect(exitOK, "publish -base 1 -operation once "+folder)
	assert.Assert(t, strings.HasPrefix(repeated, "version 2 is in force"), repeated)

	const operators = 20
	codes := make([]int, operators)
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() { codes[i] = b.cluster.RunCommand(b.ctx, "", "publish", "-base", "2", folder).ExitCode() })
	}
	wg.Wait()
	winners := 0
	for _, code := range codes {
		if code == exitOK {
			winners++
			continue
		}
		assert.Equal(t, code, exitConflict)
	}
	assert.Equal(t, winners, 1)
	status := b.expect(exitOK, "status -json")
	assert.Assert(t, strings.Contains(status, `"configurationVersion": "3"`), status)
}

// TestKeys checks that a withdrawn key is rejected at once and that publishing
// declarations that still contain the key is refused.
func TestKeys(t *testing.T) {
	b := start(t, sqcluster.Config{ControlCount: 1, EntryCount: 1})
	team := sqcluster.DefaultTeams()[0]
	assert.Equal(t, b.postChat(), http.StatusOK)
	out := b.expect(exitOK, "key withdraw "+team.KeyID())
	assert.Assert(t, strings.Contains(out, "is in force"), out)
	assert.Equal(t, b.postChat(), http.StatusUnauthorized)
	refused := b.expect(exitRefused, "publish -base current "+b.cluster.DeclarationsFolder())
	assert.Assert(t, strings.Contains(refused, "keyWithdrawn"), refused)
	assert.Equal(t, b.postChat(), http.StatusUnauthorized)
	b.expect(exitRefused, "key withdraw nobody-1")
}

// TestReportsAndDrain runs the report, explain, status and drain commands against
// real processes.
func TestReportsAndDrain(t *testing.T) {
	b := start(t, sqcluster.Config{ControlCount: 1, EntryCount: 1, Declarations: sqcluster.Declarations{BillingWindow: time.Second}})
	assert.Equal(t, b.postChat(), http.StatusOK)
	var report struct {
		Usage []struct {
			Reported bool
			Lines    []struct{ Team, Requests string }
		}
	}
	err := b.cluster.Eventually(b.ctx, "the usage is reported", func() bool {
		if json.Unmarshal([]byte(b.expect(exitOK, "report usage -json")), &report) != nil {
			return false
		}
		for _, w := range report.Usage {
			if w.Reported && len(w.Lines) == 1 && w.Lines[0].Requests == "1" {
				return true
			}
		}
		return false
	})
	assert.NilError(t, err)
	b.expect(exitOK, "report spending")
	plot := t.TempDir() + "/burn.svg"
	assert.Assert(t, strings.Contains(b.expect(exitOK, "report burn -plot "+plot), "TEAM"))
	_, err = os.Stat(plot)
	assert.NilError(t, err)
	b.expect(exitRefused, "explain nothing-1")
	engine := b.cluster.Endpoints("engine")[0].ID
	b.expect(exitOK, "drain "+engine)
	err = b.cluster.Eventually(b.ctx, "the endpoint drains", func() bool {
		return strings.Contains(b.expect(exitOK, "status"), "draining")
	})
	assert.NilError(t, err)
	b.expect(exitOK, "drain -undo "+engine)
	b.expect(exitRefused, "drain engine-none")
}

// TestSettle kills an entry during a call that must not run twice. The outcome of
// the call is unknown, so a retry is refused until an operator settles the call
// as not run.
func TestSettle(t *testing.T) {
	b := start(t, sqcluster.Config{ControlCount: 1, EntryCount: 2})
	for _, e := range b.cluster.Endpoints(sqcluster.Booking) {
		assert.NilError(t, b.cluster.InjectFault(e.Address, sqfault.Fault{Kind: sqfault.Hang, Phase: sqfault.BeforeRun}))
	}
	const path, body, idempotencyKey = "/booking/places", `{"place":7}`, "call-1"
	done := make(chan int, 1)
	go func() { done <- b.post(0, path, body, idempotencyKey) }()
	err := b.cluster.Eventually(b.ctx, "the call is at an endpoint", func() bool {
		for _, e := range b.cluster.Endpoints(sqcluster.Booking) {
			var load struct{ Running int }
			if b.cluster.GetJSON(e.Address, "/load", &load) == nil && load.Running > 0 {
				return true
			}
		}
		return false
	})
	assert.NilError(t, err)
	b.cluster.Entries()[0].Kill()
	<-done
	for _, e := range b.cluster.Endpoints(sqcluster.Booking) {
		assert.NilError(t, b.cluster.ClearFaults(e.Address))
	}
	team := sqcluster.DefaultTeams()[0].Name()
	err = b.cluster.Eventually(b.ctx, "the call is listed as unsettled", func() bool {
		return strings.Contains(b.expect(exitOK, "status"), "UNSETTLED")
	})
	assert.NilError(t, err)
	assert.Equal(t, b.post(1, path, body, idempotencyKey), http.StatusConflict)
	b.expect(exitOK, fmt.Sprintf("settle %s %s -notRun -note checked", team, idempotencyKey))
	assert.Equal(t, b.post(1, path, body, idempotencyKey), http.StatusCreated)
	b.expect(exitConflict, fmt.Sprintf("settle %s %s -ran -note again", team, idempotencyKey))
	b.expect(exitRefused, fmt.Sprintf("settle %s nothing -ran -note none", team))
}

// TestReplace wipes the disk of a control process and replaces the process by a
// new one with the replace command. A set-up must not bring the process back.
func TestReplace(t *testing.T) {
	b := start(t, sqcluster.Config{EntryCount: 1})
	holder, err := b.cluster.WaitForHolder(b.ctx)
	assert.NilError(t, err)
	wiped := b.cluster.Controls()[0]
	if wiped == holder {
		wiped = b.cluster.Controls()[1]
	}
	wiped.Kill()
	assert.NilError(t, wiped.WipeData())
	replacement, err := b.cluster.AddControl(b.ctx, wiped.Name(), wiped.Zone())
	assert.NilError(t, err)
	out := b.expect(exitOK, "replace "+wiped.Name()+" -address "+replacement.Address()+" -timeout 60s")
	assert.Assert(t, strings.Contains(out, "is replaced"), out)
	b.expect(exitOK, "replace "+wiped.Name()+" -address "+replacement.Address())
	assert.Equal(t, b.postChat(), http.StatusOK)
	b.expect(exitOK, "publish -base current "+b.cluster.DeclarationsFolder())
}
