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
	clients.Go(func() { every(stop, otherInterval, &clients, func() { o.askSound() }) })
	time.Sleep(5 * time.Second)
	for range repeats {
		for range repeatCount {
			clients.Go(func() {
				t := send(o.dir, ask{path: "/ask/deadly", key: "key-1", prefix: "", body: body, deadline: streamTimeout})
				o.d.record.printf("client: deadly %s to %s: status %d, %d events, whole %v, retry after %v, %s", t.id, t.address, t.status, len(t.events), t.whole, t.retryAfter, t.err)
			})
		}
		time.Sleep(repeatInterval)
	}
	close(stop)
	clients.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	late := 0
	if len(o.crashedAt) >= harmfulCrashes {
		for _, at := range o.harmfulAt {
			if at.After(o.crashedAt[harmfulCrashes-1].Add(contact)) {
				late++
			}
		}
	}
	d.record.printf("%d crashes; attempts at the request that reached workers: %d, of them later than contactMs after the third crash: %d",
		len(o.crashedAt), len(o.harmfulAt), late)
	if trouble && len(o.crashedAt) < harmfulCrashes {
		return false, fmt.Errorf("fewer than %d crashes", harmfulCrashes)
	}
	return late > maxHarmful, nil
}
