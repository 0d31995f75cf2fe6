package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// burstSize requests with the part come at once, each burstInterval.
	burstSize, burstCount = 6, 4
	burstInterval         = 9 * time.Second
	// soundBesideInterval is the time between two sound requests of the first tenant.
	soundBesideInterval = 200 * time.Millisecond
	// maxHarmful is how many requests with the part may reach workers later than contactMs
	// after the fifth crash.
	maxHarmful = 3
)

// playHarmfulBurst sends requests with a part that crashes workers a few at once, again and
// again, beside sound requests of two tenants. Without trouble, the same requests lack the part.
func playHarmfulBurst(d *deployment, trouble bool) (bool, error) {
	o := &outbreak{d: d, dir: &directory{d: d}}
	if err := o.startDeployment(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		every(stop, otherInterval, &clients, func() { o.ask("other", "key-2", "77aa10c4:24") })
	})
	clients.Go(func() { every(stop, soundBesideInterval, &clients, func() { o.askSound() }) })
	time.Sleep(5 * time.Second)
	for range burstCount {
		for range burstSize {
			if trouble {
				clients.Go(o.askDeadly)
			} else {
				clients.Go(func() { o.askSound() })
			}
		}
		time.Sleep(burstInterval)
	}
	close(stop)
	clients.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	late := o.later(o.harmfulAt)
	d.record.printf("%d crashes; requests with the part that reached workers: %d, of them later than contactMs after the fifth crash: %d; sound requests without a whole answer then: %d",
		len(o.crashedAt), len(o.harmfulAt), late, o.later(o.brokenAt))
	if trouble && len(o.crashedAt) < deadlyBurst {
		return false, fmt.Errorf("fewer than %d crashes", deadlyBurst)
	}
	return late > maxHarmful, nil
}
