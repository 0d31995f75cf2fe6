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

// deploymentSlots limits the number of deployments that run at the same time.
var deploymentSlots = make(chan struct{}, 3)

// start starts a deployment that runs until the end of the test, in parallel with
// those of other tests. Its files are kept if SEQUOIADOCK_PROOF_FILES names a folder
// for them.
func start(t *testing.T, cfg sqcluster.Config) *sqcluster.Cluster {
	t.Helper()
	t.Parallel()
	deploymentSlots <- struct{}{}
	t.Cleanup(func() { <-deploymentSlots })
	return startWithoutLimit(t, cfg)
}

// startWithoutLimit starts a deployment that runs until the end of the test, without
// waiting for one of the deploymentSlots.
func startWithoutLimit(t testing.TB, cfg sqcluster.Config) *sqcluster.Cluster {
	t.Helper()
	folder, err := sqcluster.TestFolder(t.TempDir(), t.Name())
	assert.NilError(t, err)
	cfg.Folder = folder
	startedAt := time.Now()
	c, err := sqcluster.Start(context.Background(), cfg)
	assert.NilError(t, err)
	t.Logf("the deployment serves after %v", time.Since(startedAt).Round(time.Millisecond))
	t.Cleanup(func() {
		c.Kill()
		assertNoBreakdowns(t, c)
	})
	return c
}

// assertNoBreakdowns checks that no process printed a panic, a fatal error or a data
// race.
func assertNoBreakdowns(t testing.TB, c *sqcluster.Cluster) {
	t.Helper()
	faults, err := sqjudge.RuntimeFailures(c.Folder())
	assert.NilError(t, err)
	assert.DeepEqual(t, faults, []string(nil))
}

// entryAddresses returns the addresses at which all entries serve callers.
func entryAddresses(c *sqcluster.Cluster) []string {
	var all []string
	for _, e := range c.Entries() {
		all = append(all, e.CallerAddress())
	}
	return all
}

// newCaller returns a caller with the API key, in the first zone.
func newCaller(c *sqcluster.Cluster, key string) *sqcaller.Caller {
	return newCallerInZone(c, key, sqcluster.DefaultZones()[0])
}

func newCallerInZone(c *sqcluster.Cluster, key, zone string) *sqcaller.Caller {
	addresses := sqcaller.NewAddresses(sqcaller.AddressesConfig{Entries: entryAddresses(c), Zone: zone})
	return sqcaller.New(sqcaller.Config{Addresses: addresses, Key: key, RetryRefusals: true, MaxAttempts: 20})
}

// newChat returns a streamed chat request for the given number of tokens.
func newChat(question string, tokens int) sqcaller.ChatRequest {
	return sqcaller.ChatRequest{
		Model: sqcluster.ModelName, Stream: true, MaxTokens: tokens, Deadline: 15 * time.Second,
		Messages: []sqanswer.Message{{Role: "user", Content: question}},
	}
}

// records returns the entries that all stand-ins have recorded.
func records(t *testing.T, c *sqcluster.Cluster) []sqrecord.Entry {
	t.Helper()
	all, err := c.RecordEntries()
	assert.NilError(t, err)
	return all
}

// assertNoKeyLeaked checks that no caller's API key reached an endpoint.
func assertNoKeyLeaked(t *testing.T, entries []sqrecord.Entry) {
	t.Helper()
	assert.DeepEqual(t, sqjudge.LeakedKeys(entries), []string(nil))
}
