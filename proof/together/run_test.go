package together

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/io/sqrpc"
	"sequoiadock/proof/sqcluster"
	"sequoiadock/standin/sqanswer"
	"sequoiadock/standin/sqcaller"
	"sequoiadock/standin/sqmix"
)

const (
	// defaultDuration is how long faults are injected; SEQUOIADOCK_TOGETHER overrides
	// it with a duration such as "10m".
	defaultDuration = 20 * time.Second
	// defaultSeed determines the faults; SEQUOIADOCK_SEED overrides it.
	defaultSeed = 1
	// defaultFaultCount is the number of faults at a time;
	// SEQUOIADOCK_FAULTS_AT_ONCE overrides it.
	defaultFaultCount = 2
	// probeInterval is the time between two status requests to an entry.
	probeInterval = 50 * time.Millisecond
)

func runDuration() time.Duration {
	if d, err := time.ParseDuration(os.Getenv("SEQUOIADOCK_TOGETHER")); err == nil {
		return d
	}
	return defaultDuration
}

func runSeed() uint64 { return envUint("SEQUOIADOCK_SEED", defaultSeed) }

func concurrentFaults() int { return int(envUint("SEQUOIADOCK_FAULTS_AT_ONCE", defaultFaultCount)) }

// envUint returns the value of an environment variable, or def if it is unset or not
// a number.
func envUint(name string, def uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return n
	}
	return def
}

// testRun is a deployment into which faults are injected.
type testRun struct {
	t    *testing.T
	c    *sqcluster.Cluster
	stop chan struct{}
	wg   sync.WaitGroup

	mu sync.Mutex
	// targetsInUse holds the targets that have a fault now.
	targetsInUse map[string]bool
	// interrupted holds the caller addresses of entries that were killed or paused.
	interrupted map[string]bool
	// versionInForce is the newest version that a publish command reported as in force.
	versionInForce uint64
	// keysGranted maps the ID of an extra key to true after its grant was confirmed,
	// and to false after its withdrawal was confirmed.
	keysGranted map[string]bool
}

// injectFaults injects one fault after the other until the run stops.
func (r *testRun) injectFaults(seed uint64) {
	rng := rand.New(rand.NewPCG(runSeed(), seed))
	for {
		select {
		case <-r.stop:
			return
		case <-time.After(randomDuration(rng, 100*time.Millisecond, 1500*time.Millisecond)):
		}
		f := faults[rng.IntN(len(faults))]
		target := f.target(r, rng)
		if !r.reserve(target) {
			continue
		}
		r.t.Logf("%s %s %s", time.Now().Format("04:05.000"), f.name, target)
		r.check(f.inject(r, target, rng))
		r.release(target)
	}
}

// check fails the test if a fault could not be injected or ended.
func (r *testRun) check(err error) {
	if err != nil {
		r.t.Error(err)
	}
}

func (r *testRun) reserve(target string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.targetsInUse[target] {
		return false
	}
	r.targetsInUse[target] = true
	return true
}

func (r *testRun) release(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.targetsInUse, target)
}

func (r *testRun) markInterrupted(e *sqcluster.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.interrupted[e.CallerAddress()] = true
}

// publishRepeatedly publishes the declarations until the run stops and records the
// newest version in force.
func (r *testRun) publishRepeatedly() {
	for {
		select {
		case <-r.stop:
			return
		case <-time.After(2 * time.Second):
		}
		o := r.c.RunCommand(context.Background(), "", "publish", "-base", "current", r.c.DeclarationsFolder())
		var version uint64
		if rest, ok := strings.CutPrefix(o.Stdout(), "version "); ok && o.ExitCode() == 0 && strings.Contains(rest, "is in force") {
			version, _ = strconv.ParseUint(strings.Fields(rest)[0], 10, 64)
		}
		r.mu.Lock()
		r.versionInForce = max(r.versionInForce, version)
		r.mu.Unlock()
	}
}

// extraKeySecret returns the secret of the extra key with the given ID.
func extraKeySecret(id string) string { return "secret-of-" + id + "-0123456789" }

// grantAndWithdraw grants extra keys to the last team, withdraws every other one and
// checks that entries reject the withdrawn keys.
func (r *testRun) grantAndWithdraw() {
	teams := sqcluster.DefaultTeams()
	team := teams[len(teams)-1].Name()
	for i := 0; ; i++ {
		select {
		case <-r.stop:
			return
		default:
		}
		id := "extra-" + strconv.Itoa(i)
		if r.runUntilInForce(extraKeySecret(id), "key", "grant", "-id", id, "-team", team) {
			r.recordKey(id, true)
		}
		if i%2 == 0 && r.runUntilInForce("", "key", "withdraw", id) {
			r.recordKey(id, false)
			r.expectRejected(id)
		}
	}
}

// runUntilInForce repeats a command until it succeeds and is confirmed. It returns
// false if the run stops before.
func (r *testRun) runUntilInForce(stdin string, args ...string) bool {
	args = append(args[:2:2], append([]string{"-operation", strings.Join(args, "-")}, args[2:]...)...)
	for {
		o := r.c.RunCommand(context.Background(), stdin, args...)
		if o.ExitCode() == 0 && !strings.Contains(o.Stdout(), "not yet confirmed") {
			return true
		}
		select {
		case <-r.stop:
			return false
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func (r *testRun) recordKey(id string, granted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keysGranted[id] = granted
}

// expectRejected checks that no entry serves a request with a withdrawn key.
func (r *testRun) expectRejected(id string) {
	for _, e := range r.c.Entries() {
		if a := r.sendRequest(e, extraKeySecret(id), time.Second); a.Outcome == sqcaller.Complete {
			r.t.Errorf("%s served the withdrawn key %s", e.Name(), id)
		}
	}
}

// sendRequest sends one chat request to one entry, without a retry.
func (r *testRun) sendRequest(e *sqcluster.Entry, key string, deadline time.Duration) sqcaller.ChatResult {
	addresses := sqcaller.NewAddresses(sqcaller.AddressesConfig{Entries: []string{e.CallerAddress()}, Zone: e.Zone()})
	caller := sqcaller.New(sqcaller.Config{Addresses: addresses, Key: key, MaxAttempts: 1})
	return caller.Chat(context.Background(), sqcaller.ChatRequest{
		Model: sqcluster.ModelName, Stream: true, MaxTokens: 3, Deadline: deadline, Address: e.CallerAddress(),
		Messages: []sqanswer.Message{{Role: "user", Content: "may I"}},
	})
}

// checkVersions fails the test if the entry reports itself as fresh with a version
// older than the one that was in force before the status request was sent.
func (r *testRun) checkVersions(e *sqcluster.Entry) {
	client := sqrpc.NewEntryProtobufClient("http://"+e.InternalAddress(), &http.Client{Timeout: time.Second})
	for {
		select {
		case <-r.stop:
			return
		case <-time.After(probeInterval):
		}
		r.mu.Lock()
		minVersion := r.versionInForce
		r.mu.Unlock()
		s, err := client.EntryStatus(context.Background(), &sqrpc.EntryStatusRequest{})
		if err == nil && s.GetFresh() && s.GetVersion() < minVersion {
			r.t.Errorf("%s is fresh with version %d after %d was in force", e.Name(), s.GetVersion(), minVersion)
		}
	}
}

// startLoad sends chat requests and calls of all teams until the run stops.
func (r *testRun) startLoad() <-chan *sqmix.Report {
	cfg := sqmix.Config{
		Seed: runSeed(), ChatRate: 20, BookingRate: 20, UnstreamedShare: 0.2, Deadline: 10 * time.Second, MixPeriod: 5 * time.Second,
		LongPrompt: sqmix.Shape{PromptMin: 1200, PromptMax: 2500, AnswerMin: 10, AnswerMax: 30},
		LongAnswer: sqmix.Shape{PromptMin: 10, PromptMax: 60, AnswerMin: 60, AnswerMax: 200},
		Zones:      sqcluster.DefaultZones(), Model: sqcluster.ModelName, StopArrivals: r.stop, Duration: 2 * runDuration(),
		RetryRefusals: true, MaxAttempts: 20,
	}
	for _, e := range r.c.Entries() {
		cfg.Entries = append(cfg.Entries, e.CallerAddress())
	}
	for _, team := range sqcluster.DefaultTeams() {
		cfg.Teams = append(cfg.Teams, sqmix.Team{Name: team.Name(), Key: team.Key(), Share: 1, Demand: 1})
	}
	done := make(chan *sqmix.Report, 1)
	go func() {
		report, err := sqmix.Run(context.Background(), cfg)
		if err != nil {
			r.t.Error(err)
		}
		done <- report
	}()
	return done
}

// expectServing checks that every entry serves requests after all faults have ended.
func (r *testRun) expectServing() {
	key := sqcluster.DefaultTeams()[0].Key()
	for _, e := range r.c.Entries() {
		err := r.c.Eventually(context.Background(), e.Name()+" serves", func() bool {
			return r.sendRequest(e, key, 5*time.Second).Outcome == sqcaller.Complete
		})
		assert.NilError(r.t, err)
	}
}
