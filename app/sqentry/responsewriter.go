package sqentry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"sequoiadock/io/sqendpoint"
	"sequoiadock/io/sqmemory"
)

// responseWriter writes a chat response to the caller.
type responseWriter interface {
	// writeToken writes one token. hasMore is true if another token has already
	// been received.
	writeToken(position int64, content, finish string, usage *sqendpoint.Usage, hasMore bool) error
	// finish ends a complete response.
	finish(usage sqendpoint.Usage) error
	// started reports whether the caller may have received a part of the
	// response.
	started() bool
	// writeError ends a stream that has started with an error event.
	writeError(event []byte)
}

// streamWriter writes the response as server-sent events.
type streamWriter struct {
	c           echo.Context
	eventPrefix []byte
	buf         []byte
	// out and flusher bypass echo's wrapper, which looks both up again for each
	// token. They are nil until the response has started.
	out     http.ResponseWriter
	flusher *http.ResponseController
}

func newStreamWriter(c echo.Context, id, model string) *streamWriter {
	prefix := append([]byte(`data: {"id":`), quote(id)...)
	prefix = append(prefix, `,"object":"chat.completion.chunk","model":`...)
	prefix = append(prefix, quote(model)...)
	prefix = append(prefix, `,"position":`...)
	return &streamWriter{c: c, eventPrefix: prefix}
}

func (s *streamWriter) writeToken(position int64, content, finish string, usage *sqendpoint.Usage, hasMore bool) error {
	if !s.started() {
		s.start()
	}
	s.buf = append(s.buf, s.eventPrefix...)
	s.buf = strconv.AppendInt(s.buf, position, 10)
	s.buf = append(s.buf, `,"choices":[{"index":0,"delta":{"content":`...)
	s.buf = appendQuoted(s.buf, content)
	s.buf = append(s.buf, `},"finish_reason":`...)
	if finish == "" {
		s.buf = append(s.buf, "null}]"...)
	} else {
		s.buf = append(appendQuoted(s.buf, finish), "}]"...)
	}
	if usage != nil {
		s.buf = append(append(s.buf, `,"usage":`...), usageJSON(*usage)...)
	}
	s.buf = append(s.buf, "}\n\n"...)
	if hasMore {
		return nil
	}
	return s.flush()
}

func (s *streamWriter) start() {
	w := s.c.Response()
	w.Header().Set(echo.HeaderContentType, "text/event-stream")
	w.Header().Set(echo.HeaderCacheControl, "no-store")
	w.WriteHeader(http.StatusOK)
	s.out = w.Writer
	s.flusher = http.NewResponseController(w.Writer)
}

func (s *streamWriter) flush() error {
	_, err := s.out.Write(s.buf)
	s.buf = s.buf[:0]
	if err != nil {
		return err
	}
	return s.flusher.Flush()
}

func (s *streamWriter) finish(sqendpoint.Usage) error {
	s.buf = append(s.buf, "data: [DONE]\n\n"...)
	return s.flush()
}

func (s *streamWriter) started() bool { return s.out != nil }

func (s *streamWriter) writeError(event []byte) {
	s.buf = append(s.buf, event...)
	_ = s.flush()
}

// bufferedWriter buffers the response and writes it as one JSON object.
type bufferedWriter struct {
	c            echo.Context
	id, model    string
	memory       *sqmemory.Reservation
	content      bytes.Buffer
	finishReason string
}

func newBufferedWriter(c echo.Context, id, model string, memory *sqmemory.Reservation) *bufferedWriter {
	return &bufferedWriter{c: c, id: id, model: model, memory: memory}
}

func (s *bufferedWriter) writeToken(_ int64, content, finish string, _ *sqendpoint.Usage, _ bool) error {
	if !s.memory.Reserve(len(content)) {
		return errResponseMemory
	}
	s.content.WriteString(content)
	if finish != "" {
		s.finishReason = finish
	}
	return s.c.Request().Context().Err()
}

// completion is the JSON body of a chat completion that is not streamed.
type completion struct {
	ID      string              `json:"id"`
	Object  string              `json:"object"`
	Model   string              `json:"model"`
	Choices [1]completionChoice `json:"choices"`
	Usage   sqendpoint.Usage    `json:"usage"`
}

type completionChoice struct {
	Index        int                `json:"index"`
	Message      sqendpoint.Message `json:"message"`
	FinishReason string             `json:"finish_reason"`
}

func (s *bufferedWriter) finish(usage sqendpoint.Usage) error {
	return s.c.JSON(http.StatusOK, completion{
		ID: s.id, Object: "chat.completion", Model: s.model, Usage: usage,
		Choices: [1]completionChoice{{
			Message:      sqendpoint.Message{Role: "assistant", Content: s.content.String()},
			FinishReason: s.finishReason,
		}},
	})
}

func (s *bufferedWriter) started() bool { return false }

func (s *bufferedWriter) writeError([]byte) {}

func usageJSON(u sqendpoint.Usage) []byte {
	b, err := json.Marshal(u)
	if err != nil {
		return []byte("null")
	}
	return b
}

// appendQuoted appends s as a JSON string. The fast path covers most tokens,
// which need no escape.
func appendQuoted(b []byte, s string) []byte {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c >= 0x7f || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			return append(b, quote(s)...)
		}
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}

func quote(s string) []byte {
	b, err := json.Marshal(s)
	if err != nil {
		return []byte(`""`)
	}
	return b
}

func itoa(n int64) string { return strconv.FormatInt(n, 10) }
