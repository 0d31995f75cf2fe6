package authority

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqcommand"
	"sequoiadock/io/sqrpc"
	"sequoiadock/proof/sqcluster"
	"sequoiadock/standin/sqmix"
	"sequoiadock/standin/sqrecord"
)

func TestMain(m *testing.M) { sqcluster.Main(m) }

// start starts a deployment that runs until the end of the test.
func start(t *testing.T, cfg sqcluster.Config) *sqcluster.Cluster {
	t.Helper()
	folder, err := sqcluster.TestFolder(t.TempDir(), t.Name())
	assert.NilError(t, err)
	cfg.Folder = folder
	if cfg.EntryCount == 0 {
		cfg.EntryCount = 2
	}
	c, err := sqcluster.Start(context.Background(), cfg)
	assert.NilError(t, err)
	t.Cleanup(c.Kill)
	return c
}

// frequentOrdersConfig configures a deployment that sends many orders: the reactive
// role policy follows each swing of the request mix, and the fleet has to grow.
func frequentOrdersConfig() sqcluster.Config {
	return sqcluster.Config{
		ControlPolicy: map[string]string{"roles": "reactive"},
		ControlTiming: map[string]int{"pollMillis": 100, "planMillis": 200, "freshMillis": 1000},
		EntryTiming:   map[string]int{"freshMillis": 1000, "watchMillis": 100},
		Declarations:  sqcluster.Declarations{BillingWindow: 2 * time.Second},
	}
}

// swingHalfPeriod is half the period of the alternating demand, which needs other
// roles in each half.
const swingHalfPeriod = 2 * time.Second

// startSwingingLoad sends requests and alternates the demand until the end of the
// test.
func startSwingingLoad(t *testing.T, c *sqcluster.Cluster) {
	t.Helper()
	startSwingingLoadEvery(t, c, swingHalfPeriod)
}

// startSwingingLoadEvery is startSwingingLoad with another half period of the demand.
func startSwingingLoadEvery(t *testing.T, c *sqcluster.Cluster, halfPeriod time.Duration) {
	t.Helper()
	stop := make(chan struct{})
	done := make(chan struct{})
	cfg := sqmix.Config{
		Seed: 7, ChatRate: 10, Zones: sqcluster.DefaultZones(), Model: sqcluster.ModelName,
		Duration: 2 * time.Minute, MixPeriod: 8 * time.Second, StopArrivals: stop, RetryRefusals: true, MaxAttempts: 20,
		Deadline:   10 * time.Second,
		LongPrompt: sqmix.Shape{PromptMin: 1200, PromptMax: 2500, AnswerMin: 2, AnswerMax: 5},
		LongAnswer: sqmix.Shape{PromptMin: 10, PromptMax: 20, AnswerMin: 60, AnswerMax: 100},
	}
	for _, e := range c.Entries() {
		cfg.Entries = append(cfg.Entries, e.CallerAddress())
	}
	for _, team := range sqcluster.DefaultTeams() {
		cfg.Teams = append(cfg.Teams, sqmix.Team{Name: team.Name(), Key: team.Key(), Share: 1, Demand: 1})
	}
	go func() {
		defer close(done)
		if _, err := sqmix.Run(context.Background(), cfg); err != nil {
			t.Error(err)
		}
	}()
	demand := c.StartDemandReporter(halfPeriod)
	t.Cleanup(func() {
		close(stop)
		<-done
		demand.Stop()
	})
}

func eventually(t *testing.T, c *sqcluster.Cluster, what string, ok func() bool) {
	t.Helper()
	assert.NilError(t, c.Eventually(context.Background(), what, ok))
}

func records(t *testing.T, c *sqcluster.Cluster) []sqrecord.Entry {
	t.Helper()
	all, err := c.RecordEntries()
	assert.NilError(t, err)
	return all
}

func waitHolder(t *testing.T, c *sqcluster.Cluster) *sqcluster.Control {
	t.Helper()
	n, err := c.WaitForHolder(context.Background())
	assert.NilError(t, err)
	return n
}

// submit sends a command to the running control processes in turn, until one of
// them answers without an error or ctx ends.
func submit(ctx context.Context, c *sqcluster.Cluster, cmd *sqcommand.Command) (*sqcommand.Result, error) {
	var last error
	for ctx.Err() == nil {
		for _, n := range c.Controls() {
			if !n.Running() {
				continue
			}
			res, err := controlClient(n).Submit(ctx, &sqrpc.SubmitRequest{Command: cmd})
			if err == nil {
				return res.GetResult(), nil
			}
			last = err
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil, last
}

func controlClient(n *sqcluster.Control) sqrpc.Control {
	return sqrpc.NewControlProtobufClient("http://"+n.DirectAddress(), &http.Client{Timeout: 3 * time.Second})
}

func grantKeyCommand(id string) *sqcommand.Command {
	k := &sqcommand.Key{Id: id, Team: sqcluster.DefaultTeams()[0].Name(), Sha256: []byte(strings.Repeat(id, 32)[:32])}
	return &sqcommand.Command{OperationId: "grant-" + id, Body: &sqcommand.Command_GrantKey{GrantKey: &sqcommand.GrantKey{Key: k}}}
}

// activeKeys returns the identities of the API keys in force. It asks the lease
// holder with the watch request of an entry that has no state yet.
func activeKeys(t *testing.T, c *sqcluster.Cluster) map[string]bool {
	t.Helper()
	var res *sqrpc.WatchResponse
	eventually(t, c, "the lease holder answers a watch", func() bool {
		for _, n := range c.Controls() {
			r, err := controlClient(n).Watch(context.Background(), &sqrpc.WatchRequest{Entry: "probe", Leaving: true})
			if n.Running() && err == nil {
				res = r
				return true
			}
		}
		return false
	})
	keys := make(map[string]bool)
	for _, k := range res.GetKeys() {
		keys[k.GetId()] = true
	}
	return keys
}
