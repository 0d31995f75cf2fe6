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

// loadSize and loadRate let one load take about a second at the harness's scale.
const (
	loadSize = 20 << 20
	loadRate = 1 << 20
)

// TestModelRollout publishes a new version of a model while requests come:
// every engine loads it, one after the other, and no request fails, also when
// the holder is killed in the middle of a load.
func TestModelRollout(t *testing.T) {
	t.Parallel()
	for _, kill := range []bool{false, true} {
		c := start(t, sqcluster.Config{
			Fleet: sqfleet.Settings{
				Engines: sqfleet.EngineSettings{Count: 3},
				Weights: sqfleet.WeightSettings{ModelBytes: loadSize, BytesPerSecond: loadRate},
			},
			ControlPolicy: map[string]string{"roles": "static", "stock": "off"},
			ControlTiming: map[string]int{"pollMillis": 100, "planMillis": 200, "freshMillis": 1000},
			EntryTiming:   map[string]int{"freshMillis": 1000, "watchMillis": 100},
		})
		stop := make(chan struct{})
		reports := mix(t, c, stop)
		publishVersion(t, c, "4")
		if kill {
			eventually(t, c, "an engine loads", func() bool { return started(record(t, c)) })
			holder(t, c).Kill()
		}
		eventually(t, c, "every engine has the new version", func() bool { return len(loads(record(t, c))) == 3 })
		metrics := controlMetrics(t, c)
		close(stop)
		r := <-reports
		assert.Assert(t, r.Finished > 0)
		for _, o := range r.Outcomes {
			assert.Equal(t, o.Kind, "chat "+string(sqcaller.Complete), "%d requests", o.Count)
		}
		judgeRollout(t, record(t, c))
		assert.Assert(t, !kill || holders(record(t, c)) > 1, "the rollout ended before the holder was killed")
		judge(t, record(t, c))
		assert.Assert(t, strings.Contains(metrics, "sequoiadock_control_holds_lease 1\n"), metrics)
		assert.Assert(t, strings.Contains(metrics, `sequoiadock_control_endpoints{state="live"} 7`), metrics)
		c.Kill()
	}
}

// started returns whether an engine has begun to load the new version.
func started(entries []sqrecord.Entry) bool {
	for _, e := range entries {
		if e.Kind == sqrecord.OrderReceived && e.Argument == newVersion && e.Detail == "started" {
			return true
		}
	}
	return false
}

// holders counts the terms that ordered the new version.
func holders(entries []sqrecord.Entry) int {
	terms := make(map[uint64]bool)
	for _, e := range entries {
		if e.Kind == sqrecord.OrderReceived && e.Argument == newVersion {
			terms[e.FencingTerm] = true
		}
	}
	return len(terms)
}

// mix sends requests until stop closes, and then its report.
func mix(t *testing.T, c *sqcluster.Cluster, stop chan struct{}) <-chan *sqmix.Report {
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

// publishVersion declares another version of the model, as an operator does.
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

// loads returns the engines that ended loading the new version, in order.
func loads(entries []sqrecord.Entry) []string {
	var all []string
	for _, e := range entries {
		if e.Kind == sqrecord.OrderEnded && e.Argument == newVersion && e.Detail == "done" {
			all = append(all, e.Source)
		}
	}
	return all
}

// judgeRollout wants one load at a time and one on each engine.
func judgeRollout(t *testing.T, entries []sqrecord.Entry) {
	t.Helper()
	loading := ""
	for _, e := range entries {
		switch {
		case e.Argument != newVersion:
		case e.Kind == sqrecord.OrderReceived && e.Detail == "started":
			assert.Equal(t, loading, "", "%s loads beside it", e.Source)
			loading = e.Source
		case e.Kind == sqrecord.OrderEnded:
			assert.Equal(t, loading, e.Source)
			loading = ""
		}
	}
	engines := make(map[string]bool)
	for _, id := range loads(entries) {
		assert.Assert(t, !engines[id], "%s loaded twice", id)
		engines[id] = true
	}
	assert.Equal(t, len(engines), 3)
}

// controlMetrics reads the holder's metrics.
func controlMetrics(t *testing.T, c *sqcluster.Cluster) string {
	t.Helper()
	client := &http.Client{Timeout: 3 * time.Second}
	res, err := client.Get("http://" + holder(t, c).DirectAddress() + "/metrics")
	assert.NilError(t, err)
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	return string(b)
}
