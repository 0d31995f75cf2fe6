package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Figures of the case "laterroute".
const (
	laterRoutePath = "/later/"
	// Requests a second on the first route and on the one that is added later.
	firstPerSecond = 10
	laterPerSecond = 6
	laterTime      = 80 * time.Second
	// laterPieces is the number of events of a stream on the later route.
	laterPieces = 24
	// steadyAfter is how long after the change requests are counted.
	steadyAfter = 5 * time.Second
	// minLaterRequests and minShareRatio are the figures of the rule.
	minLaterRequests = 20
	minShareRatio    = 0.25
)

// playLaterRoute sends requests on a route of the first manifest, to a service with short
// requests. The disruption is a change of the manifest that adds a route to another
// service, whose answers are streams.
func playLaterRoute(l *lab) (int, error) {
	for i := range 3 {
		pass := newWorker(l, workerConfig{
			service: passService, version: "v1", address: l.address(firstWorker+i, workerPort), slots: 6, queue: 24,
			workTime: func(*http.Request) time.Duration { return 30 * time.Millisecond },
		})
		chat := newWorker(l, workerConfig{
			service: chatService, version: "v1", address: l.address(firstWorker+10+i, workerPort), slots: 16, queue: 16,
			pieces: laterPieces, pieceGap: streamGap,
		})
		if err := l.platform.add(pass); err != nil {
			return 0, err
		}
		if err := l.platform.add(chat); err != nil {
			return 0, err
		}
	}
	m := newManifest()
	m.Routes = m.Routes[:1]
	if err := l.startDeployment(2, m); err != nil {
		return 0, err
	}
	group := &clients{lab: l}
	ctx, stop := context.WithTimeout(context.Background(), laterTime)
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { group.sendEvery(ctx, time.Second/firstPerSecond, lookupPath+"pass", 1500*time.Millisecond) })
	if l.trouble {
		time.Sleep(3 * time.Second)
		later := newManifest()
		later.Version = 2
		route := later.Routes[1]
		route.Name, route.PathPrefix = "later", laterRoutePath
		later.Routes = append(later.Routes[:1], route)
		if err := l.declare(later, 10*time.Second); err != nil {
			return 0, err
		}
		time.Sleep(3 * time.Second)
		wg.Go(func() { group.sendEvery(ctx, time.Second/laterPerSecond, laterRoutePath+"x", streamDeadline) })
	}
	changed := time.Now()
	wg.Wait()
	return judgeLaterRoute(l, group.between(changed.Add(steadyAfter), time.Now())), nil
}

// sendEvery sends a request each interval, whether earlier ones have been answered or not.
// At most so many clients are busy at once as the rate needs.
func (g *clients) sendEvery(ctx context.Context, interval time.Duration, path string, deadline time.Duration) {
	free := make(chan *client, 64)
	for range cap(free) {
		free <- g.newClient()
	}
	var wg sync.WaitGroup
	for tick := time.NewTicker(interval); ctx.Err() == nil; <-tick.C {
		c := <-free
		wg.Go(func() {
			c.send(context.Background(), path, "question", deadline)
			free <- c
		})
	}
	wg.Wait()
}

// judgeLaterRoute compares how often the requests of both routes are served.
func judgeLaterRoute(l *lab, answers []answer) int {
	var first, later []answer
	for _, a := range answers {
		if a.path == lookupPath+"pass" {
			first = append(first, a)
		} else {
			later = append(later, a)
		}
	}
	firstShare, laterShare := servedShare(first), servedShare(later)
	l.record("first route: %d requests, %.3f served; later route: %d requests, %.3f served", len(first), firstShare, len(later), laterShare)
	if len(later) >= minLaterRequests && laterShare < minShareRatio*firstShare {
		l.record("CONFIG: the later route is served less than a quarter as often")
		return 1
	}
	return 0
}
