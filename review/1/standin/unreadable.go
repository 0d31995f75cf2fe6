package main

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Figures of the case "unreadable".
const (
	recoveryTime = 12 * time.Second
	downTime     = 1 * time.Second
	// foreignEntry is an entry of another writer: its text holds bytes that cannot be read.
	foreignEntry = "{\"service\":\"\xfe\xff\x00\x17\",\"address\":\"\x01\x02\x03\",\"zone\":\"valle-a\",\"state\":\"\x07\",\"id\":\"\xc3\x28\"}"
)

// playUnreadable ends with a final fault: all processes are killed at once and start again.
// The disruption is that the platform's list then holds an entry of another writer whose
// bytes cannot be read, beside the entries of the sound workers.
func playUnreadable(l *lab) (int, error) {
	for i := range 4 {
		w := newWorker(l, workerConfig{
			service: passService, version: "v1", address: l.address(firstWorker+i, workerPort), slots: 6, queue: 24,
			workTime: func(*http.Request) time.Duration { return 30 * time.Millisecond },
		})
		if err := l.platform.add(w); err != nil {
			return 0, err
		}
	}
	if err := l.startDeployment(2, newManifest()); err != nil {
		return 0, err
	}
	group := &clients{lab: l}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for c := group.newClient(); ctx.Err() == nil; {
				c.send(context.Background(), lookupPath+"pass", "", 1500*time.Millisecond)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	begin := time.Now()
	time.Sleep(4 * time.Second)
	if l.trouble {
		l.platform.mu.Lock()
		l.platform.foreignEntry = foreignEntry
		l.platform.mu.Unlock()
		l.record("the list holds an entry that cannot be read")
	}
	time.Sleep(2 * time.Second)
	killedAt := time.Now()
	for _, p := range l.processes {
		p.signal(syscall.SIGKILL)
	}
	time.Sleep(downTime)
	for _, p := range l.processes {
		<-p.exited
		if err := p.start(false); err != nil {
			return 0, err
		}
	}
	recovered := time.Now().Add(recoveryTime)
	time.Sleep(time.Until(recovered) + 10*time.Second)
	stop()
	wg.Wait()
	before := servedShare(group.between(begin, killedAt))
	after := servedShare(group.between(recovered, recovered.Add(9*time.Second)))
	l.record("served before the fault %.3f, later than %v after it %.3f", before, recoveryTime, after)
	if before >= 0.25 && after < 0.25 {
		l.record("RECOVER: less than a quarter is served")
		return 1, nil
	}
	return 0, nil
}
