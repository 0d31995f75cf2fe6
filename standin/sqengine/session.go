package sqengine

import (
	"time"

	"sequoiadock/standin/sqanswer"
)

// Causes of a session's end.
const (
	endedComplete  = "whole"
	endedPrefilled = "prefilled"
	endedCanceled  = "canceled"
	endedAborted   = "cut"
	endedAbandoned = "abandoned"
	endedReplaced  = "replaced"
)

// session is one request on the engine. It is guarded by the engine's lock.
type session struct {
	id            string
	model         string
	promptText    string
	answer        sqanswer.Answer
	maxTokens     int
	priority      int
	arrivalNumber uint64
	blocks        []string
	promptTokens  int
	cachedTokens  int

	// prefillLeft is the number of prompt tokens that are still to be computed.
	prefillLeft int
	// stepPrefill is the number of prompt tokens computed in the current step.
	stepPrefill int
	// position is the number of answer tokens generated so far.
	position int
	// prefillOnly ends the session after its first token.
	prefillOnly bool
	admitted    bool
	// endCause is why the session ended, empty while it runs or is queued.
	endCause string
	// readers counts the responses that are attached.
	readers int
	// changed closes when the session changes.
	changed chan struct{}
}

func (s *session) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// kvTokens returns the KV cache capacity that the session uses while it runs.
func (s *session) kvTokens() int { return s.promptTokens + s.maxTokens }

func (s *session) usage() usage {
	return usage{PromptTokens: s.promptTokens, CompletionTokens: s.position, CachedTokens: s.cachedTokens}
}

// usage is the wire form of a request's token counts.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// endSession ends s and removes it from the batch and the queue; the engine's lock
// is held.
func (e *Engine) endSession(s *session, cause string) {
	if s.endCause != "" {
		return
	}
	s.endCause = cause
	e.running = remove(e.running, s)
	e.queue = remove(e.queue, s)
	s.notify()
	e.removeAfterRetention(s)
}

// removeAfterRetention removes an ended session after the retention time.
func (e *Engine) removeAfterRetention(s *session) {
	time.AfterFunc(e.cfg.scaled(e.cfg.TimeModel.Retention), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.sessions[s.id] == s && s.endCause != "" && s.readers == 0 {
			delete(e.sessions, s.id)
		}
	})
}

// detachReader is called when a response ends. A session without readers
// continues for the retention time, so that it can be resumed, and is then
// abandoned.
func (e *Engine) detachReader(s *session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	if s.readers > 0 {
		return
	}
	if s.endCause != "" {
		e.removeAfterRetention(s)
		return
	}
	time.AfterFunc(e.cfg.scaled(e.cfg.TimeModel.Retention), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if s.readers == 0 && s.endCause == "" {
			e.record(sessionEntry(s, "requestEnded", endedAbandoned))
			e.endSession(s, endedAbandoned)
		}
	})
}

func remove(sessions []*session, s *session) []*session {
	for i, x := range sessions {
		if x == s {
			return append(sessions[:i], sessions[i+1:]...)
		}
	}
	return sessions
}
