package sqengine

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"sequoiadock/standin/sqanswer"
	"sequoiadock/standin/sqfault"
	"sequoiadock/standin/sqrecord"
)

const (
	// maxBodyBytes limits the body of a completion request.
	maxBodyBytes = 32 << 20
	// defaultMaxTokens applies when the request has no max_tokens.
	defaultMaxTokens = 128
)

// completionRequest is the wire form of a completion request.
type completionRequest struct {
	Model          string             `json:"model"`
	Messages       []sqanswer.Message `json:"messages"`
	MaxTokens      int                `json:"max_tokens"`
	Stream         bool               `json:"stream"`
	Priority       int                `json:"priority"`
	RequestID      string             `json:"request_id"`
	ResumePosition *int               `json:"resume_position"`
}

// handleCompletion runs or resumes a request.
func (e *Engine) handleCompletion(c echo.Context) error {
	e.recordCredentials(c.Request())
	fault := e.faults.NextFault()
	if done := e.injectBeforeResponse(c, fault); done {
		return nil
	}
	var req completionRequest
	dec := json.NewDecoder(http.MaxBytesReader(c.Response().Writer, c.Request().Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&req); err != nil {
		return c.JSON(http.StatusBadRequest, errorResponse{Error: err.Error()})
	}
	s, status := e.openSession(req)
	if s == nil {
		reason := map[int]string{
			http.StatusNotFound:           "unknownRequest",
			http.StatusServiceUnavailable: "notStarted",
		}[status]
		e.record(sqrecord.Entry{Kind: sqrecord.RequestRefused, RequestID: req.RequestID, Detail: reason})
		return c.JSON(status, errorResponse{Error: reason})
	}
	defer e.detachReader(s)
	from := 0
	if req.ResumePosition != nil {
		from = *req.ResumePosition
	}
	if req.Stream {
		e.streamCompletion(c, s, from, fault)
		return nil
	}
	return e.completeWithoutStream(c, s, fault)
}

// recordCredentials records a client's credential, which must never reach an
// engine.
func (e *Engine) recordCredentials(r *http.Request) {
	for _, name := range []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "Cookie"} {
		if r.Header.Get(name) != "" {
			e.record(sqrecord.Entry{Kind: sqrecord.CredentialSeen, Detail: name})
		}
	}
	if r.URL.RawQuery != "" {
		e.record(sqrecord.Entry{Kind: sqrecord.CredentialSeen, Detail: "query"})
	}
}

// openSession finds or creates the session of req and attaches a reader to it.
// Without a session it returns the HTTP status of the rejection.
func (e *Engine) openSession(req completionRequest) (*session, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.changingRole || e.down {
		return nil, http.StatusServiceUnavailable
	}
	if req.ResumePosition != nil {
		return e.resumeSession(req)
	}
	if !e.hasModel(req.Model) || len(e.queue) >= e.cfg.Limits.MaxQueued {
		return nil, http.StatusServiceUnavailable
	}
	if old, ok := e.sessions[req.RequestID]; ok && req.RequestID != "" {
		e.record(sessionEntry(old, sqrecord.RequestEnded, endedReplaced))
		e.endSession(old, endedReplaced)
	}
	if req.MaxTokens <= 0 {
		req.MaxTokens = defaultMaxTokens
	}
	s := newSession(req.RequestID, req.Model, sqanswer.PromptText(req.Messages), req.MaxTokens, req.Priority)
	s.prefillOnly = e.role == RolePrefill
	s.readers = 1
	e.sessions[s.id] = s
	e.record(sqrecord.Entry{Kind: sqrecord.RequestStarted, RequestID: s.id, PromptTokens: s.promptTokens, Argument: req.Model})
	e.enqueue(s)
	return s, http.StatusOK
}

// resumeSession attaches a reader to an existing session; the lock is held.
func (e *Engine) resumeSession(req completionRequest) (*session, int) {
	s, ok := e.sessions[req.RequestID]
	if !ok || *req.ResumePosition < 0 || *req.ResumePosition > s.position {
		return nil, http.StatusNotFound
	}
	switch s.endCause {
	case "", endedComplete:
	case endedPrefilled:
		s.endCause = ""
		s.prefillOnly = false
		e.enqueue(s)
	default:
		return nil, http.StatusNotFound
	}
	s.readers++
	e.record(sqrecord.Entry{Kind: sqrecord.RequestResumed, RequestID: s.id, Position: *req.ResumePosition})
	return s, http.StatusOK
}

// progress is a copy of the session state that a reader needs.
type progress struct {
	position int
	endCause string
	usage    usage
	changed  <-chan struct{}
}

func (e *Engine) progress(s *session) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return progress{position: s.position, endCause: s.endCause, usage: s.usage(), changed: s.changed}
}

// completionResponse is the wire form of a completion that is not streamed.
type completionResponse struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   usage              `json:"usage"`
}

type completionChoice struct {
	Index        int              `json:"index"`
	Message      sqanswer.Message `json:"message"`
	FinishReason string           `json:"finish_reason"`
}

func (e *Engine) completeWithoutStream(c echo.Context, s *session, fault sqfault.Fault) error {
	done := c.Request().Context().Done()
	for {
		e.faults.WaitWhilePaused(done)
		p := e.progress(s)
		if p.endCause != "" {
			return e.writeCompletion(c, s, p, fault)
		}
		select {
		case <-p.changed:
		case <-done:
			return nil
		}
	}
}

func (e *Engine) writeCompletion(c echo.Context, s *session, p progress, fault sqfault.Fault) error {
	reason, ok := finishReason(s, p.endCause)
	if !ok {
		resetConnection(c)
		return nil
	}
	if e.injectInCompletion(c, fault) {
		return nil
	}
	content := strings.TrimSpace(s.answer.Tokens(0, p.position))
	id := s.id
	if fault.Kind == sqfault.WrongStream {
		id = "other-" + id
		content = sqanswer.New("other", s.promptText, p.position).Tokens(0, p.position)
	}
	e.mu.Lock()
	r := sessionEntry(s, sqrecord.RequestEnded, p.endCause)
	e.mu.Unlock()
	e.record(r)
	return c.JSON(http.StatusOK, completionResponse{
		ID: id, Object: "chat.completion", Model: s.model, Usage: p.usage,
		Choices: []completionChoice{{Message: sqanswer.Message{Role: "assistant", Content: content}, FinishReason: reason}},
	})
}

// finishReason returns the finish reason of an ended session; false means that
// the session ended without a complete answer.
func finishReason(s *session, endCause string) (string, bool) {
	switch endCause {
	case endedComplete:
		return s.answer.FinishReason(), true
	case endedPrefilled:
		return sqanswer.FinishPrefilled, true
	default:
		return "", false
	}
}
