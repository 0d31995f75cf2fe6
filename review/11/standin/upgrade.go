package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// upgradeTime is how long a worker is down during its upgrade, upgradeGap the time from the
	// upgrade of one to that of the next.
	upgradeTime = 500 * time.Millisecond
	upgradeGap  = time.Second
	// followTries is how often a client sends at most, the first time included.
	followTries = 2
	// maxMixed is how many streams may hold events of two versions.
	maxMixed = 2
)

// playUpgrade ends the workers of the old version in turn and starts each again with the new
// one. With trouble, each starts under the id that it had; without, under a new one.
func playUpgrade(d *deployment, trouble bool) (bool, error) {
	r := &rollout{d: d, serving: map[string]servingWorker{}}
	old, err := r.startWorkers(6, 5)
	if err != nil {
		return false, err
	}
	dir := &directory{d: d}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	mixed, streams, taken := 0, 0, 0
	clients.Go(func() {
		every(stop, streamInterval, &clients, func() {
			tries := r.follow(dir)
			versions := map[string]bool{}
			for _, t := range tries {
				for _, e := range t.events {
					versions[e.version] = true
				}
			}
			mu.Lock()
			defer mu.Unlock()
			streams++
			if len(tries) > 1 {
				taken++
			}
			if len(versions) > 1 {
				mixed++
				d.record.printf("mixed: the stream of %s holds events of %d versions", tries[0].id, len(versions))
			}
		})
	})
	time.Sleep(8 * time.Second)
	for i, w := range old {
		next := time.Now().Add(upgradeGap)
		w.end()
		cfg := w.cfg
		cfg.version = "v2"
		if !trouble {
			d.platform.remove(w.cfg.id)
			cfg.id = fmt.Sprintf("i-%d", 21+i)
		}
		time.Sleep(upgradeTime)
		if _, err := r.start(cfg); err != nil {
			return false, err
		}
		time.Sleep(time.Until(next))
	}
	time.Sleep(10 * time.Second)
	close(stop)
	clients.Wait()
	d.record.printf("%d streams, %d taken up again, %d with events of two versions", streams, taken, mixed)
	if streams == 0 {
		return false, fmt.Errorf("the deployment does not serve")
	}
	return mixed > maxMixed, nil
}

// follow asks for one stream, takes it up again each time it breaks off, and returns all tries.
func (r *rollout) follow(dir *directory) []*try {
	startedAt := time.Now()
	a := ask{path: "/ask/x", key: "key-1", body: "{}", prefix: fmt.Sprintf("%08x:40", rand.Uint32())}
	var tries []*try
	for len(tries) < followTries {
		a.deadline = streamTimeout - time.Since(startedAt)
		if a.deadline < 200*time.Millisecond {
			return tries
		}
		t := send(dir, a)
		tries = append(tries, t)
		r.d.record.printf("client: %s to %s after event %d, resumes %q: status %d, %d events, whole %v, retry after %v, %s",
			t.id, t.address, a.lastEventID, a.resumes, t.status, len(t.events), t.whole, t.retryAfter, t.err)
		if k := len(t.events); k > 0 {
			if a.lastEventID == 0 {
				a.resumes = t.id
			}
			a.lastEventID = t.events[k-1].id
		}
		if t.status == 200 && t.whole {
			return tries
		}
		time.Sleep(t.backoff(len(tries)-1, streamTimeout-time.Since(startedAt)))
	}
	return tries
}
