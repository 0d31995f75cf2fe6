package main

import (
	"context"
	"strings"
	"sync"
	"time"
)

// Figures of the case "versions".
const (
	soundWorkers   = 2
	foreignWorkers = 4
	// All workers break off cutShare of their streams.
	cutShare        = 0.02
	versionsClients = 16
	versionsTime    = 50 * time.Second
	// maxMixedStreams is how many streams of two versions the rule allows.
	maxMixedStreams = 2
)

// playVersions reads streams that may be resumed from workers of two software versions,
// which break off a few of them. The disruption is that the entries of some workers
// come from another writer and lack the field version, so that they name no worker to use.
func playVersions(l *lab) (int, error) {
	withoutVersion := map[*worker]bool{}
	for i := range soundWorkers + foreignWorkers {
		cfg := workerConfig{
			service: chatService, version: "v1", address: l.address(firstWorker+i, workerPort), slots: 64, queue: 16,
			pieces: 8, pieceGap: 30 * time.Millisecond, cutShare: cutShare,
		}
		if i >= soundWorkers+foreignWorkers/2 {
			cfg.version = "v2"
		}
		w := newWorker(l, cfg)
		if err := l.platform.add(w); err != nil {
			return 0, err
		}
		withoutVersion[w] = i >= soundWorkers
	}
	if err := l.startDeployment(2, newManifest()); err != nil {
		return 0, err
	}
	if l.trouble {
		l.platform.mu.Lock()
		l.platform.withoutVersion = withoutVersion
		l.platform.mu.Unlock()
		l.record("the entries of %d workers lack the field version", foreignWorkers)
	}
	time.Sleep(3 * time.Second)
	group := &clients{lab: l}
	ctx, stop := context.WithTimeout(context.Background(), versionsTime)
	defer stop()
	var wg sync.WaitGroup
	for range versionsClients {
		wg.Go(func() {
			for c := group.newClient(); ctx.Err() == nil; {
				c.send(context.Background(), summaryPath+"x", "question", 8*time.Second)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return judgeVersions(l, group.between(l.startedAt, time.Now())), nil
}

// judgeVersions counts the answers that hold events of two versions.
func judgeVersions(l *lab, answers []answer) int {
	mixed, whole := 0, 0
	for _, a := range answers {
		if a.complete {
			whole++
		}
		if strings.Contains(a.body, "data: v1 ") && strings.Contains(a.body, "data: v2 ") {
			mixed++
			l.record("ORDER: %s holds events of two versions: %q", a.id, a.body)
		}
	}
	l.record("%d streams, %d of them whole, %d of two versions", len(answers), whole, mixed)
	if mixed > maxMixedStreams {
		return mixed
	}
	return 0
}
