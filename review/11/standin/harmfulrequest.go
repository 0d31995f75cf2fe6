package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// harmfulBody is that of the request that crashes workers. It is sent repeatCount times at
	// once, repeats times, repeatInterval apart.
	harmfulBody          = `{"order":"deadly"}`
	repeatCount, repeats = 4, 3
	repeatInterval       = 34 * time.Second
	// soundBesideInterval is the time between two sound requests of the same tenant.
	soundBesideInterval = 200 * time.Millisecond
	// harmfulCrashes is after how many crashes it must not reach workers any more.
	harmfulCrashes = 3
)

// playHarmfulRequest sends one request that crashes workers several times at once, again and
// again.
func playHarmfulRequest(d *deployment, trouble bool) (bool, error) {
	o := &outbreak{d: d, dir: &directory{d: d}}
	if err := o.startDeployment(); err != nil {
		return false, err
	}
	body := harmfulBody
	if !trouble {
		body = "{}"
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		every(stop, otherInterval, &clients, func() { o.ask("other", "key-2", "77aa10c4:24") })
	})
	clients.Go(func() { every(stop, soundBesideInterval, &clients, func() { o.askSound() }) })
	time.Sleep(5 * time.Second)
	for i := range repeats {
		if i > 0 {
			time.Sleep(repeatInterval)
		}
		for range repeatCount {
			clients.Go(func() {
				t := send(o.dir, ask{path: "/ask/deadly", key: "key-1", body: body, deadline: streamTimeout})
				o.d.record.printf("client: harmful %s to %s: status %d, %d events, retry after %v, %s", t.id, t.address, t.status, len(t.events), t.retryAfter, t.err)
			})
		}
	}
	time.Sleep(contact)
	close(stop)
	clients.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	late := o.later(o.harmfulAt, harmfulCrashes)
	d.record.printf("%d crashes; attempts at the request that reached workers: %d, of them later than contactMs after the third crash: %d; sound requests without a whole answer then: %d",
		len(o.crashedAt), len(o.harmfulAt), late, o.later(o.brokenAt, harmfulCrashes))
	if trouble && len(o.crashedAt) < harmfulCrashes {
		return false, fmt.Errorf("fewer than %d crashes", harmfulCrashes)
	}
	return late > maxHarmful, nil
}
