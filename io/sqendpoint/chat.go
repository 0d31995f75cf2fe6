package sqendpoint

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"sequoiadock/core/sqerror"
)

// Message is one message of a prompt.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is what an engine is sent; nothing else of a caller's body passes.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream"`
	Priority  int       `json:"priority"`
	RequestID string    `json:"request_id"`
	// ResumePosition is set to go on with a request that the engine knows.
	ResumePosition *int64 `json:"resume_position,omitempty"`
}

// ChatConfig configures one attempt at an answer.
type ChatConfig struct {
	Address    string
	Request    ChatRequest
	WriteCheck WriteCheck
	// FirstTokenTimeout bounds the time to the first event, Between that to each next.
	FirstTokenTimeout time.Duration
	InterTokenTimeout time.Duration
}

// Usage counts tokens as the engine did.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	CachedTokens     int64 `json:"cached_tokens"`
}

// Event is one event of a stream. It is valid until the next call of Next.
type Event struct {
	ID       string
	Position int64
	Content  string
	Finish   string
	Usage    *Usage
}

// chunk is the wire form of an event.
type chunk struct {
	ID       string `json:"id"`
	Position *int64 `json:"position"`
	Choices  [1]struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *Usage          `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// Stream is an answer that is being received. It is not safe for concurrent use.
type Stream struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	body    io.ReadCloser
	reader  *bufio.Reader
	silence *silence
	between time.Duration
	left    int64
	chunk   chunk
	event   Event
	like    *template
}

var (
	dataPrefix = []byte("data:")
	doneData   = []byte("[DONE]")
)

// Chat sends a request and returns the stream of its answer. Errors say by
// their Run whether the engine may have started.
func (c *Client) Chat(ctx context.Context, cfg ChatConfig) (*Stream, error) {
	body, err := encode(cfg.Request)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	silence := newSilence(cfg.FirstTokenTimeout, cancel)
	s := &sending{guard: cfg.WriteCheck}
	resp, err := c.post(s.trace(ctx), "http://"+cfg.Address+"/v1/chat/completions", body)
	if err != nil {
		err = sendError(ctx, s, err)
	} else if err = s.late(); err != nil {
		resp.Body.Close()
	} else if resp.StatusCode != http.StatusOK {
		err = statusError(resp)
		resp.Body.Close()
	}
	if err != nil {
		silence.stop()
		cancel(err)
		return nil, err
	}
	return &Stream{
		ctx:     ctx,
		cancel:  cancel,
		body:    resp.Body,
		reader:  bufio.NewReaderSize(resp.Body, c.cfg.MaxEventBytes),
		silence: silence,
		between: cfg.InterTokenTimeout,
		left:    c.cfg.MaxResponseBytes,
	}, nil
}

func (c *Client) post(ctx context.Context, url string, body []byte) (*http.Response, error) {
	req, err := newRequest(ctx, http.MethodPost, url, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return c.transport.RoundTrip(req)
}

// Next returns the next event, or nil after the mark that ends a stream.
func (s *Stream) Next() (*Event, error) {
	for {
		line, err := s.line()
		if err != nil {
			return nil, err
		}
		data, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			// Empty lines end events; comments and other fields carry nothing.
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneData) {
			return nil, nil
		}
		s.silence.heard(s.between)
		return s.decode(data)
	}
}

func (s *Stream) line() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if err != nil {
		return nil, s.readError(err)
	}
	s.left -= int64(len(line))
	if s.left < 0 {
		return nil, badAnswer("the answer is too large", nil)
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

func (s *Stream) readError(err error) error {
	if errors.Is(err, bufio.ErrBufferFull) {
		return badAnswer("an event is too large", nil)
	}
	if s.ctx.Err() != nil {
		return sqerror.New(sqerror.Config{Kind: contextKind(s.ctx), Detail: "the stream was given up", Execution: sqerror.MayHaveRun, Cause: context.Cause(s.ctx)})
	}
	return cutError(err)
}

func (s *Stream) decode(data []byte) (*Event, error) {
	if s.like != nil && s.like.match(data, &s.event) {
		return &s.event, nil
	}
	s.chunk = chunk{}
	if err := json.Unmarshal(data, &s.chunk); err != nil {
		return nil, badAnswer("an event is not JSON", err)
	}
	if len(s.chunk.Error) > 0 {
		return nil, badAnswer("the stream ended with an error", nil)
	}
	if s.chunk.Position == nil || *s.chunk.Position < 0 {
		return nil, badAnswer("an event has no position", nil)
	}
	choice := &s.chunk.Choices[0]
	s.event = Event{
		ID:       s.chunk.ID,
		Position: *s.chunk.Position,
		Content:  choice.Delta.Content,
		Finish:   choice.FinishReason,
		Usage:    s.chunk.Usage,
	}
	if s.like == nil {
		s.like = newTemplate(data, &s.event)
	}
	return &s.event, nil
}

// EventBuffered reports whether another event is at hand without waiting.
func (s *Stream) EventBuffered() bool {
	held, _ := s.reader.Peek(s.reader.Buffered())
	start := bytes.Index(held, dataPrefix)
	return start >= 0 && bytes.IndexByte(held[start:], '\n') > 0
}

// drainTime bounds how long the end of a whole stream may take.
const drainTime = 100 * time.Millisecond

// Drain reads the end of a stream whose last event has come, so that its
// connection can be used again, and closes it.
func (s *Stream) Drain() {
	s.silence.bound(drainTime)
	for {
		if _, err := s.line(); err != nil {
			break
		}
	}
	s.Close()
}

// Close gives the stream up. A connection whose stream did not end is closed.
func (s *Stream) Close() {
	s.silence.stop()
	s.body.Close()
	s.cancel(nil)
}
