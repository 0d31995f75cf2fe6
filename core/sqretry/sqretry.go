// Package sqretry implements one gateway's part of the retry budget that all
// gateways share. In each time window, the number of retries is at most a ratio
// of the requests plus a constant. A retry is every send of a request after its
// first one.
package sqretry

import "time"

const (
	// slotsPerWindow is the number of slots of a window, which slides by one slot.
	slotsPerWindow = 10
	// usablePercent is the part of the budget that is handed out. The rest covers
	// requests that a caller sent near the edge of a window.
	usablePercent = 80
)

// Config configures a Budget.
type Config struct {
	// Ratio is the number of retries that each request adds to the budget.
	Ratio float64
	// ExtraRetries is the constant number of retries per window that all gateways
	// share, independent of their requests.
	ExtraRetries float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// Budget is a gateway's retry budget for each service. It is not safe for
// concurrent use.
type Budget struct {
	cfg Config
	// startedAt is when the process started. Retries of an earlier process of this
	// gateway may still count in the first window, so ExtraRetries is not used
	// until one window has passed.
	startedAt time.Time
	gateways  int
	services  map[string]*counts
}

// counts holds the requests and retries of one service in each slot, the current
// slot first.
type counts struct {
	slotStart time.Time
	requests  [slotsPerWindow]int
	retries   [slotsPerWindow]int
}

// New returns the budget of a gateway that starts at now.
func New(now time.Time, cfg Config) *Budget {
	return &Budget{cfg: cfg, startedAt: now, services: map[string]*counts{}}
}

// SetGateways sets how many gateways share ExtraRetries; 0 means that it is not
// known.
func (b *Budget) SetGateways(n int) { b.gateways = n }

// RecordRequest counts a request to a service.
func (b *Budget) RecordRequest(now time.Time, service string) {
	c := b.advance(now, service)
	c.requests[0]++
}

// AllowRetry takes one retry from the budget and reports whether there was one.
func (b *Budget) AllowRetry(now time.Time, service string) bool {
	c := b.advance(now, service)
	requests, retries := 0, 0
	for i := range slotsPerWindow {
		requests += c.requests[i]
		retries += c.retries[i]
	}
	allowed := b.cfg.Ratio * float64(requests)
	if b.gateways > 0 && now.Sub(b.startedAt) >= b.cfg.Window {
		allowed += b.cfg.ExtraRetries / float64(b.gateways)
	}
	if float64(retries+1) > allowed*usablePercent/100 {
		return false
	}
	c.retries[0]++
	return true
}

// advance returns the counts of a service, with the slots moved up to now.
func (b *Budget) advance(now time.Time, service string) *counts {
	slotLength := b.cfg.Window / slotsPerWindow
	c := b.services[service]
	if c == nil {
		c = &counts{slotStart: now}
		b.services[service] = c
	}
	for steps := 0; now.Sub(c.slotStart) >= slotLength; steps++ {
		if steps == slotsPerWindow {
			*c = counts{slotStart: now}
			break
		}
		copy(c.requests[1:], c.requests[:slotsPerWindow-1])
		copy(c.retries[1:], c.retries[:slotsPerWindow-1])
		c.requests[0], c.retries[0] = 0, 0
		c.slotStart = c.slotStart.Add(slotLength)
	}
	return c
}
