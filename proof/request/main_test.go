package request

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
	"sequoiadock/proof/sqjudge"
	"sequoiadock/standin/sqanswer"
	"sequoiadock/standin/sqcaller"
	"sequoiadock/standin/sqrecord"
)

func TestMain(m *testing.M) { sqcluster.Main(m) }

// atOnce bounds the deployments that run side by side.
var atOnce = make(chan struct{}, 3)

// start runs a deployment until the end of the test, beside those of other
// tests. The files stay when SEQUOIADOCK_PROOF_FILES names a folder for them.
func start(t *testing.T, cfg sqcluster.Config) *sqcluster.Cluster {
	t.Helper()
	t.Parallel()
	atOnce <- struct{}{}
	t.Cleanup(func() { <-atOnce })
	return startAlone(t, cfg)
}

// startAlone runs a deployment without regard for others.
func startAlone(t testing.TB, cfg sqcluster.Config) *sqcluster.Cluster {
	t.Helper()
	folder, err := sqcluster.TestFolder(t.TempDir(), t.Name())
	assert.NilError(t, err)
	cfg.Folder = folder
	begun := time.Now()
	c, err := sqcluster.Start(context.Background(), cfg)
	assert.NilError(t, err)
	t.Logf("the deployment serves after %v", time.Since(begun).Round(time.Millisecond))
	t.Cleanup(func() {
		c.Kill()
		noBreakdown(t, c)
	})
	return c
}

// noBreakdown checks what the processes printed.
func noBreakdown(t testing.TB, c *sqcluster.Cluster) {
	t.Helper()
	faults, err := sqjudge.RuntimeFailures(c.Folder())
	assert.NilError(t, err)
	assert.DeepEqual(t, faults, []string(nil))
}

// seeds returns the callers' addresses of all entries.
func seeds(c *sqcluster.Cluster) []string {
	var all []string
	for _, e := range c.Entries() {
		all = append(all, e.CallerAddress())
	}
	return all
}

// callerOf returns a caller of the team, near the first zone.
func callerOf(c *sqcluster.Cluster, key string) *sqcaller.Caller {
	return callerNear(c, key, sqcluster.DefaultZones()[0])
}

func callerNear(c *sqcluster.Cluster, key, zone string) *sqcaller.Caller {
	addresses := sqcaller.NewAddresses(sqcaller.AddressesConfig{Entries: seeds(c), Zone: zone})
	return sqcaller.New(sqcaller.Config{Addresses: addresses, Key: key, RetryRefusals: true, MaxAttempts: 20})
}

// chat returns a streamed request of some tokens.
func chat(question string, tokens int) sqcaller.ChatRequest {
	return sqcaller.ChatRequest{
		Model: sqcluster.ModelName, Stream: true, MaxTokens: tokens, Deadline: 15 * time.Second,
		Messages: []sqanswer.Message{{Role: "user", Content: question}},
	}
}

// record returns what the stand-ins received.
func record(t *testing.T, c *sqcluster.Cluster) []sqrecord.Entry {
	t.Helper()
	all, err := c.RecordEntries()
	assert.NilError(t, err)
	return all
}

// noKeySeen checks that no caller's key reached an endpoint.
func noKeySeen(t *testing.T, entries []sqrecord.Entry) {
	t.Helper()
	assert.DeepEqual(t, sqjudge.LeakedKeys(entries), []string(nil))
}
