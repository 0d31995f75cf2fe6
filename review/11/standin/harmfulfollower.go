package main

import (
	"fmt"
	"time"
)

const (
	// firstFollower and secondFollower are sound parts that come after the harmful one.
	firstFollower, secondFollower = "aa01d2e4", "bb12c3f5"
	// followerInterval is the time between two requests of a quiet service.
	followerInterval = 2 * time.Second
	// firstWave requests have the first follower, secondWave the second one.
	firstWave, secondWave = 5, 9
)

// playHarmfulFollower sends a service, which is otherwise quiet, requests with a harmful part
// that is followed by one sound part, and then by another.
func playHarmfulFollower(d *deployment, trouble bool) (bool, error) {
	o := &outbreak{d: d, dir: &directory{d: d}}
	if err := o.startDeployment(); err != nil {
		return false, err
	}
	harmful := deadlyPart
	if !trouble {
		harmful = otherPart
	}
	for i := range firstWave + secondWave {
		next := time.Now().Add(followerInterval)
		follower := firstFollower
		if i >= firstWave {
			follower = secondFollower
		}
		o.ask("deadly", "key-1", harmful+":24,"+follower+":8")
		time.Sleep(time.Until(next))
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	late := o.later(o.harmfulAt, deadlyBurst)
	d.record.printf("%d crashes; requests with the part that reached workers: %d, of them later than contactMs after the fifth crash: %d",
		len(o.crashedAt), len(o.harmfulAt), late)
	if trouble && len(o.crashedAt) < deadlyBurst {
		return false, fmt.Errorf("fewer than %d crashes", deadlyBurst)
	}
	return late > maxHarmful, nil
}
