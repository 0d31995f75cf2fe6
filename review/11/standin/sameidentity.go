package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	streamTimeout = 8 * time.Second
	// streamInterval is the time between two new streams.
	streamInterval = 55 * time.Millisecond
	// oldWorkers is the number of workers of the first version.
	oldWorkers = 3
	// clientTries is how often a client sends at most, the first time included.
	clientTries = 6
	// servingSince is how long a worker must have served to count as one that serves.
	servingSince = 3 * time.Second
)

const streamManifest = `{"version":7,"routes":[{"name":"ask","host":"review.example","pathPrefix":"/ask/","kind":"streaming",` +
	`"timeoutMs":8000,"targetLatencyMs":600,"priority":1,"service":"assistant","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapTargetMs":300}],` +
	`"services":[{"name":"assistant","healthPath":"/health","maxConnections":300,"protocol":"h1","tls":false,` +
	`"engine":{"slots":64,"kvCapacityTokens":354082,"kvBytes":327680,"linkMbps":1600000.0,"moves":true,"backups":true,"stride":6,"most":12,` +
	`"handleTtlS":5.0,"switchS":3.0,"pinMs":4000.0,"holdMs":2000.0,"models":[{"name":"m"}]}}],` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},` +
	`"tenants":[{"name":"tenant-1","apiKeys":["key-1"],"priority":1},{"name":"tenant-2","apiKeys":["key-2"],"priority":1}]}`

// rollout is the state of a planned restart of the workers of one version.
type rollout struct {
	d       *deployment
	mu      sync.Mutex
	serving map[string]servingWorker
	// counts of streams, while at least two workers of their version served.
	taken, goOn, tried, begun int
}

type servingWorker struct {
	version string
	since   time.Time
}

func (r *rollout) start(cfg workerConfig) (*worker, error) {
	w, err := startWorker(r.d.platform, cfg)
	if err == nil {
		r.mu.Lock()
		if cfg.stage == "decode" {
			r.serving[cfg.id] = servingWorker{cfg.version, time.Now()}
		}
		r.mu.Unlock()
	}
	return w, err
}

// restart restarts a worker as its operator plans it: it says that it leaves, serves on for
// drainMs and a little longer, ends, and starts again a second later.
func (r *rollout) restart(w *worker, id string) error {
	r.mu.Lock()
	delete(r.serving, w.cfg.id)
	r.mu.Unlock()
	w.leave()
	time.Sleep(3300 * time.Millisecond)
	w.end()
	if id != w.cfg.id {
		r.d.platform.remove(w.cfg.id)
	}
	time.Sleep(time.Second)
	cfg := w.cfg
	cfg.id = id
	_, err := r.start(cfg)
	return err
}

// twoServe reports whether two workers of the version have served for servingSince.
func (r *rollout) twoServe(version string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, s := range r.serving {
		if s.version == version && time.Since(s.since) >= servingSince {
			n++
		}
	}
	return n >= 2
}

// client asks for one stream and takes it up again each time it breaks off.
func (r *rollout) client(dir *directory) {
	startedAt := time.Now()
	a := ask{path: "/ask/x", key: "key-1", prefix: fmt.Sprintf("%08x:40", rand.Uint32()), body: "{}", deadline: streamTimeout}
	counts := false
	version := ""
	for n := 0; n < clientTries; n++ {
		a.deadline = streamTimeout - time.Since(startedAt)
		if a.deadline < 200*time.Millisecond {
			return
		}
		two := version != "" && r.twoServe(version)
		t := send(dir, a)
		r.d.record.printf("client: %s to %s after event %d, resumes %q: status %d, %d events, whole %v, retry after %v, %s",
			t.id, t.address, a.lastEventID, a.resumes, t.status, len(t.events), t.whole, t.retryAfter, t.err)
		r.mu.Lock()
		if a.lastEventID == 0 {
			r.tried++
			if len(t.events) > 0 {
				r.begun++
			}
		} else if two && !counts {
			counts = true
			r.taken++
		}
		if counts && len(t.events) > 0 {
			r.goOn++
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		if k := len(t.events); k > 0 {
			if a.lastEventID == 0 {
				a.resumes, version = t.id, t.events[0].version
			}
			a.lastEventID = t.events[k-1].id
		}
		if t.status == 200 && t.whole {
			return
		}
		time.Sleep(t.backoff(n, streamTimeout-time.Since(startedAt)))
	}
}

// startWorkers starts three workers of version v1 and some of v2 that make streams, and some of
// v2 that read prompts, declares the manifest and waits until the gateways serve. It returns
// those of v1.
func (r *rollout) startWorkers(newDecode, prefill int) ([]*worker, error) {
	var old []*worker
	for i := range oldWorkers + newDecode + prefill {
		version, stage := "v2", "decode"
		if i < oldWorkers {
			version = "v1"
		}
		if i >= oldWorkers+newDecode {
			stage = "prefill"
		}
		w, err := r.start(workerConfig{
			id: fmt.Sprintf("i-%d", i+1), service: "assistant", address: r.d.address(firstWorkerHost+i, portWorker), zone: zones[i%len(zones)],
			version: version, stage: stage, slots: 64, events: 24, gap: 250 * time.Millisecond,
		})
		if err != nil {
			return nil, err
		}
		if i < oldWorkers {
			old = append(old, w)
		}
	}
	if err := r.d.declare(streamManifest, 20*time.Second); err != nil {
		return nil, err
	}
	if err := r.d.awaitReady(10 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	return old, nil
}

// playSameIdentity restarts the workers of one version in turn, as planned. With trouble, each
// starts again under the id that it had; without, under a new one.
func playSameIdentity(d *deployment, trouble bool) (bool, error) {
	r := &rollout{d: d, serving: map[string]servingWorker{}}
	old, err := r.startWorkers(2, 2)
	if err != nil {
		return false, err
	}
	dir := &directory{d: d}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		for tick := time.NewTicker(streamInterval); ; {
			select {
			case <-stop:
				tick.Stop()
				return
			case <-tick.C:
				clients.Go(func() { r.client(dir) })
			}
		}
	})
	time.Sleep(7 * time.Second)
	for i, w := range old {
		id := w.cfg.id
		if !trouble {
			id = fmt.Sprintf("i-%d", 11+i)
		}
		if err := r.restart(w, id); err != nil {
			return false, err
		}
		time.Sleep(3700 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	clients.Wait()
	d.record.printf("new streams: %d tried, %d begun; taken up again while two workers of their version served: %d, of which %d went on",
		r.tried, r.begun, r.taken, r.goOn)
	if r.tried == 0 || r.begun*2 < r.tried {
		return false, fmt.Errorf("the deployment does not serve")
	}
	return r.taken >= 12 && float64(r.goOn)/float64(r.taken) < 0.5*float64(r.begun)/float64(r.tried), nil
}
