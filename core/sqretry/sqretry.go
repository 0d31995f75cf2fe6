// Package sqretry keeps one gateway's part of the retry budget that all gateways
// share: in each window, the sends beyond the first of each request are at most
// a ratio of the requests and a constant.
package sqretry

import "time"

const (
	// slots is how many parts a window has; it slides by one of them.
	slots = 10
	// safetyPercent of the budget is handed out. The rest covers requests that a
	// caller sent near the edge of a window.
	safetyPercent = 80
)

// Config configures a Budget.
type Config struct {
	// Ratio is the part of the requests that may be sent again.
	Ratio float64
	// ExtraRetries is the constant that all gateways share.
	ExtraRetries float64
	// Window is the length of a window.
	Window time.Duration
}

// Budget is not safe for concurrent use.
type Budget struct {
	cfg Config
	// since is when the process started. What an earlier process of this
	// gateway spent may still count, so the constant is only spent a window later.
	since    time.Time
	gateways int
	services map[string]*usage
}

// usage is what one service got in the latest slots.
type usage struct {
	at       time.Time
	requests [slots]int
	extras   [slots]int
}

// New returns the budget of a gateway that starts at now.
func New(now time.Time, cfg Config) *Budget {
	return &Budget{cfg: cfg, since: now, services: map[string]*usage{}}
}

// SetGateways sets how many gateways share the constant.
func (b *Budget) SetGateways(n int) { b.gateways = n }

// RecordRequest counts a request for a service.
func (b *Budget) RecordRequest(now time.Time, service string) {
	u := b.usage(now, service)
	u.requests[0]++
}

// AllowRetry takes one extra send from the budget; false means that there is none.
func (b *Budget) AllowRetry(now time.Time, service string) bool {
	u := b.usage(now, service)
	requests, extras := 0, 0
	for i := range slots {
		requests += u.requests[i]
		extras += u.extras[i]
	}
	allowed := b.cfg.Ratio * float64(requests)
	if b.gateways > 0 && now.Sub(b.since) >= b.cfg.Window {
		allowed += b.cfg.ExtraRetries / float64(b.gateways)
	}
	if float64(extras+1) > allowed*safetyPercent/100 {
		return false
	}
	u.extras[0]++
	return true
}

// usage returns the counts of a service, moved on to now.
func (b *Budget) usage(now time.Time, service string) *usage {
	slot := b.cfg.Window / slots
	u := b.services[service]
	if u == nil {
		u = &usage{at: now}
		b.services[service] = u
	}
	for steps := 0; now.Sub(u.at) >= slot; steps++ {
		if steps == slots {
			*u = usage{at: now}
			break
		}
		copy(u.requests[1:], u.requests[:slots-1])
		copy(u.extras[1:], u.extras[:slots-1])
		u.requests[0], u.extras[0] = 0, 0
		u.at = u.at.Add(slot)
	}
	return u
}
