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

// result is the result of one arrival.
type result struct {
	arrival arrival
	chat    sqcaller.ChatResult
	booking sqcaller.CallResult
	onTime  bool
	dropped bool
}

// runner sends the arrivals of a plan.
type runner struct {
	cfg     Config
	callers [][]*sqcaller.Caller
	slots   chan struct{}
	wg      sync.WaitGroup

	mu       sync.Mutex
	results  []result
	maxDelay time.Duration
}

// Run sends all requests at their planned times, waits for the responses and
// returns the report. When ctx ends, Run sends no more requests and the ones in
// flight are canceled. An incomplete configuration is an error.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	cfg = cfg.withDefaults()
	if len(cfg.Entries) == 0 || len(cfg.Teams) == 0 || cfg.Duration <= 0 {
		return nil, sqfailure.New(sqfailure.Config{Action: "run load", Detail: "entries, teams and a duration are needed"})
	}
	if cfg.Client == nil {
		cfg.Client = sqcaller.NewClient()
	}
	arrivals := planArrivals(cfg)
	r := &runner{cfg: cfg, slots: make(chan struct{}, cfg.MaxInFlight)}
	r.makeCallers()
	start := time.Now()
	sent := r.send(ctx, start, arrivals)
	if sent < len(arrivals) {
		cfg.Duration = time.Since(start)
	}
	r.wg.Wait()
	return newReport(cfg, arrivals[:sent], r.results, r.maxDelay), nil
}

// makeCallers creates a caller for each team in each zone.
func (r *runner) makeCallers() {
	addresses := make([]*sqcaller.Addresses, len(r.cfg.Zones))
	for z, zone := range r.cfg.Zones {
		addresses[z] = sqcaller.NewAddresses(sqcaller.AddressesConfig{
			Client: r.cfg.Client, Zone: zone, Entries: r.cfg.Entries,
		})
	}
	for i, t := range r.cfg.Teams {
		var byZone []*sqcaller.Caller
		for z := range r.cfg.Zones {
			byZone = append(byZone, sqcaller.New(sqcaller.Config{
				Addresses: addresses[z], Key: t.Key, Client: r.cfg.Client, MaxAttempts: r.cfg.MaxAttempts,
				RetryRefusals: r.cfg.RetryRefusals, Seed: r.cfg.Seed + uint64(i*len(r.cfg.Zones)+z),
			}))
		}
		r.callers = append(r.callers, byZone)
	}
}

// send starts the requests at their planned times and returns the number of
// arrivals that it processed, including the dropped ones.
func (r *runner) send(ctx context.Context, start time.Time, arrivals []arrival) int {
	for i, a := range arrivals {
		select {
		case <-time.After(time.Until(start.Add(a.offset))):
		case <-ctx.Done():
			return i
		case <-r.cfg.StopArrivals:
			return i
		}
		r.mu.Lock()
		r.maxDelay = max(r.maxDelay, time.Since(start)-a.offset)
		r.mu.Unlock()
		select {
		case r.slots <- struct{}{}:
		default:
			r.addResult(result{arrival: a, dropped: true})
			continue
		}
		r.wg.Go(func() {
			defer func() { <-r.slots }()
			r.addResult(r.runArrival(ctx, a))
		})
	}
	return len(arrivals)
}

func (r *runner) addResult(v result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, v)
}

func (r *runner) runArrival(ctx context.Context, a arrival) result {
	caller := r.callers[a.team][a.zone]
	if a.class == classBooking {
		return r.book(ctx, caller, a)
	}
	v := result{arrival: a, chat: caller.Chat(ctx, sqcaller.ChatRequest{
		Model: r.cfg.Model, Messages: a.messages, MaxTokens: a.maxTokens, Stream: !a.unstreamed, Deadline: r.cfg.Deadline,
	})}
	v.onTime = r.chatOnTime(a, v.chat)
	return v
}

// chatOnTime reports whether the answer is complete and meets the limits for the
// total time and, if streamed, for the first token and the mean token interval.
func (r *runner) chatOnTime(a arrival, c sqcaller.ChatResult) bool {
	if c.Outcome != sqcaller.Complete || c.Total > r.cfg.Deadline {
		return false
	}
	if a.unstreamed {
		return true
	}
	streaming := c.Total - c.FirstToken
	return c.FirstToken <= r.cfg.FirstTokenTarget && streaming <= time.Duration(c.Tokens)*r.cfg.TokenIntervalTarget
}

type bookingBody struct {
	Place string `json:"place"`
}

func (r *runner) book(ctx context.Context, caller *sqcaller.Caller, a arrival) result {
	if r.cfg.ReadPath != "" {
		caller.Call(ctx, sqcaller.CallRequest{Method: http.MethodGet, Path: r.cfg.ReadPath, Deadline: r.cfg.Deadline})
	}
	body, err := json.Marshal(bookingBody{Place: a.identity})
	if err != nil {
		panic(err)
	}
	v := result{arrival: a, booking: caller.Call(ctx, sqcaller.CallRequest{
		Method: http.MethodPost, Path: r.cfg.BookingPath, Body: body, Identity: a.identity, Deadline: r.cfg.Deadline,
	})}
	v.onTime = v.booking.Outcome == sqcaller.Complete && v.booking.Total <= r.cfg.Deadline
	return v
}
