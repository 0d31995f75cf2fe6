package sqengine

import (
	"slices"
	"time"

	"sequoiadock/standin/sqanswer"
)

// catchUp bounds how much time the batch may make up for when the process got
// no processor.
const catchUp = 100 * time.Millisecond

// run makes one batch step after another until the engine stops.
func (e *Engine) run() {
	at := time.Now()
	for {
		e.faults.WaitWhilePaused(e.stopped)
		e.mu.Lock()
		duration, work := e.plan()
		wake := e.wake
		e.mu.Unlock()
		if !work {
			select {
			case <-wake:
			case <-e.stopped:
				return
			}
			at = time.Now()
			continue
		}
		if behind := time.Now().Add(-catchUp); at.Before(behind) {
			at = behind
		}
		at = at.Add(duration)
		if !e.sleepUntil(at) {
			return
		}
		e.mu.Lock()
		e.finishStep(time.Now())
		e.mu.Unlock()
	}
}

// sleepUntil reports whether the time came before the engine stopped.
func (e *Engine) sleepUntil(at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		select {
		case <-e.stopped:
			return false
		default:
			return true
		}
	}
	select {
	case <-e.stopped:
		return false
	case <-time.After(d):
		return true
	}
}

// plan admits waiting requests, shares the step's prefill between prompts and
// returns how long the step takes.
func (e *Engine) plan() (time.Duration, bool) {
	if e.changing {
		return 0, false
	}
	e.admit()
	if len(e.active) == 0 {
		return 0, false
	}
	budget := e.chunk()
	prefill := 0
	decoding := 0
	for _, s := range e.active {
		s.chunk = min(s.prefillLeft, budget)
		budget -= s.chunk
		prefill += s.chunk
		if s.prefillLeft == 0 {
			decoding++
		}
	}
	t := e.cfg.TimeModel
	d := t.StepOverhead + time.Duration(decoding)*t.PerSequence
	d += time.Duration(float64(prefill) / t.PrefillTokensPerSecond * float64(time.Second))
	return e.cfg.scaled(d), true
}

func (e *Engine) chunk() int {
	switch e.role {
	case RolePrefill:
		return e.cfg.Limits.PrefillChunkTokens
	case RoleDecode:
		return e.cfg.Limits.DecodeChunkTokens
	default:
		return e.cfg.Limits.ChunkTokens
	}
}

// admit moves requests from the queue to the batch, by priority and arrival.
func (e *Engine) admit() {
	if len(e.queue) > 1 {
		slices.SortStableFunc(e.queue, func(a, b *session) int {
			if a.priority != b.priority {
				return b.priority - a.priority
			}
			return int(int64(a.arrived) - int64(b.arrived))
		})
	}
	for len(e.queue) > 0 && len(e.active) < e.cfg.Limits.MaxRunning {
		s := e.queue[0]
		if len(e.active) > 0 && e.kvUsed()+s.kvTokens() > e.cfg.Limits.KVCapacityTokens {
			return
		}
		e.queue = e.queue[1:]
		e.active = append(e.active, s)
		if s.admitted {
			continue
		}
		s.admitted = true
		held := e.cache.match(s.model, s.pieces)
		s.cached = held * sqanswer.BlockWords
		// The last token is always computed, to have something to go on from.
		s.prefillLeft = max(1, s.prompt-s.cached)
	}
}

func (e *Engine) kvUsed() int {
	n := 0
	for _, s := range e.active {
		n += s.kvTokens()
	}
	return n
}

// finishStep gives every request in the step what the step computed.
func (e *Engine) finishStep(now time.Time) {
	for _, s := range slices.Clone(e.active) {
		if s.prefillLeft > 0 {
			e.finishPrefill(s, now)
			continue
		}
		e.token(s)
	}
	e.reportLoad(now)
}

func (e *Engine) finishPrefill(s *session, now time.Time) {
	s.prefillLeft -= s.chunk
	s.chunk = 0
	if s.prefillLeft > 0 {
		return
	}
	e.cache.store(s.model, s.pieces, now)
	// A session that was imported, or already read in part, has its tokens.
	if s.position == 0 {
		e.token(s)
	}
}

func (e *Engine) token(s *session) {
	s.position++
	if s.position >= s.answer.Len() {
		e.end(s, endedWhole)
		return
	}
	if s.onlyPrefill {
		e.end(s, endedPrefilled)
		return
	}
	s.notify()
}
