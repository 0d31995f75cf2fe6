package sqengine

import (
	"encoding/json"
	"net/http"

	"github.com/labstack/echo/v4"

	"sequoiadock/standin/sqanswer"
	"sequoiadock/standin/sqfault"
	"sequoiadock/standin/sqrecord"
)

// event is the wire form of one event of a stream.
type event struct {
	ID       string        `json:"id"`
	Object   string        `json:"object"`
	Model    string        `json:"model"`
	Position int           `json:"position"`
	Choices  []eventChoice `json:"choices"`
	Usage    *usage        `json:"usage,omitempty"`
}

type eventChoice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content"`
}

// streamer writes one event stream and injects its fault.
type streamer struct {
	e     *Engine
	c     echo.Context
	s     *session
	fault sqfault.Fault
	// next is the position of the next token to send.
	next int
	// midpoint is the position at which mid-stream faults are injected.
	midpoint int
	// injected is true once a one-time fault was injected.
	injected bool
	// finishSent is true once the token with the finish reason was sent.
	finishSent bool
}

func (e *Engine) streamCompletion(c echo.Context, s *session, from int, fault sqfault.Fault) {
	w := &streamer{e: e, c: c, s: s, fault: fault, next: from, midpoint: (from + s.answer.Len()) / 2}
	cause := w.run()
	e.mu.Lock()
	r := sessionEntry(s, sqrecord.RequestEnded, cause)
	e.mu.Unlock()
	r.Position = w.next
	e.record(r)
}

// run sends tokens as they are generated and returns why the stream ended.
func (w *streamer) run() string {
	done := w.c.Request().Context().Done()
	started := false
	for {
		w.e.faults.WaitWhilePaused(done)
		p := w.e.progress(w.s)
		if !started && (p.position > w.next || p.endCause != "") {
			started = true
			w.writeHeaders()
		}
		reason, complete := finishReason(w.s, p.endCause)
		if p.endCause != "" && !complete {
			resetConnection(w.c)
			return p.endCause
		}
		for w.next < p.position {
			last := complete && w.next == p.position-1
			if !w.sendToken(last, reason, p) {
				return "fault " + string(w.fault.Kind)
			}
		}
		if complete {
			return w.finish(p, reason)
		}
		if started {
			w.c.Response().Flush()
		}
		select {
		case <-p.changed:
		case <-done:
			return "clientLeft"
		}
	}
}

func (w *streamer) writeHeaders() {
	h := w.c.Response().Header()
	h.Set(echo.HeaderContentType, "text/event-stream")
	h.Set(echo.HeaderCacheControl, "no-store")
	w.c.Response().WriteHeader(http.StatusOK)
}

// finish ends the stream. A stream resumed at the end of the answer has no token
// left to carry the finish reason, so an event without a token carries it.
func (w *streamer) finish(p progress, reason string) string {
	if !w.finishSent {
		w.writeEvent(event{
			ID: w.s.id, Object: "chat.completion.chunk", Model: w.s.model, Position: w.next,
			Choices: []eventChoice{{FinishReason: &reason}}, Usage: &p.usage,
		})
	}
	_, _ = w.c.Response().Write([]byte("data: [DONE]\n\n"))
	w.c.Response().Flush()
	return p.endCause
}

// sendToken writes the next token; false means that a fault ended the stream.
func (w *streamer) sendToken(last bool, reason string, p progress) bool {
	if !w.injectBeforeToken(last) {
		return false
	}
	ev := event{
		ID: w.s.id, Object: "chat.completion.chunk", Model: w.s.model, Position: w.next,
		Choices: []eventChoice{{Delta: delta{Content: w.s.answer.Token(w.next)}}},
	}
	if w.fault.Kind == sqfault.WrongStream && w.next >= w.midpoint {
		ev.ID = "other-" + w.s.id
		ev.Choices[0].Delta.Content = sqanswer.New("other", w.s.promptText, w.s.maxTokens).Token(w.next)
	}
	if last {
		ev.Choices[0].FinishReason = &reason
		ev.Usage = &p.usage
		w.finishSent = true
	}
	w.writeEvent(ev)
	if w.fault.Kind == sqfault.DuplicatedEvents {
		w.writeEvent(ev)
	}
	w.next++
	return true
}

func (w *streamer) writeEvent(ev event) {
	b, err := json.Marshal(ev)
	if err != nil {
		panic(err)
	}
	r := w.c.Response()
	_, _ = r.Write([]byte("data: "))
	_, _ = r.Write(b)
	_, _ = r.Write([]byte("\n\n"))
}
