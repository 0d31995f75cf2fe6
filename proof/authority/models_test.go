package authority

import (
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
	"sequoiadock/standin/sqcaller"
	"sequoiadock/standin/sqfleet"
	"sequoiadock/standin/sqmix"
	"sequoiadock/standin/sqrecord"
)

const newVersion = "walks@4"

// rolloutModelBytes and loadBytesPerSecond let one load take about a second at the
// harness's scale.
const (
	rolloutModelBytes  = 20 << 20
	loadBytesPerSecond = 1 << 20
)

// TestModelRollout publishes a new version of a model while requests arrive.
// Every engine loads the version, one after the other, and no request fails, also
// when the lease holder is killed during a load.
func TestModelRollout(t *testing.T) {
	t.Parallel()
	for _, kill := range []bool{false, true} {
		c := start(t, sqcluster.Config{
			Fleet: sqfleet.Settings{
				Engines: sqfleet.EngineSettings{Count: 3},
				Weights: sqfleet.WeightSettings{ModelBytes: rolloutModelBytes, BytesPerSecond: loadBytesPerSecond},
			},
			ControlPolicy: map[string]string{"roles": "static", "stock": "off"},
			ControlTiming: map[string]int{"pollMillis": 100, "planMillis": 200, "freshMillis": 1000},
			EntryTiming:   map[string]int{"freshMillis": 1000, "watchMillis": 100},
		})
		stop := make(chan struct{})
		reports := startRequests(t, c, stop)
		publishVersion(t, c, "4")
		if kill {
			eventually(t, c, "an engine loads the new version", func() bool { return loadStarted(records(t, c)) })
			waitHolder(t, c).Kill()
		}
		eventually(t, c, "every engine has the new version", func() bool { return len(loadedEngines(records(t, c))) == 3 })
		metrics := holderMetrics(t, c)
		close(stop)
		r := <-reports
		assert.Assert(t, r.Finished > 0)
		for _, o := range r.Outcomes {
			assert.Equal(t, o.Kind, "chat "+string(sqcaller.Complete), "%d requests", o.Count)
		}
		assertRollout(t, records(t, c))
		assert.Assert(t, !kill || countRolloutTerms(records(t, c)) > 1, "the rollout ended before the kill")
		assertNoViolations(t, records(t, c))
		assert.Assert(t, strings.Contains(metrics, "sequoiadock_control_holds_lease 1\n"), metrics)
		assert.Assert(t, strings.Contains(metrics, `sequoiadock_control_endpoints{state="live"} 7`), metrics)
		c.Kill()
	}
}

// loadStarted returns whether an engine has begun to load the new version.
func loadStarted(entries []sqrecord.Entry) bool {
	for _, e := range entries {
		if e.Kind == sqrecord.OrderReceived && e.Argument == newVersion && e.Detail == "started" {
			return true
		}
	}
	return false
}

// countRolloutTerms counts the terms in which the new version was ordered.
func countRolloutTerms(entries []sqrecord.Entry) int {
	terms := make(map[uint64]bool)
	for _, e := range entries {
		if e.Kind == sqrecord.OrderReceived && e.Argument == newVersion {
			terms[e.FencingTerm] = true
		}
	}
	return len(terms)
}

// startRequests sends requests until stop closes. The returned channel then
// receives the report on them.
func startRequests(t *testing.T, c *sqcluster.Cluster, stop chan struct{}) <-chan *sqmix.Report {
	t.Helper()
	cfg := sqmix.Config{
		Seed: 11, ChatRate: 20, Zones: sqcluster.DefaultZones(), Model: sqcluster.ModelName, Duration: time.Minute,
		StopArrivals: stop, RetryRefusals: true, MaxAttempts: 20, Deadline: 10 * time.Second,
		LongPrompt: sqmix.Shape{PromptMin: 1200, PromptMax: 2500, AnswerMin: 2, AnswerMax: 5},
		LongAnswer: sqmix.Shape{PromptMin: 10, PromptMax: 20, AnswerMin: 60, AnswerMax: 100},
	}
	for _, e := range c.Entries() {
		cfg.Entries = append(cfg.Entries, e.CallerAddress())
	}
	for _, team := range sqcluster.DefaultTeams() {
		cfg.Teams = append(cfg.Teams, sqmix.Team{Name: team.Name(), Key: team.Key(), Share: 1, Demand: 1})
	}
	reports := make(chan *sqmix.Report, 1)
	go func() {
		r, err := sqmix.Run(context.Background(), cfg)
		if err != nil {
			t.Error(err)
		}
		reports <- r
	}()
	return reports
}

// publishVersion changes the model's version in the declarations and publishes them
// with the operator's command.
func publishVersion(t *testing.T, c *sqcluster.Cluster, version string) {
	t.Helper()
	path := filepath.Join(c.DeclarationsFolder(), "models.toml")
	text, err := os.ReadFile(path)
	assert.NilError(t, err)
	changed := strings.Replace(string(text), `version = "3"`, `version = "`+version+`"`, 1)
	assert.Assert(t, changed != string(text))
	assert.NilError(t, os.WriteFile(path, []byte(changed), 0o600))
	out, err := c.CommandOutput(t.Context(), "", "publish", "-base", "current", c.DeclarationsFolder())
	assert.NilError(t, err, out)
}

// loadedEngines returns the identities of the engines that loaded the new version,
// in the order in which they finished.
func loadedEngines(entries []sqrecord.Entry) []string {
	var all []string
	for _, e := range entries {
		if e.Kind == sqrecord.OrderEnded && e.Argument == newVersion && e.Detail == "done" {
			all = append(all, e.Source)
		}
	}
	return all
}

// assertRollout checks that at most one engine loads the new version at a time and
// that each engine loads it once.
func assertRollout(t *testing.T, entries []sqrecord.Entry) {
	t.Helper()
	loading := ""
	for _, e := range entries {
		switch {
		case e.Argument != newVersion:
		case e.Kind == sqrecord.OrderReceived && e.Detail == "started":
			assert.Equal(t, loading, "", "%s loads at the same time", e.Source)
			loading = e.Source
		case e.Kind == sqrecord.OrderEnded:
			assert.Equal(t, loading, e.Source)
			loading = ""
		}
	}
	engines := make(map[string]bool)
	for _, id := range loadedEngines(entries) {
		assert.Assert(t, !engines[id], "%s loaded twice", id)
		engines[id] = true
	}
	assert.Equal(t, len(engines), 3)
}

// holderMetrics reads the lease holder's metrics.
func holderMetrics(t *testing.T, c *sqcluster.Cluster) string {
	t.Helper()
	client := &http.Client{Timeout: 3 * time.Second}
	res, err := client.Get("http://" + waitHolder(t, c).DirectAddress() + "/metrics")
	assert.NilError(t, err)
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	return string(b)
}
