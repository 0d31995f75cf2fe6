package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Times of the case "hangup".
const (
	hangupClients  = 16
	streamPieces   = 14
	streamGap      = 100 * time.Millisecond
	streamDeadline = 8 * time.Second
	// settingsDelay is how long after SIGTERM the settings change.
	settingsDelay = 500 * time.Millisecond
)

// playHangup stops two gateways in turn, as in a rolling restart. The disruption is that
// the settings files of all machines change, with SIGHUP, while a gateway is stopping.
func playHangup(l *lab) (int, error) {
	for i := range 3 {
		w := newWorker(l, workerConfig{service: chatService, version: "v1", address: l.address(firstWorker+i, workerPort), slots: 16, queue: 16, pieces: streamPieces, pieceGap: streamGap})
		if err := l.platform.add(w); err != nil {
			return 0, err
		}
	}
	if err := l.startDeployment(3, newManifest()); err != nil {
		return 0, err
	}
	group := &clients{lab: l}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	for range hangupClients {
		wg.Go(func() {
			for c := group.newClient(); ctx.Err() == nil; {
				c.send(ctx, askPath+"x", "question", streamDeadline)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(4 * time.Second)
	terminatedAt := map[string]time.Time{}
	for _, g := range l.gateways()[:2] {
		terminatedAt[l.address(g.host, frontPort)] = time.Now()
		g.signal(syscall.SIGTERM)
		if l.trouble {
			time.Sleep(settingsDelay)
			if err := l.changeSettings(); err != nil {
				return 0, err
			}
		}
		g.awaitExit(graceTime)
		if err := g.start(false); err != nil {
			return 0, err
		}
		if err := l.awaitReady(10 * time.Second); err != nil {
			return 0, err
		}
		time.Sleep(3 * time.Second)
	}
	checked := time.Now()
	time.Sleep(streamDeadline / 2)
	stop()
	wg.Wait()
	return judgeHangup(l, group.between(l.startedAt, checked), terminatedAt), nil
}

// changeSettings changes the order of the seeds in all settings files and tells all
// processes by SIGHUP.
func (l *lab) changeSettings() error {
	for _, p := range l.processes {
		seeds := slices.Clone(p.fields["seeds"].([]any))
		slices.Reverse(seeds)
		p.fields["seeds"] = seeds
		if err := p.writeSettings(); err != nil {
			return err
		}
	}
	for _, p := range l.processes {
		p.signal(syscall.SIGHUP)
	}
	return nil
}

// judgeHangup counts the requests of stopping gateways that a worker had begun to run and
// whose channel ended without a complete answer before the last sixth of the grace period
// and before the request's time budget.
func judgeHangup(l *lab, answers []answer, terminatedAt map[string]time.Time) int {
	runs := runsOf(l.platform.workers)
	broken := 0
	for _, a := range answers {
		at, stopping := terminatedAt[a.gateway]
		inLastSixth := !a.endedAt.Before(at.Add(graceTime * 5 / 6))
		late := a.endedAt.Sub(a.sentAt) > streamDeadline*7/10
		if !stopping || a.endedAt.Before(at) || inLastSixth || late || a.complete || len(runs[a.id]) == 0 {
			continue
		}
		broken++
		l.record("LOST: %s was sent %.2f s after SIGTERM and cut %.2f s after it", a.id, a.sentAt.Sub(at).Seconds(), a.endedAt.Sub(at).Seconds())
	}
	l.record("%s", fmt.Sprintf("%d requests, %d of them cut at a gateway that was stopping", len(answers), broken))
	return broken
}
