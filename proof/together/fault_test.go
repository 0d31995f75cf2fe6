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

// fault is a disturbance that ends by itself.
type fault struct {
	name string
	// target returns what the fault disturbs; a target has one fault at a time.
	target func(r *run, rng *rand.Rand) string
	do     func(r *run, target string, rng *rand.Rand) error
}

// faults are all that processes, links, endpoints and the platform suffer.
var faults = []fault{
	{"kill", anyControl, killControl},
	{"pause", anyControl, pauseControl},
	{"cut", anyControl, cutControl},
	{"lose the answers of", anyControl, cutAnswers},
	{"stop", anyControl, stopControl},
	{"lose the disk of", anyControl, loseDisk},
	{"kill", anyEntry, killEntry},
	{"pause", anyEntry, pauseEntry},
	{"stop", anyEntry, stopEntry},
	{"crash", anyEndpoint, crashEndpoint},
	{"misuse", anyEndpoint, misuseEndpoint},
	{"cut", platform, cutPlatform},
	{"slow down", anyControl, slowControl},
	{"lose", anyZone, loseZone},
	{"reclaim in", cheapZone, reclaimZone},
}

// stopTime bounds a planned stop.
const stopTime = 30 * time.Second

// between returns a random time.
func between(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}

func anyControl(r *run, rng *rand.Rand) string {
	return r.c.Controls()[rng.IntN(len(r.c.Controls()))].Name()
}

func anyEntry(r *run, rng *rand.Rand) string {
	return r.c.Entries()[rng.IntN(len(r.c.Entries()))].Name()
}

func anyEndpoint(r *run, rng *rand.Rand) string {
	all := append(r.c.Endpoints("engine"), r.c.Endpoints(sqcluster.Booking)...)
	return all[rng.IntN(len(all))].ID
}

func platform(*run, *rand.Rand) string { return "platform" }

func cheapZone(_ *run, rng *rand.Rand) string {
	return sqcluster.DefaultZones()[rng.IntN(len(sqcluster.DefaultZones()))]
}

func anyZone(r *run, rng *rand.Rand) string { return "all of " + cheapZone(r, rng) }

func (r *run) control(name string) *sqcluster.Control {
	for _, n := range r.c.Controls() {
		if n.Name() == name {
			return n
		}
	}
	return nil
}

func (r *run) entry(name string) *sqcluster.Entry {
	for _, n := range r.c.Entries() {
		if n.Name() == name {
			return n
		}
	}
	return nil
}

func (r *run) endpoint(id string) sqfleet.Endpoint {
	for _, kind := range []string{"engine", sqcluster.Booking} {
		for _, e := range r.c.Endpoints(kind) {
			if e.ID == id {
				return e
			}
		}
	}
	return sqfleet.Endpoint{}
}

func killControl(r *run, target string, rng *rand.Rand) error {
	return restart(r.control(target).Process, rng)
}

func restart(p *sqcluster.Process, rng *rand.Rand) error {
	p.Kill()
	time.Sleep(between(rng, 0, 3*time.Second))
	return p.Start()
}

// disk is the target that a lost disk takes beside its process: a quorum of
// disks has to stay.
const disk = "disk"

// loseDisk empties a data folder, and an operator replaces it.
func loseDisk(r *run, target string, rng *rand.Rand) error {
	if !r.take(disk) {
		return nil
	}
	defer r.release(disk)
	n := r.control(target)
	n.Kill()
	if err := n.WipeData(); err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	time.Sleep(between(rng, 0, 2*time.Second))
	return r.c.Eventually(context.Background(), "the lost disk of "+target+" is replaced", func() bool {
		return r.c.Operate(context.Background(), "", "replace", target, "-address", n.Address()).Code() == 0
	})
}

func pauseControl(r *run, target string, rng *rand.Rand) error {
	pause(r.control(target).Process, rng)
	return nil
}

func pause(p *sqcluster.Process, rng *rand.Rand) {
	p.Pause()
	time.Sleep(between(rng, 100*time.Millisecond, 6*time.Second))
	p.Continue()
	// The watchdog of a holder that was inside a guarded write ends it.
	time.Sleep(100 * time.Millisecond)
	if !p.Running() {
		_ = p.Start()
	}
}

func cutControl(r *run, target string, rng *rand.Rand) error {
	return cut(r.control(target).Proxy(), (*sqcluster.Proxy).Cut, rng)
}

func cutAnswers(r *run, target string, rng *rand.Rand) error {
	return cut(r.control(target).Proxy(), (*sqcluster.Proxy).CutAnswers, rng)
}

func cut(p *sqcluster.Proxy, how func(*sqcluster.Proxy) error, rng *rand.Rand) error {
	if err := how(p); err != nil {
		return err
	}
	time.Sleep(between(rng, 500*time.Millisecond, 6*time.Second))
	return p.Heal()
}

func stopControl(r *run, target string, _ *rand.Rand) error {
	return stop(r.control(target).Process)
}

func stop(p *sqcluster.Process) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	if _, err := p.Stop(ctx); err != nil {
		return err
	}
	return p.Start()
}

func killEntry(r *run, target string, rng *rand.Rand) error {
	r.mayCut(r.entry(target))
	return restart(r.entry(target).Process, rng)
}

func pauseEntry(r *run, target string, rng *rand.Rand) error {
	r.mayCut(r.entry(target))
	pause(r.entry(target).Process, rng)
	return nil
}

func stopEntry(r *run, target string, _ *rand.Rand) error {
	return stop(r.entry(target).Process)
}

func crashEndpoint(r *run, target string, rng *rand.Rand) error {
	down := map[string]int64{"downMillis": between(rng, 100*time.Millisecond, 3*time.Second).Milliseconds()}
	// An endpoint that is gone or down already is no fault of the run.
	_ = r.c.Tell(r.endpoint(target).Address, "/standin/crash", down, nil)
	return nil
}

// misuses are what an endpoint does to the next requests.
var misuses = []sqfault.Fault{
	{Kind: sqfault.Reset, Phase: sqfault.BeforeFirstByte, Count: 2},
	{Kind: sqfault.Reset, Phase: sqfault.MidStream, Count: 2},
	{Kind: sqfault.Hang, Phase: sqfault.MidStream, Count: 1},
	{Kind: sqfault.Delay, Phase: sqfault.BeforeFirstByte, Count: 2, DelayMillis: 1500},
	{Kind: sqfault.Crossed, Phase: sqfault.MidStream, Count: 1},
	{Kind: sqfault.Doubled, Phase: sqfault.MidStream, Count: 1},
	{Kind: sqfault.Skipped, Phase: sqfault.MidStream, Count: 1},
	{Kind: sqfault.Malformed, Phase: sqfault.InHeaders, Count: 1},
	{Kind: sqfault.Cut, Phase: sqfault.BeforeLastEvent, Count: 2},
}

func misuseEndpoint(r *run, target string, rng *rand.Rand) error {
	address := r.endpoint(target).Address
	if r.c.Fault(address, misuses[rng.IntN(len(misuses))]) != nil {
		return nil
	}
	time.Sleep(between(rng, time.Second, 3*time.Second))
	_ = r.c.ClearFaults(address)
	return nil
}

func cutPlatform(r *run, _ string, rng *rand.Rand) error {
	return cut(r.c.PlatformProxy(), (*sqcluster.Proxy).Cut, rng)
}

func slowControl(r *run, target string, rng *rand.Rand) error {
	slow := func(p *sqcluster.Proxy) error {
		return p.Slow(between(rng, 20*time.Millisecond, 400*time.Millisecond), between(rng, 0, 100*time.Millisecond))
	}
	return cut(r.control(target).Proxy(), slow, rng)
}

// loseZone kills whatever the system has in a zone, at once, and takes the spot
// endpoints there. What another fault disturbs already is left to it.
func loseZone(r *run, target string, rng *rand.Rand) error {
	zone := strings.TrimPrefix(target, "all of ")
	seed := rng.Uint64()
	var lost sync.WaitGroup
	for _, n := range r.c.Controls() {
		if n.Zone() == zone && r.take(n.Name()) {
			defer r.release(n.Name())
			lost.Go(func() { r.check(restart(n.Process, rand.New(rand.NewPCG(seed, 1)))) })
		}
	}
	for _, e := range r.c.Entries() {
		if e.Zone() == zone && r.take(e.Name()) {
			defer r.release(e.Name())
			r.mayCut(e)
			lost.Go(func() { r.check(restart(e.Process, rand.New(rand.NewPCG(seed, 2)))) })
		}
	}
	err := r.c.Tell(r.c.Ready().Platform, "/standin/reclaim", reclaim{Zone: zone}, nil)
	lost.Wait()
	return err
}

type reclaim struct {
	Zone         string `json:"zone"`
	NoticeMillis int64  `json:"noticeMillis"`
}

func reclaimZone(r *run, zone string, rng *rand.Rand) error {
	notice := between(rng, 0, 3*time.Second).Milliseconds()
	return r.c.Tell(r.c.Ready().Platform, "/standin/reclaim", reclaim{Zone: zone, NoticeMillis: notice}, nil)
}
