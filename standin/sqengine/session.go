package sqengine

import (
	"time"

	"sequoiadock/standin/sqanswer"
)

// Causes of a session's end.
const (
	endedWhole     = "whole"
	endedPrefilled = "prefilled"
	endedCanceled  = "canceled"
	endedCut       = "cut"
	endedAbandoned = "abandoned"
	endedReplaced  = "replaced"
)

// session is one request on the engine. The engine's lock guards it.
type session struct {
	id       string
	model    string
	text     string
	answer   sqanswer.Answer
	max      int
	priority int
	arrived  uint64
	pieces   []string
	prompt   int
	cached   int

	// prefillLeft is the part of the prompt that is still to be computed.
	prefillLeft int
	// chunk is the part of prefillLeft in the present step.
	chunk int
	// position is the number of tokens that exist.
	position int
	// onlyPrefill ends the session after its first token.
	onlyPrefill bool
	admitted    bool
	// ended is the cause of the end, empty while it runs or waits.
	ended string
	// readers counts the streams that are attached.
	readers int
	// changed closes at the next change.
	changed chan struct{}
}

func (s *session) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// kvTokens is the memory that the session takes while it runs.
func (s *session) kvTokens() int { return s.prompt + s.max }

func (s *session) usage() usage {
	return usage{PromptTokens: s.prompt, CompletionTokens: s.position, CachedTokens: s.cached}
}

// usage is the wire form of a request's counts.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// end takes s off the batch and the queue; the engine's lock is held.
func (e *Engine) end(s *session, cause string) {
	if s.ended != "" {
		return
	}
	s.ended = cause
	e.active = without(e.active, s)
	e.queue = without(e.queue, s)
	s.notify()
	e.forgetLater(s)
}

// forgetLater removes an ended session after the time to keep.
func (e *Engine) forgetLater(s *session) {
	time.AfterFunc(e.cfg.scaled(e.cfg.TimeModel.Retention), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.sessions[s.id] == s && s.ended != "" && s.readers == 0 {
			delete(e.sessions, s.id)
		}
	})
}

// detach is called when a stream leaves. A session that nobody reads goes on
// for the time to keep, so that it can be resumed, and is then given up.
func (e *Engine) detach(s *session) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	if s.readers > 0 {
		return
	}
	if s.ended != "" {
		e.forgetLater(s)
		return
	}
	time.AfterFunc(e.cfg.scaled(e.cfg.TimeModel.Retention), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if s.readers == 0 && s.ended == "" {
			e.record(entryOf(s, "requestEnded", endedAbandoned))
			e.end(s, endedAbandoned)
		}
	})
}

func without(list []*session, s *session) []*session {
	for i, x := range list {
		if x == s {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
