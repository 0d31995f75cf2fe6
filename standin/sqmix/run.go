package sqmix

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"sequoiadock/standin/sqcaller"
	"sequoiadock/standin/sqfailure"
)

// result is how one arrival went.
type result struct {
	arrival arrival
	chat    sqcaller.ChatResult
	call    sqcaller.CallResult
	onTime  bool
	dropped bool
}

// runner sends the arrivals of a plan.
type runner struct {
	cfg     Config
	callers [][]*sqcaller.Caller
	slots   chan struct{}
	wg      sync.WaitGroup

	mu      sync.Mutex
	results []result
	late    time.Duration
}

// Run sends all arrivals at their times, waits for the answers, and reports.
// When ctx ends, no more requests arrive and those that run are given up.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	cfg = cfg.withDefaults()
	if len(cfg.Entries) == 0 || len(cfg.Teams) == 0 || cfg.Duration <= 0 {
		return nil, sqfailure.New(sqfailure.Config{Action: "run load", Detail: "entries, teams and a duration are needed"})
	}
	if cfg.Client == nil {
		cfg.Client = sqcaller.NewClient()
	}
	arrivals := plan(cfg)
	r := &runner{cfg: cfg, slots: make(chan struct{}, cfg.MaxInFlight)}
	r.makeCallers()
	start := time.Now()
	sent := r.send(ctx, start, arrivals)
	if sent < len(arrivals) {
		cfg.Duration = time.Since(start)
	}
	r.wg.Wait()
	return report(cfg, arrivals[:sent], r.results, r.late), nil
}

// makeCallers makes a caller for each team in each zone.
func (r *runner) makeCallers() {
	addresses := make([]*sqcaller.Addresses, len(r.cfg.Zones))
	for z, zone := range r.cfg.Zones {
		addresses[z] = sqcaller.NewAddresses(sqcaller.AddressesConfig{
			Client: r.cfg.Client, Zone: zone, Entries: r.cfg.Entries,
		})
	}
	for i, t := range r.cfg.Teams {
		var inZones []*sqcaller.Caller
		for z := range r.cfg.Zones {
			inZones = append(inZones, sqcaller.New(sqcaller.Config{
				Addresses: addresses[z], Key: t.Key, Client: r.cfg.Client, MaxAttempts: r.cfg.MaxAttempts,
				RetryRefusals: r.cfg.RetryRefusals, Seed: r.cfg.Seed + uint64(i*len(r.cfg.Zones)+z),
			}))
		}
		r.callers = append(r.callers, inZones)
	}
}

// send starts the requests at their times and returns how many it started.
func (r *runner) send(ctx context.Context, start time.Time, arrivals []arrival) int {
	for i, a := range arrivals {
		select {
		case <-time.After(time.Until(start.Add(a.at))):
		case <-ctx.Done():
			return i
		case <-r.cfg.StopArrivals:
			return i
		}
		r.mu.Lock()
		r.late = max(r.late, time.Since(start)-a.at)
		r.mu.Unlock()
		select {
		case r.slots <- struct{}{}:
		default:
			r.keep(result{arrival: a, dropped: true})
			continue
		}
		r.wg.Go(func() {
			defer func() { <-r.slots }()
			r.keep(r.one(ctx, a))
		})
	}
	return len(arrivals)
}

func (r *runner) keep(v result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, v)
}

func (r *runner) one(ctx context.Context, a arrival) result {
	caller := r.callers[a.team][a.zone]
	if a.class == classCall {
		return r.book(ctx, caller, a)
	}
	v := result{arrival: a, chat: caller.Chat(ctx, sqcaller.ChatRequest{
		Model: r.cfg.Model, Messages: a.messages, MaxTokens: a.tokens, Stream: !a.plain, Deadline: r.cfg.Deadline,
	})}
	v.onTime = r.onTime(a, v.chat)
	return v
}

// onTime reports whether the whole right answer came on time: its first token,
// its tokens at the mean, and its end.
func (r *runner) onTime(a arrival, c sqcaller.ChatResult) bool {
	if c.Outcome != sqcaller.Complete || c.Total > r.cfg.Deadline {
		return false
	}
	if a.plain {
		return true
	}
	streaming := c.Total - c.FirstToken
	return c.FirstToken <= r.cfg.FirstTokenTarget && streaming <= time.Duration(c.Tokens)*r.cfg.TokenIntervalTarget
}

type place struct {
	Place string `json:"place"`
}

func (r *runner) book(ctx context.Context, caller *sqcaller.Caller, a arrival) result {
	if r.cfg.ReadPath != "" {
		caller.Call(ctx, sqcaller.CallRequest{Method: http.MethodGet, Path: r.cfg.ReadPath, Deadline: r.cfg.Deadline})
	}
	body, err := json.Marshal(place{Place: a.identity})
	if err != nil {
		panic(err)
	}
	v := result{arrival: a, call: caller.Call(ctx, sqcaller.CallRequest{
		Method: http.MethodPost, Path: r.cfg.BookingPath, Body: body, Identity: a.identity, Deadline: r.cfg.Deadline,
	})}
	v.onTime = v.call.Outcome == sqcaller.Complete && v.call.Total <= r.cfg.Deadline
	return v
}
