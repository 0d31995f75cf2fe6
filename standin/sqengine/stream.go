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

// streamer writes one stream and its faults.
type streamer struct {
	e     *Engine
	c     echo.Context
	s     *session
	fault sqfault.Fault
	// next is the position of the next token to send.
	next int
	// middle is the position at which mid-stream faults happen.
	middle int
	// hit is true once a fault that happens once has happened.
	hit bool
	// lastSent is true once the token with the finish reason is sent.
	lastSent bool
}

func (e *Engine) stream(c echo.Context, s *session, from int, fault sqfault.Fault) {
	w := &streamer{e: e, c: c, s: s, fault: fault, next: from, middle: (from + s.answer.Len()) / 2}
	cause := w.run()
	e.mu.Lock()
	r := entryOf(s, sqrecord.RequestEnded, cause)
	e.mu.Unlock()
	r.Position = w.next
	e.record(r)
}

// run sends tokens as they come and returns why the stream ended.
func (w *streamer) run() string {
	done := w.c.Request().Context().Done()
	started := false
	for {
		w.e.faults.WaitWhilePaused(done)
		p := w.e.progress(w.s)
		if !started && (p.position > w.next || p.ended != "") {
			started = true
			w.start()
		}
		finish, whole := finishOf(w.s, p.ended)
		if p.ended != "" && !whole {
			resetConnection(w.c)
			return p.ended
		}
		for w.next < p.position {
			last := whole && w.next == p.position-1
			if !w.send(last, finish, p) {
				return "fault " + string(w.fault.Kind)
			}
		}
		if whole {
			return w.finish(p, finish)
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

func (w *streamer) start() {
	h := w.c.Response().Header()
	h.Set(echo.HeaderContentType, "text/event-stream")
	h.Set(echo.HeaderCacheControl, "no-store")
	w.c.Response().WriteHeader(http.StatusOK)
}

// finish ends the stream. A resume at the very end has no token left to carry
// the finish reason, so an event without a token does.
func (w *streamer) finish(p progress, finish string) string {
	if !w.lastSent {
		w.write(event{
			ID: w.s.id, Object: "chat.completion.chunk", Model: w.s.model, Position: w.next,
			Choices: []eventChoice{{FinishReason: &finish}}, Usage: &p.usage,
		})
	}
	_, _ = w.c.Response().Write([]byte("data: [DONE]\n\n"))
	w.c.Response().Flush()
	return p.ended
}

// send writes the next token; false means that a fault ended the stream.
func (w *streamer) send(last bool, finish string, p progress) bool {
	if !w.faultAt(last) {
		return false
	}
	v := event{
		ID: w.s.id, Object: "chat.completion.chunk", Model: w.s.model, Position: w.next,
		Choices: []eventChoice{{Delta: delta{Content: w.s.answer.Token(w.next)}}},
	}
	if w.fault.Kind == sqfault.WrongStream && w.next >= w.middle {
		v.ID = "other-" + w.s.id
		v.Choices[0].Delta.Content = sqanswer.New("other", w.s.text, w.s.max).Token(w.next)
	}
	if last {
		v.Choices[0].FinishReason = &finish
		v.Usage = &p.usage
		w.lastSent = true
	}
	w.write(v)
	if w.fault.Kind == sqfault.DuplicatedEvents {
		w.write(v)
	}
	w.next++
	return true
}

func (w *streamer) write(v event) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	r := w.c.Response()
	_, _ = r.Write([]byte("data: "))
	_, _ = r.Write(b)
	_, _ = r.Write([]byte("\n\n"))
}
