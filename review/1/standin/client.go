package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// answer is what a client got for one request.
type answer struct {
	id      string
	path    string
	gateway string
	sentAt  time.Time
	endedAt time.Time
	// status is 0 if the channel ended without an answer. complete is set if the body came
	// to its end.
	status   int
	complete bool
	body     string
	err      error
}

// clients sends requests from several clients and keeps all answers.
type clients struct {
	lab *lab

	mu      sync.Mutex
	number  int
	answers []answer
}

// client is one client. It keeps its channels open and uses them again.
type client struct {
	group      *clients
	http       *http.Client
	addresses  []string
	resolvedAt time.Time
}

func (g *clients) newClient() *client {
	return &client{group: g, http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1, IdleConnTimeout: 12 * time.Second}}}
}

// nextID returns a new request id.
func (g *clients) nextID() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.number++
	return fmt.Sprintf("%08x%06d", rand.Uint32(), g.number)
}

// resolve asks a gateway's directory for the addresses to use, at most once a second.
func (c *client) resolve() string {
	if time.Since(c.resolvedAt) > time.Second {
		gateways := c.group.lab.gateways()
		g := gateways[rand.IntN(len(gateways))]
		url := fmt.Sprintf("http://%s/sequoiadock/resolve?name=%s&region=valle-centro&zone=valle-a", c.group.lab.address(g.host, directoryPort), hostName)
		if res, err := readyClient.Get(url); err == nil {
			var d struct {
				Addresses []string `json:"addresses"`
			}
			if json.NewDecoder(res.Body).Decode(&d) == nil && len(d.Addresses) > 0 {
				c.addresses, c.resolvedAt = d.Addresses, time.Now()
			}
			_ = res.Body.Close()
		}
	}
	if len(c.addresses) == 0 {
		g := c.group.lab.gateways()[0]
		return c.group.lab.address(g.host, frontPort)
	}
	return c.addresses[rand.IntN(len(c.addresses))]
}

// send sends one request and records its answer.
func (c *client) send(ctx context.Context, path, body string, deadline time.Duration) answer {
	a := answer{id: c.group.nextID(), path: path, gateway: c.resolve(), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.gateway+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = hostName
	req.Header.Set("Sequoiadock-Request-Id", a.id)
	req.Header.Set("Sequoiadock-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+apiKey)
	c.group.lab.record("client sends %s %s to %s", a.id, path, a.gateway)
	res, err := c.http.Do(req)
	if err != nil {
		a.err = err
	} else {
		a.status = res.StatusCode
		data, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		a.body, a.complete, a.err = string(data), err == nil, err
	}
	a.endedAt = time.Now()
	c.group.lab.record("client has for %s: status %d, complete %v, error %v", a.id, a.status, a.complete, a.err)
	c.group.mu.Lock()
	c.group.answers = append(c.group.answers, a)
	c.group.mu.Unlock()
	return a
}

// between returns the answers to requests that were sent from one time to another.
func (g *clients) between(from, to time.Time) []answer {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []answer
	for _, a := range g.answers {
		if !a.sentAt.Before(from) && a.sentAt.Before(to) {
			list = append(list, a)
		}
	}
	return list
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

// servedShare returns the share of the answers that are complete successes.
func servedShare(answers []answer) float64 {
	served := 0
	for _, a := range answers {
		if a.status == http.StatusOK && a.complete {
			served++
		}
	}
	return float64(served) / float64(max(1, len(answers)))
}
