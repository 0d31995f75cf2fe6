package main

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case "harmful".
const (
	harmfulName     = "harmful"
	harmfulInterval = 1500 * time.Millisecond
	harmfulTime     = 60 * time.Second
	// contactTime is contactMs of the installation.
	contactTime = 3 * time.Second
	// crashesToLearn and maxLateRetries are the figures of the rule.
	crashesToLearn = 3
	maxLateRetries = 3
)

// playHarmful sends one idempotent request again and again to a service that has nothing
// else to do, beside the traffic of another service. The disruption is that the request
// crashes each worker that begins to run it.
func playHarmful(l *lab) (int, error) {
	isHarmful := func(r *http.Request) bool { return strings.HasSuffix(r.URL.Path, harmfulName) }
	var workers []*worker
	for i := range 4 {
		cfg := workerConfig{
			service: passService, version: "v1", address: l.address(firstWorker+i, workerPort), slots: 6, queue: 24,
			workTime: func(*http.Request) time.Duration { return 30 * time.Millisecond },
		}
		if l.trouble {
			cfg.crashes = isHarmful
		}
		workers = append(workers, newWorker(l, cfg))
	}
	for i := range 3 {
		chat := newWorker(l, workerConfig{service: chatService, version: "v1", address: l.address(firstWorker+10+i, workerPort), slots: 16, queue: 16, pieces: 3, pieceGap: 50 * time.Millisecond})
		if err := l.platform.add(chat); err != nil {
			return 0, err
		}
	}
	for _, w := range workers {
		if err := l.platform.add(w); err != nil {
			return 0, err
		}
	}
	if err := l.startDeployment(2, newManifest()); err != nil {
		return 0, err
	}
	group := &clients{lab: l}
	ctx, stop := context.WithTimeout(context.Background(), harmfulTime)
	defer stop()
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for c := group.newClient(); ctx.Err() == nil; {
				c.send(context.Background(), askPath+"x", "question", 8*time.Second)
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	c := group.newClient()
	for ctx.Err() == nil {
		c.send(context.Background(), lookupPath+harmfulName, "the same body", 1500*time.Millisecond)
		time.Sleep(harmfulInterval)
	}
	wg.Wait()
	return judgeHarmful(l, workers), nil
}

// judgeHarmful counts the runs of the harmful request that began later than contactTime
// after its third crash, beyond those that the rule allows.
func judgeHarmful(l *lab, workers []*worker) int {
	var crashes []time.Time
	for _, w := range workers {
		w.mu.Lock()
		crashes = append(crashes, w.crashedAt...)
		w.mu.Unlock()
	}
	if len(crashes) < crashesToLearn {
		l.record("%d crashes", len(crashes))
		return 0
	}
	third := nthTime(crashes, crashesToLearn)
	late := 0
	for _, list := range runsOf(workers) {
		for _, r := range list {
			if r.at.After(third.Add(contactTime)) {
				late++
			}
		}
	}
	l.record("%d crashes; the request reached workers %d times later than %v after the third", len(crashes), late, contactTime)
	if late > maxLateRetries {
		l.record("BUDGET: more than %d", maxLateRetries)
		return late
	}
	return 0
}

// nthTime returns the nth earliest time, counted from 1.
func nthTime(times []time.Time, n int) time.Time {
	sorted := append([]time.Time(nil), times...)
	for i := range sorted {
		for j := i + 1; j < len(sorted); j++ {
			if sorted[j].Before(sorted[i]) {
				sorted[i], sorted[j] = sorted[j], sorted[i]
			}
		}
	}
	return sorted[n-1]
}
