package sqspeed

import (
	"math"
	"time"
)

const (
	// deviationTime is the time in which a deviation from the mean decays to 1/e.
	deviationTime = 300 * time.Millisecond
	// meanTime is the time in which the weight of a report in the mean decays to 1/e.
	meanTime = 20 * time.Second
	// levelTime is how long the mean is not computed anew while there are no reports.
	levelTime = 500 * time.Millisecond
	// sampleTime is the time after which a report counts in full: reports that follow each
	// other closely describe the same moment.
	sampleTime = 1 * time.Second
	// minShare is the least share of a report, so that those of many gateways for the same
	// moment count together.
	minShare = 0.05
	// priorWeight is the weight of the usual speed, in reports that count in full, and
	// maxWeight the highest weight of the reports.
	priorWeight = 1.0
	maxWeight   = 20.0
	// adoptedWeight is the least weight of the lease holder's estimate, which counts the
	// usual speed already.
	adoptedWeight = 4.0
	// measuredShare is the share of one measured answer time, which depends on the request
	// too, maxMeasuredRatio how far it may be from the expected one.
	measuredShare    = 0.05
	maxMeasuredRatio = 4.0
	// unreportedTime is how long after a report measured answer times are not used.
	unreportedTime = 10 * time.Second
)

// Estimate is what is known of the speed of one endpoint. The zero value knows nothing. It
// is not safe for concurrent use.
type Estimate struct {
	// mean is the long-term mean in percent, and weight the weight of the reports in it at
	// updatedAt.
	mean, weight float64
	updatedAt    time.Time
	// last is the newest value, which was right at lastAt.
	last   float64
	lastAt time.Time
	// reportedAt is the time of the newest report.
	reportedAt time.Time
	// level is the result of Mean until levelUntil, 0 if it has to be computed.
	level      float64
	levelUntil time.Time
}

// Known reports whether anything is known of the endpoint's speed.
func (e *Estimate) Known() bool { return !e.updatedAt.IsZero() }

// ReportedAt returns the time of the endpoint's newest report, and the zero time if there
// was none.
func (e *Estimate) ReportedAt() time.Time { return e.reportedAt }

// Record records a report. One that arrives late counts towards the mean only.
func (e *Estimate) Record(r Report) {
	if !r.credible() {
		return
	}
	e.add(r.At, r.Percent, max(minShare*float64(r.Count), 1-decay(r.At.Sub(e.updatedAt), sampleTime)))
	if !r.At.Before(e.reportedAt) {
		e.last, e.lastAt, e.reportedAt = r.Percent, r.At, r.At
	}
}

// Adopt records the lease holder's estimate, which is made from the reports to all gateways.
// A newer report to this gateway keeps its deviation.
func (e *Estimate) Adopt(now time.Time, s Speed) {
	if r := (Report{Percent: s.Percent, Count: 1}); !r.credible() {
		return
	}
	e.add(now, s.Percent, max(minShare, 1-decay(now.Sub(e.updatedAt), sampleTime)))
	e.weight = max(e.weight, adoptedWeight)
	if at := now.Add(-s.Age); at.After(e.reportedAt) {
		e.last, e.lastAt, e.reportedAt = s.Percent, now, at
	}
}

// RecordMeasured corrects the mean by the answer time that was observed where another was
// expected from the estimate. It does nothing and returns false while the endpoint reports
// its speed.
func (e *Estimate) RecordMeasured(now time.Time, expected, observed time.Duration) bool {
	if expected <= 0 || !e.reportedAt.IsZero() && now.Sub(e.reportedAt) < unreportedTime {
		return false
	}
	ratio := min(max(float64(observed)/float64(expected), 1/maxMeasuredRatio), maxMeasuredRatio)
	e.add(now, min(max(e.Mean(now)*ratio, minPercent), maxPercent), measuredShare)
	return true
}

// Mean returns the long-term part of the estimate in percent. Without reports it approaches
// the usual speed, so that a slow endpoint is tried again.
func (e *Estimate) Mean(now time.Time) float64 {
	if !e.Known() {
		return UsualPercent
	}
	if e.level == 0 || now.After(e.levelUntil) {
		weight := e.weight * decay(now.Sub(e.updatedAt), meanTime)
		e.level, e.levelUntil = UsualPercent+(e.mean-UsualPercent)*weight/(weight+priorWeight), now.Add(levelTime)
	}
	return e.level
}

// Percent returns how long work takes at now, in percent of the usual time.
func (e *Estimate) Percent(now time.Time) float64 {
	percent := e.Mean(now)
	if !e.lastAt.IsZero() {
		percent += (e.last - percent) * decay(now.Sub(e.lastAt), deviationTime)
	}
	return min(max(percent, minPercent), maxPercent)
}

// Factor returns how long work takes at now relative to the usual time.
func (e *Estimate) Factor(now time.Time) float64 {
	if !e.Known() {
		return 1
	}
	return e.Percent(now) / UsualPercent
}

// add adds a value to the mean with a share between 0 and 1.
func (e *Estimate) add(at time.Time, percent, share float64) {
	e.level = 0
	share = min(share, 1)
	if age := e.updatedAt.Sub(at); age > 0 {
		share *= decay(age, meanTime)
	} else {
		e.weight *= decay(-age, meanTime)
		e.updatedAt = at
	}
	if e.weight+share > 0 {
		e.mean += (percent - e.mean) * share / (e.weight + share)
	}
	e.weight = min(e.weight+share, maxWeight)
}

// decay returns the share that is left after a time; it is 1 for a negative time.
func decay(elapsed, constant time.Duration) float64 {
	const none = 8
	switch {
	case elapsed <= 0:
		return 1
	case elapsed > none*constant:
		return 0
	default:
		return math.Exp(-float64(elapsed) / float64(constant))
	}
}
