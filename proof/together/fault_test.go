package together

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"sequoiadock/proof/sqcluster"
	"sequoiadock/standin/sqfault"
	"sequoiadock/standin/sqfleet"
)

// fault is a temporary failure: it ends on its own, at the latest shortly after
// inject returns.
type fault struct {
	name string
	// target picks a target at random; a target has at most one fault at a time.
	target func(r *testRun, rng *rand.Rand) string
	inject func(r *testRun, target string, rng *rand.Rand) error
}

// faults are the faults of processes, network links, endpoints and the platform.
var faults = []fault{
	{"kill", anyControl, killControl},
	{"pause", anyControl, pauseControl},
	{"cut", anyControl, partitionControl},
	{"drop the responses of", anyControl, dropControlResponses},
	{"stop", anyControl, stopControl},
	{"lose the disk of", anyControl, replaceDisk},
	{"kill", anyEntry, killEntry},
	{"pause", anyEntry, pauseEntry},
	{"stop", anyEntry, stopEntry},
	{"crash", anyEndpoint, crashEndpoint},
	{"misuse", anyEndpoint, injectEndpointFault},
	{"cut", platformTarget, partitionPlatform},
	{"slow down", anyControl, slowControl},
	{"lose", wholeZone, loseZone},
	{"reclaim in", randomZone, reclaimZone},
}

// stopTimeout limits a graceful stop.
const stopTimeout = 30 * time.Second

// randomDuration returns a random duration in [low, high).
func randomDuration(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}

func anyControl(r *testRun, rng *rand.Rand) string {
	return r.c.Controls()[rng.IntN(len(r.c.Controls()))].Name()
}

func anyEntry(r *testRun, rng *rand.Rand) string {
	return r.c.Entries()[rng.IntN(len(r.c.Entries()))].Name()
}

func anyEndpoint(r *testRun, rng *rand.Rand) string {
	all := append(r.c.Endpoints("engine"), r.c.Endpoints(sqcluster.Booking)...)
	return all[rng.IntN(len(all))].ID
}

func platformTarget(*testRun, *rand.Rand) string { return "platform" }

func randomZone(_ *testRun, rng *rand.Rand) string {
	return sqcluster.DefaultZones()[rng.IntN(len(sqcluster.DefaultZones()))]
}

func wholeZone(r *testRun, rng *rand.Rand) string { return "all of " + randomZone(r, rng) }

func (r *testRun) control(name string) *sqcluster.Control {
	for _, n := range r.c.Controls() {
		if n.Name() == name {
			return n
		}
	}
	return nil
}

func (r *testRun) entry(name string) *sqcluster.Entry {
	for _, n := range r.c.Entries() {
		if n.Name() == name {
			return n
		}
	}
	return nil
}

func (r *testRun) endpoint(id string) sqfleet.Endpoint {
	for _, kind := range []string{"engine", sqcluster.Booking} {
		for _, e := range r.c.Endpoints(kind) {
			if e.ID == id {
				return e
			}
		}
	}
	return sqfleet.Endpoint{}
}

func killControl(r *testRun, target string, rng *rand.Rand) error {
	return killAndRestart(r.control(target).Process, rng)
}

func killAndRestart(p *sqcluster.Process, rng *rand.Rand) error {
	p.Kill()
	time.Sleep(randomDuration(rng, 0, 3*time.Second))
	return p.Start()
}

// diskTarget is reserved, in addition to the control process, while a disk is lost.
// So only one disk is lost at a time, and a quorum of replicas keeps its data.
const diskTarget = "disk"

// replaceDisk wipes the data folder of a control process and has it replaced by an
// operator's command.
func replaceDisk(r *testRun, target string, rng *rand.Rand) error {
	if !r.reserve(diskTarget) {
		return nil
	}
	defer r.release(diskTarget)
	n := r.control(target)
	n.Kill()
	if err := n.WipeData(); err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	time.Sleep(randomDuration(rng, 0, 2*time.Second))
	return r.c.Eventually(context.Background(), "the lost disk of "+target+" is replaced", func() bool {
		return r.c.RunCommand(context.Background(), "", "replace", target, "-address", n.Address()).ExitCode() == 0
	})
}

func pauseControl(r *testRun, target string, rng *rand.Rand) error {
	pauseAndContinue(r.control(target).Process, rng)
	return nil
}

func pauseAndContinue(p *sqcluster.Process, rng *rand.Rand) {
	p.Pause()
	time.Sleep(randomDuration(rng, 100*time.Millisecond, 6*time.Second))
	p.Continue()
	// A holder that was paused inside a guarded write is ended by its watchdog.
	time.Sleep(100 * time.Millisecond)
	if !p.Running() {
		_ = p.Start()
	}
}

func partitionControl(r *testRun, target string, rng *rand.Rand) error {
	return disturbLink(r.control(target).Proxy(), (*sqcluster.Proxy).Partition, rng)
}

func dropControlResponses(r *testRun, target string, rng *rand.Rand) error {
	return disturbLink(r.control(target).Proxy(), (*sqcluster.Proxy).DropResponses, rng)
}

func disturbLink(p *sqcluster.Proxy, disturb func(*sqcluster.Proxy) error, rng *rand.Rand) error {
	if err := disturb(p); err != nil {
		return err
	}
	time.Sleep(randomDuration(rng, 500*time.Millisecond, 6*time.Second))
	return p.Heal()
}

func stopControl(r *testRun, target string, _ *rand.Rand) error {
	return stopAndRestart(r.control(target).Process)
}

func stopAndRestart(p *sqcluster.Process) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if _, err := p.Stop(ctx); err != nil {
		return err
	}
	return p.Start()
}

func killEntry(r *testRun, target string, rng *rand.Rand) error {
	r.markInterrupted(r.entry(target))
	return killAndRestart(r.entry(target).Process, rng)
}

func pauseEntry(r *testRun, target string, rng *rand.Rand) error {
	r.markInterrupted(r.entry(target))
	pauseAndContinue(r.entry(target).Process, rng)
	return nil
}

func stopEntry(r *testRun, target string, _ *rand.Rand) error {
	return stopAndRestart(r.entry(target).Process)
}

func crashEndpoint(r *testRun, target string, rng *rand.Rand) error {
	request := map[string]int64{"downMillis": randomDuration(rng, 100*time.Millisecond, 3*time.Second).Milliseconds()}
	// An error is ignored: the endpoint may be released or down already.
	_ = r.c.PostJSON(r.endpoint(target).Address, "/standin/crash", request, nil)
	return nil
}

// endpointFaults are the faults that an endpoint applies to its next requests.
var endpointFaults = []sqfault.Fault{
	{Kind: sqfault.Reset, Phase: sqfault.BeforeFirstByte, Count: 2},
	{Kind: sqfault.Reset, Phase: sqfault.MidStream, Count: 2},
	{Kind: sqfault.Hang, Phase: sqfault.MidStream, Count: 1},
	{Kind: sqfault.Delay, Phase: sqfault.BeforeFirstByte, Count: 2, DelayMillis: 1500},
	{Kind: sqfault.WrongStream, Phase: sqfault.MidStream, Count: 1},
	{Kind: sqfault.DuplicatedEvents, Phase: sqfault.MidStream, Count: 1},
	{Kind: sqfault.SkippedToken, Phase: sqfault.MidStream, Count: 1},
	{Kind: sqfault.Malformed, Phase: sqfault.InHeaders, Count: 1},
	{Kind: sqfault.Truncated, Phase: sqfault.BeforeLastEvent, Count: 2},
}

func injectEndpointFault(r *testRun, target string, rng *rand.Rand) error {
	address := r.endpoint(target).Address
	if r.c.InjectFault(address, endpointFaults[rng.IntN(len(endpointFaults))]) != nil {
		return nil
	}
	time.Sleep(randomDuration(rng, time.Second, 3*time.Second))
	_ = r.c.ClearFaults(address)
	return nil
}

func partitionPlatform(r *testRun, _ string, rng *rand.Rand) error {
	return disturbLink(r.c.PlatformProxy(), (*sqcluster.Proxy).Partition, rng)
}

func slowControl(r *testRun, target string, rng *rand.Rand) error {
	slow := func(p *sqcluster.Proxy) error {
		return p.AddLatency(randomDuration(rng, 20*time.Millisecond, 400*time.Millisecond), randomDuration(rng, 0, 100*time.Millisecond))
	}
	return disturbLink(r.control(target).Proxy(), slow, rng)
}

// loseZone kills whatever the system has in a zone, at once, and takes the spot
// endpoints there. What another fault disturbs already is left to it.
func loseZone(r *testRun, target string, rng *rand.Rand) error {
	zone := strings.TrimPrefix(target, "all of ")
	seed := rng.Uint64()
	var wg sync.WaitGroup
	for _, n := range r.c.Controls() {
		if n.Zone() == zone && r.reserve(n.Name()) {
			defer r.release(n.Name())
			wg.Go(func() { r.check(killAndRestart(n.Process, rand.New(rand.NewPCG(seed, 1)))) })
		}
	}
	for _, e := range r.c.Entries() {
		if e.Zone() == zone && r.reserve(e.Name()) {
			defer r.release(e.Name())
			r.markInterrupted(e)
			wg.Go(func() { r.check(killAndRestart(e.Process, rand.New(rand.NewPCG(seed, 2)))) })
		}
	}
	err := r.c.PostJSON(r.c.StandinAddresses().Platform, "/standin/reclaim", reclaimRequest{Zone: zone}, nil)
	wg.Wait()
	return err
}

type reclaimRequest struct {
	Zone         string `json:"zone"`
	NoticeMillis int64  `json:"noticeMillis"`
}

func reclaimZone(r *testRun, zone string, rng *rand.Rand) error {
	notice := randomDuration(rng, 0, 3*time.Second).Milliseconds()
	return r.c.PostJSON(r.c.StandinAddresses().Platform, "/standin/reclaim", reclaimRequest{Zone: zone, NoticeMillis: notice}, nil)
}
