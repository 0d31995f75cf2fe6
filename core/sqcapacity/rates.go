package sqcapacity

import "time"

const (
	// sampleInterval is the minimum length of a demand sample, and maxSamples is how
	// many samples are kept: the plan is made for their peak.
	sampleInterval = 1 * time.Second
	maxSamples     = 40
)

// demandHistory holds the latest samples of the demand.
type demandHistory struct {
	sampledAt  time.Time
	lastTotals Demand
	samples    []demandRate
}

// demandRate is the average demand over one sample.
type demandRate struct {
	// prefillTokens and requests are per second; concurrentDecodes is the average
	// number of requests that generate tokens at the same time.
	prefillTokens, concurrentDecodes, requests float64
}

func (h *demandHistory) add(now time.Time, totals Demand) {
	if h.sampledAt.IsZero() {
		h.sampledAt, h.lastTotals = now, totals
		return
	}
	elapsed := now.Sub(h.sampledAt)
	if elapsed < sampleInterval {
		return
	}
	h.samples = append(h.samples, demandRate{
		prefillTokens:     (totals.PrefillTokens - h.lastTotals.PrefillTokens) / elapsed.Seconds(),
		concurrentDecodes: (totals.DecodeTime - h.lastTotals.DecodeTime).Seconds() / elapsed.Seconds(),
		requests:          (totals.Requests - h.lastTotals.Requests) / elapsed.Seconds(),
	})
	if len(h.samples) > maxSamples {
		h.samples = h.samples[1:]
	}
	h.sampledAt, h.lastTotals = now, totals
}

// peak returns the maximum of each rate over all samples, and false if there was no
// request yet.
func (h *demandHistory) peak() (demandRate, bool) {
	var highest demandRate
	for _, s := range h.samples {
		highest.prefillTokens = max(highest.prefillTokens, s.prefillTokens)
		highest.concurrentDecodes = max(highest.concurrentDecodes, s.concurrentDecodes)
		highest.requests = max(highest.requests, s.requests)
	}
	return highest, highest.requests > 0
}
