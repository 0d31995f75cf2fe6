package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Prompt parts in the deadly and the sound requests of the first tenant.
	firstPart, deadlyPart, otherPart = "5c1e07a2", "91bd3f06", "e4402b7d"
	// soundInterval is the time between two sound requests of the first tenant, and
	// otherInterval between two of the second one.
	soundInterval = 2 * time.Second
	otherInterval = 45 * time.Millisecond
	// The first deadly requests come deadlyBurstInterval apart, later ones deadlyInterval.
	deadlyBurst         = 5
	deadlyBurstInterval = 150 * time.Millisecond
	deadlyInterval      = 2200 * time.Millisecond
	// soundBefore and soundAfter are how many sound requests are counted.
	soundBefore, soundAfter = 21, 21
	contact                 = 3 * time.Second
	streamTimeout           = 8 * time.Second
	// maxHarmful is how many harmful requests may reach workers later than contact after the
	// crash that a rule names.
	maxHarmful     = 3
	decodeWorkers  = 9
	prefillWorkers = 5
	// A worker that has crashed stays on the list for listedAfterCrash and is back after
	// downTime, under a new id.
	listedAfterCrash = 2 * time.Second
	downTime         = 4 * time.Second
)

const partManifest = `{"version":7,"routes":[{"name":"ask","host":"review.example","pathPrefix":"/ask/","kind":"streaming",` +
	`"timeoutMs":8000,"targetLatencyMs":600,"priority":1,"service":"assistant","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"gapTargetMs":300}],` +
	`"services":[{"name":"assistant","healthPath":"/health","maxConnections":300,"protocol":"h1","tls":false,` +
	`"engine":{"slots":16,"kvCapacityTokens":354082,"kvBytes":327680,"linkMbps":1600000.0,"moves":true,"backups":true,"stride":6,"most":12,` +
	`"handleTtlS":5.0,"switchS":3.0,"pinMs":4000.0,"holdMs":2000.0,"models":[{"name":"m"}]}}],` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},` +
	`"tenants":[{"name":"tenant-1","apiKeys":["key-1"],"priority":1},{"name":"tenant-2","apiKeys":["key-2"],"priority":1}]}`

// outbreak is the state of the scenario.
type outbreak struct {
	d      *deployment
	dir    *directory
	starts atomic.Int64
	mu     sync.Mutex
	// crashedAt holds when workers crashed, harmfulAt when requests with the part reached one,
	// and brokenAt when sound requests ended without a whole answer.
	crashedAt, harmfulAt, brokenAt []time.Time
}

// startDeployment starts the workers, declares the manifest and waits until gateways serve.
func (o *outbreak) startDeployment() error {
	for i := range decodeWorkers + prefillWorkers {
		stage := "decode"
		if i >= decodeWorkers {
			stage = "prefill"
		}
		if err := o.startWorker(firstWorkerHost+i, stage); err != nil {
			return err
		}
	}
	if err := o.d.declare(partManifest, 20*time.Second); err != nil {
		return err
	}
	if err := o.d.awaitReady(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	return nil
}

// startWorker starts the worker of a host. After a crash, it starts again.
func (o *outbreak) startWorker(host int, stage string) error {
	cfg := workerConfig{
		id: fmt.Sprintf("i-%d", o.starts.Add(1)), service: "assistant", address: o.d.address(host, portWorker), zone: zones[host%len(zones)],
		version: "v1", stage: stage, slots: 16, events: 5, gap: 60 * time.Millisecond,
	}
	cfg.crashPart = deadlyPart
	cfg.onCrash = func(w *worker) {
		o.mu.Lock()
		o.crashedAt = append(o.crashedAt, time.Now())
		o.mu.Unlock()
		time.AfterFunc(listedAfterCrash, func() { o.d.platform.remove(w.cfg.id) })
		time.AfterFunc(downTime, func() { _ = o.startWorker(host, stage) })
	}
	cfg.onHarmful = func() {
		o.mu.Lock()
		o.harmfulAt = append(o.harmfulAt, time.Now())
		o.mu.Unlock()
	}
	_, err := startWorker(o.d.platform, cfg)
	return err
}

// ask sends one request and reports whether it began at this attempt.
func (o *outbreak) ask(who, key, parts string) bool {
	t := send(o.dir, ask{path: "/ask/x", key: key, prefix: fmt.Sprintf("%s,%08x:8", parts, rand.Uint32()), deadline: streamTimeout})
	o.d.record.printf("client: %s %s to %s: status %d, %d events, whole %v, retry after %v, %s", who, t.id, t.address, t.status, len(t.events), t.whole, t.retryAfter, t.err)
	if who != "deadly" && (t.status/100 != 2 || !t.whole) {
		o.mu.Lock()
		o.brokenAt = append(o.brokenAt, time.Now())
		o.mu.Unlock()
	}
	return len(t.events) > 0
}

// later returns how many of the times are later than contactMs after the crash of that number.
func (o *outbreak) later(times []time.Time, crash int) int {
	if len(o.crashedAt) < crash {
		return 0
	}
	n := 0
	for _, at := range times {
		if at.After(o.crashedAt[crash-1].Add(contact)) {
			n++
		}
	}
	return n
}

func (o *outbreak) askSound() bool {
	return o.ask("sound", "key-1", firstPart+":24,"+otherPart+":8")
}

func (o *outbreak) askDeadly() { o.ask("deadly", "key-1", firstPart+":24,"+deadlyPart+":8") }

// every calls f at each interval until stop is closed.
func every(stop <-chan struct{}, interval time.Duration, wg *sync.WaitGroup, f func()) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
			wg.Go(f)
		}
	}
}

// countSound sends n sound requests and returns how many began at their first attempt.
func (o *outbreak) countSound(n int) int {
	begun := 0
	for range n {
		next := time.Now().Add(soundInterval)
		if o.askSound() {
			begun++
		}
		time.Sleep(time.Until(next))
	}
	return begun
}

// playHarmfulPart sends requests with a part that crashes workers, beside sound requests with
// the same first part and the same key.
func playHarmfulPart(d *deployment, trouble bool) (bool, error) {
	o := &outbreak{d: d, dir: &directory{d: d}}
	if err := o.startDeployment(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		every(stop, otherInterval, &clients, func() { o.ask("other", "key-2", "77aa10c4:24") })
	})
	before := o.countSound(soundBefore - 1)
	nextSound := time.Now().Add(soundInterval)
	if o.askSound() {
		before++
	}
	if trouble {
		for range deadlyBurst {
			clients.Go(o.askDeadly)
			time.Sleep(deadlyBurstInterval)
		}
		clients.Go(func() { every(stop, deadlyInterval, &clients, o.askDeadly) })
	}
	fifthCrash := time.Now()
	time.Sleep(time.Until(nextSound))
	for time.Since(fifthCrash) < 2*contact+500*time.Millisecond {
		o.countSound(1)
	}
	after := o.countSound(soundAfter)
	close(stop)
	clients.Wait()
	d.record.printf("sound requests that began at the first attempt: %d of %d before, %d of %d from 2 x contactMs after the fifth crash; %d crashes",
		before, soundBefore, after, soundAfter, len(o.crashedAt))
	if before*2 < soundBefore {
		return false, fmt.Errorf("the deployment does not serve")
	}
	if trouble && len(o.crashedAt) < deadlyBurst {
		return false, fmt.Errorf("fewer than %d crashes", deadlyBurst)
	}
	return float64(after)/soundAfter < 0.5*float64(before)/soundBefore, nil
}
