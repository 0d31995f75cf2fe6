// Package sqspeed estimates how long work takes at endpoints that share their machines
// with others, from what the endpoints report to many gateways. An estimate is the
// long-term mean of an endpoint plus what is left of its last deviation. The mean is kept
// for tens of seconds and the deviation for a fraction of a second, since most reports are
// older than the moment that they describe.
package sqspeed

import (
	"math"
	"strconv"
	"strings"
	"time"
)

const (
	// UsualPercent is how long work usually takes, and the estimate of an endpoint of which
	// nothing is known.
	UsualPercent = 100
	// minPercent and maxPercent bound the reports that are believed.
	minPercent = 10
	maxPercent = 2000
	// memory is how long an endpoint is remembered without a report.
	memory = 2 * time.Minute
)

// Report is what one endpoint reported of its speed to one gateway.
type Report struct {
	Endpoint string
	// Percent is how long work takes in percent of the usual time, the mean of Count
	// reports, the last of which arrived at At.
	Percent float64
	Count   int
	At      time.Time
}

// credible reports whether the report can be used.
func (r *Report) credible() bool {
	return r.Count > 0 && r.Percent >= minPercent && r.Percent <= maxPercent
}

// Speed is the lease holder's estimate for one endpoint.
type Speed struct {
	Endpoint string
	// Percent is the estimate as of now, Mean its long-term part.
	Percent, Mean float64
	// Age is the time since the last report.
	Age time.Duration
}

// ParsePercent parses the percentage that an endpoint reports. It returns false if the text
// is not a number, or not one that an endpoint can mean.
func ParsePercent(s string) (int, bool) {
	percent, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
	if err != nil || !(percent >= minPercent && percent <= maxPercent) {
		return 0, false
	}
	return int(math.Round(percent)), true
}
