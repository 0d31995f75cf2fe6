package sqengine

import (
	"slices"
	"time"

	"sequoiadock/standin/sqanswer"
)

// maxCatchUp limits how much time the batch loop catches up after the process
// was not scheduled.
const maxCatchUp = 100 * time.Millisecond

// runSteps executes batch steps until the engine stops.
func (e *Engine) runSteps() {
	stepEnd := time.Now()
	for {
		e.faults.WaitWhilePaused(e.stopped)
		e.mu.Lock()
		duration, hasWork := e.planStep()
		wake := e.workArrived
		e.mu.Unlock()
		if !hasWork {
			select {
			case <-wake:
			case <-e.stopped:
				return
			}
			stepEnd = time.Now()
			continue
		}
		if catchUpFrom := time.Now().Add(-maxCatchUp); stepEnd.Before(catchUpFrom) {
			stepEnd = catchUpFrom
		}
		stepEnd = stepEnd.Add(duration)
		if !e.sleepUntil(stepEnd) {
			return
		}
		e.mu.Lock()
		e.finishStep(time.Now())
		e.mu.Unlock()
	}
}

// sleepUntil waits until at; false means that the engine stopped before.
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

// planStep admits queued requests and distributes the step's prefill tokens over
// the prompts. It returns the duration of the step; false means no work.
func (e *Engine) planStep() (time.Duration, bool) {
	if e.changingRole {
		return 0, false
	}
	e.admit()
	if len(e.running) == 0 {
		return 0, false
	}
	budget := e.chunkTokens()
	prefill := 0
	decoding := 0
	for _, s := range e.running {
		s.stepPrefill = min(s.prefillLeft, budget)
		budget -= s.stepPrefill
		prefill += s.stepPrefill
		if s.prefillLeft == 0 {
			decoding++
		}
	}
	model := e.cfg.TimeModel
	d := model.StepOverhead + time.Duration(decoding)*model.PerSequence
	d += time.Duration(float64(prefill) / model.PrefillTokensPerSecond * float64(time.Second))
	return e.cfg.scaled(d), true
}

func (e *Engine) chunkTokens() int {
	switch e.role {
	case RolePrefill:
		return e.cfg.Limits.PrefillChunkTokens
	case RoleDecode:
		return e.cfg.Limits.DecodeChunkTokens
	default:
		return e.cfg.Limits.ChunkTokens
	}
}

// admit moves requests from the queue to the batch, by priority, then arrival.
func (e *Engine) admit() {
	if len(e.queue) > 1 {
		slices.SortStableFunc(e.queue, func(a, b *session) int {
			if a.priority != b.priority {
				return b.priority - a.priority
			}
			return int(int64(a.arrivalNumber) - int64(b.arrivalNumber))
		})
	}
	for len(e.queue) > 0 && len(e.running) < e.cfg.Limits.MaxRunning {
		s := e.queue[0]
		if len(e.running) > 0 && e.kvTokensUsed()+s.kvTokens() > e.cfg.Limits.KVCapacityTokens {
			return
		}
		e.queue = e.queue[1:]
		e.running = append(e.running, s)
		if s.admitted {
			continue
		}
		s.admitted = true
		matched := e.cache.matchPrefix(s.model, s.blocks)
		s.cachedTokens = matched * sqanswer.BlockWords
		// The last prompt token is always computed, because decoding starts
		// from its result.
		s.prefillLeft = max(1, s.promptTokens-s.cachedTokens)
	}
}

func (e *Engine) kvTokensUsed() int {
	n := 0
	for _, s := range e.running {
		n += s.kvTokens()
	}
	return n
}

// finishStep applies the results of the step to every running session.
func (e *Engine) finishStep(now time.Time) {
	for _, s := range slices.Clone(e.running) {
		if s.prefillLeft > 0 {
			e.finishPrefill(s, now)
			continue
		}
		e.addToken(s)
	}
	e.addLoadReport(now)
}

func (e *Engine) finishPrefill(s *session, now time.Time) {
	s.prefillLeft -= s.stepPrefill
	s.stepPrefill = 0
	if s.prefillLeft > 0 {
		return
	}
	e.cache.store(s.model, s.blocks, now)
	// An imported or partly decoded session already has its first token.
	if s.position == 0 {
		e.addToken(s)
	}
}

func (e *Engine) addToken(s *session) {
	s.position++
	if s.position >= s.answer.Len() {
		e.endSession(s, endedComplete)
		return
	}
	if s.prefillOnly {
		e.endSession(s, endedPrefilled)
		return
	}
	s.notify()
}
