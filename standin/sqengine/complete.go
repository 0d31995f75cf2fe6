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
	// maxBody bounds a request, in bytes.
	maxBody = 32 << 20
	// defaultTokens is the answer's length when the request names none.
	defaultTokens = 128
)

// completion is the wire form of a request.
type completion struct {
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
	e.noteKey(c.Request())
	fault := e.faults.NextFault()
	if done := e.faultBefore(c, fault); done {
		return nil
	}
	var q completion
	dec := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&q); err != nil {
		return c.JSON(http.StatusBadRequest, refusal{Error: err.Error()})
	}
	s, status := e.open(q)
	if s == nil {
		reason := map[int]string{
			http.StatusNotFound:           "unknownRequest",
			http.StatusServiceUnavailable: "notStarted",
		}[status]
		e.record(sqrecord.Entry{Kind: sqrecord.RequestRefused, RequestID: q.RequestID, Detail: reason})
		return c.JSON(status, refusal{Error: reason})
	}
	defer e.detach(s)
	from := 0
	if q.ResumePosition != nil {
		from = *q.ResumePosition
	}
	if q.Stream {
		e.stream(c, s, from, fault)
		return nil
	}
	return e.plain(c, s, fault)
}

// noteKey records a caller's key, which must never get this far.
func (e *Engine) noteKey(r *http.Request) {
	for _, h := range []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "Cookie"} {
		if r.Header.Get(h) != "" {
			e.record(sqrecord.Entry{Kind: sqrecord.CredentialSeen, Detail: h})
		}
	}
	if r.URL.RawQuery != "" {
		e.record(sqrecord.Entry{Kind: sqrecord.CredentialSeen, Detail: "query"})
	}
}

// open finds or makes the session of q and attaches a reader to it. Without a
// session it returns the status that says why.
func (e *Engine) open(q completion) (*session, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.changing || e.down {
		return nil, http.StatusServiceUnavailable
	}
	if q.ResumePosition != nil {
		return e.resume(q)
	}
	if !e.loaded(q.Model) || len(e.queue) >= e.cfg.Limits.MaxQueued {
		return nil, http.StatusServiceUnavailable
	}
	if old, ok := e.sessions[q.RequestID]; ok && q.RequestID != "" {
		e.record(entryOf(old, sqrecord.RequestEnded, endedReplaced))
		e.end(old, endedReplaced)
	}
	if q.MaxTokens <= 0 {
		q.MaxTokens = defaultTokens
	}
	s := newSession(q.RequestID, q.Model, sqanswer.PromptText(q.Messages), q.MaxTokens, q.Priority)
	s.onlyPrefill = e.role == RolePrefill
	s.readers = 1
	e.sessions[s.id] = s
	e.record(sqrecord.Entry{Kind: sqrecord.RequestStarted, RequestID: s.id, PromptTokens: s.prompt, Argument: q.Model})
	e.enqueue(s)
	return s, http.StatusOK
}

// resume attaches to a known session; the lock is held.
func (e *Engine) resume(q completion) (*session, int) {
	s, ok := e.sessions[q.RequestID]
	if !ok || *q.ResumePosition < 0 || *q.ResumePosition > s.position {
		return nil, http.StatusNotFound
	}
	switch s.ended {
	case "", endedWhole:
	case endedPrefilled:
		s.ended = ""
		s.onlyPrefill = false
		e.enqueue(s)
	default:
		return nil, http.StatusNotFound
	}
	s.readers++
	e.record(sqrecord.Entry{Kind: sqrecord.RequestResumed, RequestID: s.id, Position: *q.ResumePosition})
	return s, http.StatusOK
}

// progress is what a reader sees of a session.
type progress struct {
	position int
	ended    string
	usage    usage
	changed  <-chan struct{}
}

func (e *Engine) progress(s *session) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	return progress{position: s.position, ended: s.ended, usage: s.usage(), changed: s.changed}
}

// plainAnswer is the wire form of an answer that is not streamed.
type plainAnswer struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Model   string        `json:"model"`
	Choices []plainChoice `json:"choices"`
	Usage   usage         `json:"usage"`
}

type plainChoice struct {
	Index        int              `json:"index"`
	Message      sqanswer.Message `json:"message"`
	FinishReason string           `json:"finish_reason"`
}

func (e *Engine) plain(c echo.Context, s *session, fault sqfault.Fault) error {
	done := c.Request().Context().Done()
	for {
		e.faults.WaitWhilePaused(done)
		p := e.progress(s)
		if p.ended != "" {
			return e.plainEnd(c, s, p, fault)
		}
		select {
		case <-p.changed:
		case <-done:
			return nil
		}
	}
}

func (e *Engine) plainEnd(c echo.Context, s *session, p progress, fault sqfault.Fault) error {
	finish, ok := finishOf(s, p.ended)
	if !ok {
		resetConnection(c)
		return nil
	}
	if e.faultPlain(c, fault) {
		return nil
	}
	words := strings.TrimSpace(s.answer.Tokens(0, p.position))
	id := s.id
	if fault.Kind == sqfault.WrongStream {
		id = "other-" + id
		words = sqanswer.New("other", s.text, p.position).Tokens(0, p.position)
	}
	e.mu.Lock()
	r := entryOf(s, sqrecord.RequestEnded, p.ended)
	e.mu.Unlock()
	e.record(r)
	return c.JSON(http.StatusOK, plainAnswer{
		ID: id, Object: "chat.completion", Model: s.model, Usage: p.usage,
		Choices: []plainChoice{{Message: sqanswer.Message{Role: "assistant", Content: words}, FinishReason: finish}},
	})
}

// finishOf returns the finish reason of an ended session; false means that the
// session was cut.
func finishOf(s *session, ended string) (string, bool) {
	switch ended {
	case endedWhole:
		return s.answer.FinishReason(), true
	case endedPrefilled:
		return sqanswer.FinishPrefilled, true
	default:
		return "", false
	}
}
