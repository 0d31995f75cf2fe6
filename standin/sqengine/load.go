package sqengine

import "time"

// loadReport is the wire form of a report of the engine's load.
type loadReport struct {
	AtUnixNano    int64    `json:"atUnixNano"`
	Running       int      `json:"running"`
	Queued        int      `json:"queued"`
	PrefillTokens int      `json:"prefillTokens"`
	DecodeTokens  int      `json:"decodeTokens"`
	Role          string   `json:"role"`
	Models        []string `json:"models"`
}

// currentLoad returns the load at now; the lock is held.
func (e *Engine) currentLoad(now time.Time) loadReport {
	l := loadReport{
		AtUnixNano: now.UnixNano(), Running: len(e.running), Queued: len(e.queue),
		Role: e.role, Models: append([]string{}, e.models...),
	}
	for _, s := range e.running {
		l.PrefillTokens += s.prefillLeft
		l.DecodeTokens += s.answer.Len() - s.position
	}
	for _, s := range e.queue {
		l.DecodeTokens += s.answer.Len() - s.position
		if !s.admitted {
			l.PrefillTokens += s.promptTokens
		}
	}
	return l
}

// addLoadReport adds a report that becomes visible after LoadReportDelay; the
// lock is held.
func (e *Engine) addLoadReport(now time.Time) {
	delay := e.cfg.scaled(e.cfg.TimeModel.LoadReportDelay)
	if n := len(e.loadReports); n > 0 && now.UnixNano()-e.loadReports[n-1].AtUnixNano < int64(delay/8) {
		return
	}
	e.loadReports = append(e.loadReports, e.currentLoad(now))
	e.dropOldLoadReports(now)
}

// dropOldLoadReports removes all reports before the newest visible one.
func (e *Engine) dropOldLoadReports(now time.Time) {
	cutoff := now.Add(-e.cfg.scaled(e.cfg.TimeModel.LoadReportDelay)).UnixNano()
	for len(e.loadReports) > 1 && e.loadReports[1].AtUnixNano <= cutoff {
		e.loadReports = e.loadReports[1:]
	}
}

// delayedLoadReport returns the newest report that is at least LoadReportDelay old;
// the lock is held. It returns the oldest report if all are newer.
func (e *Engine) delayedLoadReport(now time.Time) loadReport {
	e.addLoadReport(now)
	e.dropOldLoadReports(now)
	return e.loadReports[0]
}
