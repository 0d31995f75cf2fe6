package sqengine

import "time"

// load is a report of the engine's work, in the wire form.
type load struct {
	AtUnixNano    int64    `json:"atUnixNano"`
	Running       int      `json:"running"`
	Queued        int      `json:"queued"`
	PrefillTokens int      `json:"prefillTokens"`
	DecodeTokens  int      `json:"decodeTokens"`
	Role          string   `json:"role"`
	Models        []string `json:"models"`
}

// currentLoad counts the work now; the lock is held.
func (e *Engine) currentLoad(now time.Time) load {
	l := load{
		AtUnixNano: now.UnixNano(), Running: len(e.active), Queued: len(e.queue),
		Role: e.role, Models: append([]string{}, e.models...),
	}
	for _, s := range e.active {
		l.PrefillTokens += s.prefillLeft
		l.DecodeTokens += s.answer.Len() - s.position
	}
	for _, s := range e.queue {
		l.DecodeTokens += s.answer.Len() - s.position
		if !s.admitted {
			l.PrefillTokens += s.prompt
		}
	}
	return l
}

// reportLoad keeps a report for those who ask later; the lock is held.
func (e *Engine) reportLoad(now time.Time) {
	lag := e.cfg.scaled(e.cfg.TimeModel.LoadReportDelay)
	if n := len(e.loads); n > 0 && now.UnixNano()-e.loads[n-1].AtUnixNano < int64(lag/8) {
		return
	}
	e.loads = append(e.loads, e.currentLoad(now))
	e.dropLoads(now)
}

// dropLoads forgets all reports but the newest of those that are late enough.
func (e *Engine) dropLoads(now time.Time) {
	late := now.Add(-e.cfg.scaled(e.cfg.TimeModel.LoadReportDelay)).UnixNano()
	for len(e.loads) > 1 && e.loads[1].AtUnixNano <= late {
		e.loads = e.loads[1:]
	}
}

// lateLoad returns the newest report that is late enough; the lock is held.
func (e *Engine) lateLoad(now time.Time) load {
	e.reportLoad(now)
	e.dropLoads(now)
	return e.loads[0]
}
