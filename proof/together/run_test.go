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
	// defaultTime is how long faults come; SEQUOIADOCK_TOGETHER asks for another
	// time, such as "10m".
	defaultTime = 20 * time.Second
	// defaultSeed gives the faults; SEQUOIADOCK_SEED asks for another.
	defaultSeed = 1
	// defaultFaults is the number of faults at a time; SEQUOIADOCK_FAULTS_AT_ONCE
	// asks for another.
	defaultFaults = 2
	// probeEvery is the time between looks at an entry's version.
	probeEvery = 50 * time.Millisecond
)

func runTime() time.Duration {
	if d, err := time.ParseDuration(os.Getenv("SEQUOIADOCK_TOGETHER")); err == nil {
		return d
	}
	return defaultTime
}

func runSeed() uint64 { return number("SEQUOIADOCK_SEED", defaultSeed) }

func faultsAtOnce() int { return int(number("SEQUOIADOCK_FAULTS_AT_ONCE", defaultFaults)) }

// number returns what a variable of the environment asks for.
func number(name string, def uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return n
	}
	return def
}

// run is a deployment under faults.
type run struct {
	t    *testing.T
	c    *sqcluster.Cluster
	stop chan struct{}
	wg   sync.WaitGroup

	mu sync.Mutex
	// busy holds what a fault disturbs now.
	busy map[string]bool
	// mayBeCut holds the callers' addresses of entries that were killed or paused.
	mayBeCut map[string]bool
	// inForce is the newest version that an operator was told is in force.
	inForce uint64
	// keys are what operators were told of extra keys: true for granted.
	keys map[string]bool
}

// injectFaults brings faults about until the run stops.
func (r *run) injectFaults(seed uint64) {
	rng := rand.New(rand.NewPCG(runSeed(), seed))
	for {
		select {
		case <-r.stop:
			return
		case <-time.After(between(rng, 100*time.Millisecond, 1500*time.Millisecond)):
		}
		f := faults[rng.IntN(len(faults))]
		target := f.target(r, rng)
		if !r.take(target) {
			continue
		}
		r.t.Logf("%s %s %s", time.Now().Format("04:05.000"), f.name, target)
		r.check(f.do(r, target, rng))
		r.release(target)
	}
}

// check fails the run when a fault could not be brought about or ended.
func (r *run) check(err error) {
	if err != nil {
		r.t.Error(err)
	}
}

func (r *run) take(target string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy[target] {
		return false
	}
	r.busy[target] = true
	return true
}

func (r *run) release(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.busy, target)
}

func (r *run) mayCut(e *sqcluster.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mayBeCut[e.CallerAddress()] = true
}

// publish publishes again and again, and notes what is in force.
func (r *run) publish() {
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
		r.inForce = max(r.inForce, version)
		r.mu.Unlock()
	}
}

// secretOf returns an extra key of a team that sends nothing else.
func secretOf(id string) string { return "secret-of-" + id + "-0123456789" }

// grantAndWithdraw gives out extra keys and takes back every other one.
func (r *run) grantAndWithdraw() {
	teams := sqcluster.DefaultTeams()
	team := teams[len(teams)-1].Name()
	for i := 0; ; i++ {
		select {
		case <-r.stop:
			return
		default:
		}
		id := "extra-" + strconv.Itoa(i)
		if r.operate(secretOf(id), "key", "grant", "-id", id, "-team", team) {
			r.note(id, true)
		}
		if i%2 == 0 && r.operate("", "key", "withdraw", id) {
			r.note(id, false)
			r.expectDead(id)
		}
	}
}

// operate repeats a command until it succeeds and says that it is in force.
func (r *run) operate(stdin string, args ...string) bool {
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

func (r *run) note(id string, granted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keys[id] = granted
}

// expectDead asks with a withdrawn key at every entry.
func (r *run) expectDead(id string) {
	for _, e := range r.c.Entries() {
		if a := r.ask(e, secretOf(id), time.Second); a.Outcome == sqcaller.Whole {
			r.t.Errorf("%s served the withdrawn key %s", e.Name(), id)
		}
	}
}

// ask sends one request to one entry.
func (r *run) ask(e *sqcluster.Entry, key string, deadline time.Duration) sqcaller.Answer {
	addresses := sqcaller.NewAddresses(sqcaller.AddressConfig{Entries: []string{e.CallerAddress()}, Zone: e.Zone()})
	caller := sqcaller.New(sqcaller.Config{Addresses: addresses, Key: key, Attempts: 1})
	return caller.Chat(context.Background(), sqcaller.Chat{
		Model: sqcluster.ModelName, Stream: true, MaxTokens: 3, Deadline: deadline, Address: e.CallerAddress(),
		Messages: []sqanswer.Message{{Role: "user", Content: "may I"}},
	})
}

// probe looks for a fresh entry whose version is older than what was in force
// before the question was sent.
func (r *run) probe(e *sqcluster.Entry) {
	client := sqrpc.NewEntryProtobufClient("http://"+e.InternalAddress(), &http.Client{Timeout: time.Second})
	for {
		select {
		case <-r.stop:
			return
		case <-time.After(probeEvery):
		}
		r.mu.Lock()
		floor := r.inForce
		r.mu.Unlock()
		s, err := client.EntryStatus(context.Background(), &sqrpc.EntryStatusRequest{})
		if err == nil && s.GetFresh() && s.GetVersion() < floor {
			r.t.Errorf("%s is fresh with version %d after %d was in force", e.Name(), s.GetVersion(), floor)
		}
	}
}

// startLoad sends requests of all teams until the run stops.
func (r *run) startLoad() <-chan *sqmix.Report {
	cfg := sqmix.Config{
		Seed: runSeed(), Rate: 20, CallRate: 20, PlainAnswers: 0.2, Deadline: 10 * time.Second, Swing: 5 * time.Second,
		Reading: sqmix.Shape{PromptLow: 1200, PromptHigh: 2500, AnswerLow: 10, AnswerHigh: 30},
		Telling: sqmix.Shape{PromptLow: 10, PromptHigh: 60, AnswerLow: 60, AnswerHigh: 200},
		Zones:   sqcluster.DefaultZones(), Model: sqcluster.ModelName, Until: r.stop, Duration: 2 * runTime(),
		RetryRefusals: true, Attempts: 20,
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

// expectHealed wants every entry to serve again once no fault is left.
func (r *run) expectHealed() {
	key := sqcluster.DefaultTeams()[0].Key()
	for _, e := range r.c.Entries() {
		err := r.c.Eventually(context.Background(), e.Name()+" serves", func() bool {
			return r.ask(e, key, 5*time.Second).Outcome == sqcaller.Whole
		})
		assert.NilError(r.t, err)
	}
}
