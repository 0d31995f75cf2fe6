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

type bench struct {
	*testing.T
	ctx     context.Context
	cluster *sqcluster.Cluster
	client  http.Client
}

func start(t *testing.T, cfg sqcluster.Config) *bench {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	t.Cleanup(cancel)
	cfg.Folder = t.TempDir()
	cluster, err := sqcluster.Start(ctx, cfg)
	assert.NilError(t, err)
	t.Cleanup(cluster.Kill)
	return &bench{T: t, ctx: ctx, cluster: cluster, client: http.Client{Timeout: 10 * time.Second}}
}

// expect runs a command line and returns what it printed.
func (b *bench) expect(code int, line string) string {
	b.Helper()
	o := b.cluster.RunCommand(b.ctx, "", strings.Fields(line)...)
	assert.Equal(b, o.ExitCode(), code, "%s\n%s%s", line, o.Stdout(), o.Stderr())
	return o.Stdout() + o.Stderr()
}

// post sends one request of the first team and returns the status.
func (b *bench) post(entry int, path, body, identity string) int {
	b.Helper()
	req, err := http.NewRequestWithContext(b.ctx, http.MethodPost, "http://"+b.cluster.Entries()[entry].CallerAddress()+path, strings.NewReader(body))
	assert.NilError(b, err)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+sqcluster.DefaultTeams()[0].Key())
	if identity != "" {
		req.Header.Set("Idempotency-Key", identity)
	}
	res, err := b.client.Do(req)
	if err != nil {
		return 0
	}
	res.Body.Close()
	return res.StatusCode
}

const question = `{"model":"` + sqcluster.ModelName + `","max_tokens":1,"messages":[{"role":"user","content":"hello"}]}`

func (b *bench) ask() int {
	b.Helper()
	return b.post(0, "/v1/chat/completions", question, "")
}

// TestSetupAndPublish wants a second set-up refused, resends answered as the
// first time, and exactly one winner among operators who race.
func TestSetupAndPublish(t *testing.T) {
	b := start(t, sqcluster.Config{})
	folder := b.cluster.DeclarationsFolder()
	b.expect(exitConflict, "setup")
	b.expect(exitConflict, "publish -base 0 "+folder)
	first := b.expect(exitOK, "publish -base 1 -operation once "+folder)
	assert.Assert(t, strings.HasPrefix(first, "version 2 is in force"), first)
	again := b.expect(exitOK, "publish -base 1 -operation once "+folder)
	assert.Assert(t, strings.HasPrefix(again, "version 2 is in force"), again)

	const operators = 20
	codes := make([]int, operators)
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() { codes[i] = b.cluster.RunCommand(b.ctx, "", "publish", "-base", "2", folder).ExitCode() })
	}
	wg.Wait()
	won := 0
	for _, code := range codes {
		if code == exitOK {
			won++
			continue
		}
		assert.Equal(t, code, exitConflict)
	}
	assert.Equal(t, won, 1)
	status := b.expect(exitOK, "status -json")
	assert.Assert(t, strings.Contains(status, `"configurationVersion": "3"`), status)
}

// TestKeys wants a withdrawn key to stop and to stay stopped.
func TestKeys(t *testing.T) {
	b := start(t, sqcluster.Config{ControlCount: 1, EntryCount: 1})
	team := sqcluster.DefaultTeams()[0]
	assert.Equal(t, b.ask(), http.StatusOK)
	out := b.expect(exitOK, "key withdraw "+team.KeyID())
	assert.Assert(t, strings.Contains(out, "is in force"), out)
	assert.Equal(t, b.ask(), http.StatusUnauthorized)
	refused := b.expect(exitRefused, "publish -base current "+b.cluster.DeclarationsFolder())
	assert.Assert(t, strings.Contains(refused, "keyWithdrawn"), refused)
	assert.Equal(t, b.ask(), http.StatusUnauthorized)
	b.expect(exitRefused, "key withdraw nobody-1")
}

// TestQuestions wants every command that asks to answer from real processes.
func TestQuestions(t *testing.T) {
	b := start(t, sqcluster.Config{ControlCount: 1, EntryCount: 1, Declarations: sqcluster.Declarations{BillingWindow: time.Second}})
	assert.Equal(t, b.ask(), http.StatusOK)
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

// TestSettle kills an entry during a call that must not be repeated. The call
// has an unknown outcome until an operator settles it; then it may run.
func TestSettle(t *testing.T) {
	b := start(t, sqcluster.Config{ControlCount: 1, EntryCount: 2})
	for _, e := range b.cluster.Endpoints(sqcluster.Booking) {
		assert.NilError(t, b.cluster.InjectFault(e.Address, sqfault.Fault{Kind: sqfault.Hang, Phase: sqfault.BeforeRun}))
	}
	const path, body, identity = "/booking/places", `{"place":7}`, "call-1"
	done := make(chan int, 1)
	go func() { done <- b.post(0, path, body, identity) }()
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
	assert.Equal(t, b.post(1, path, body, identity), http.StatusConflict)
	b.expect(exitOK, fmt.Sprintf("settle %s %s -notRun -note checked", team, identity))
	assert.Equal(t, b.post(1, path, body, identity), http.StatusCreated)
	b.expect(exitConflict, fmt.Sprintf("settle %s %s -ran -note again", team, identity))
	b.expect(exitRefused, fmt.Sprintf("settle %s nothing -ran -note none", team))
}

// TestReplace wipes the disk of a control process and puts a new one in its
// place; a set-up must not bring it back.
func TestReplace(t *testing.T) {
	b := start(t, sqcluster.Config{EntryCount: 1})
	holder, err := b.cluster.WaitForHolder(b.ctx)
	assert.NilError(t, err)
	lost := b.cluster.Controls()[0]
	if lost == holder {
		lost = b.cluster.Controls()[1]
	}
	lost.Kill()
	assert.NilError(t, lost.WipeData())
	fresh, err := b.cluster.AddControl(b.ctx, lost.Name(), lost.Zone())
	assert.NilError(t, err)
	out := b.expect(exitOK, "replace "+lost.Name()+" -address "+fresh.Address()+" -timeout 60s")
	assert.Assert(t, strings.Contains(out, "is replaced"), out)
	b.expect(exitOK, "replace "+lost.Name()+" -address "+fresh.Address())
	assert.Equal(t, b.ask(), http.StatusOK)
	b.expect(exitOK, "publish -base current "+b.cluster.DeclarationsFolder())
}
