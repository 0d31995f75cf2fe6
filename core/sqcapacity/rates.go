package sqcapacity

import "time"

const (
	// sampleEvery is the length of a sample of the demand, and samples is how many
	// are kept: the plan is made for the busiest of them.
	sampleEvery = 1 * time.Second
	samples     = 40
)

// rates are the demands of the latest seconds.
type rates struct {
	at      time.Time
	last    Demand
	history []rate
}

// rate is the demand of one sample.
type rate struct {
	// unread is in prompt tokens a second, decoding in requests at a time.
	unread, decoding, requests float64
}

func (r *rates) see(now time.Time, d Demand) {
	if r.at.IsZero() {
		r.at, r.last = now, d
		return
	}
	passed := now.Sub(r.at)
	if passed < sampleEvery {
		return
	}
	r.history = append(r.history, rate{
		unread:   (d.PrefillTokens - r.last.PrefillTokens) / passed.Seconds(),
		decoding: (d.DecodeTime - r.last.DecodeTime).Seconds() / passed.Seconds(),
		requests: (d.Requests - r.last.Requests) / passed.Seconds(),
	})
	if len(r.history) > samples {
		r.history = r.history[1:]
	}
	r.at, r.last = now, d
}

// peak returns the highest demand of each kind; false if there was none yet.
func (r *rates) peak() (rate, bool) {
	var most rate
	for _, h := range r.history {
		most.unread = max(most.unread, h.unread)
		most.decoding = max(most.decoding, h.decoding)
		most.requests = max(most.requests, h.requests)
	}
	return most, most.requests > 0
}
