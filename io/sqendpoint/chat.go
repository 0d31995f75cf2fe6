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
	"sequoiadock/io/sqclock"
)

// Message is one message of a prompt.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the body of a chat request to an engine. Other fields of the
// caller's body are not forwarded.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream"`
	Priority  int       `json:"priority"`
	RequestID string    `json:"request_id"`
	// ResumePosition, if set, resumes a request that the engine already knows.
	ResumePosition *int64 `json:"resume_position,omitempty"`
}

// ChatConfig configures one attempt of a chat request.
type ChatConfig struct {
	Address    string
	Request    ChatRequest
	WriteCheck WriteCheck
	// FirstTokenTimeout bounds the time to the first event, InterTokenTimeout the
	// time from each event to the next.
	FirstTokenTimeout time.Duration
	InterTokenTimeout time.Duration
}

// Usage holds the token counts that the engine reported.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	CachedTokens     int64 `json:"cached_tokens"`
}

// Event is one event of a stream. It is valid until the next call to Stream.Next.
type Event struct {
	ID       string
	Position int64
	Content  string
	Finish   string
	Usage    *Usage
}

// chunk is the JSON encoding of an event.
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

// Stream is a response that is being received. It is not safe for concurrent use.
type Stream struct {
	ctx               context.Context
	cancel            context.CancelCauseFunc
	body              io.ReadCloser
	reader            *bufio.Reader
	idle              *idleTimer
	interTokenTimeout time.Duration
	remaining         int64
	chunk             chunk
	event             Event
	template          *template
}

var (
	dataPrefix = []byte("data:")
	doneData   = []byte("[DONE]")
)

// Chat sends a request and returns the stream of its response. The Execution of
// an error tells whether the engine may have started the request.
func (c *Client) Chat(ctx context.Context, cfg ChatConfig) (*Stream, error) {
	body, err := encode(cfg.Request)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	idle := newIdleTimer(cfg.FirstTokenTimeout, cancel)
	s := &writeTracker{writeCheck: cfg.WriteCheck}
	resp, err := c.postJSON(s.withTrace(ctx), "http://"+cfg.Address+"/v1/chat/completions", body)
	if err != nil {
		err = roundTripError(ctx, s, err)
	} else if err = s.errAfterWrite(sqclock.Now()); err != nil {
		resp.Body.Close()
	} else if resp.StatusCode != http.StatusOK {
		err = statusError(resp)
		resp.Body.Close()
	}
	if err != nil {
		idle.stop()
		cancel(err)
		return nil, err
	}
	return &Stream{
		ctx:               ctx,
		cancel:            cancel,
		body:              resp.Body,
		reader:            bufio.NewReaderSize(resp.Body, c.cfg.MaxEventBytes),
		idle:              idle,
		interTokenTimeout: cfg.InterTokenTimeout,
		remaining:         c.cfg.MaxResponseBytes,
	}, nil
}

func (c *Client) postJSON(ctx context.Context, url string, body []byte) (*http.Response, error) {
	req, err := newRequest(ctx, http.MethodPost, url, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return c.transport.RoundTrip(req)
}

// Next returns the next event, or nil after the [DONE] marker at the end of the
// stream.
func (s *Stream) Next() (*Event, error) {
	for {
		line, err := s.readLine()
		if err != nil {
			return nil, err
		}
		data, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			// Skip the empty lines that end events, comments and other fields.
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneData) {
			return nil, nil
		}
		s.idle.eventReceived(s.interTokenTimeout)
		return s.decode(data)
	}
}

func (s *Stream) readLine() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if err != nil {
		return nil, s.readError(err)
	}
	s.remaining -= int64(len(line))
	if s.remaining < 0 {
		return nil, badResponse("the answer is too large", nil)
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

func (s *Stream) readError(err error) error {
	if errors.Is(err, bufio.ErrBufferFull) {
		return badResponse("an event is too large", nil)
	}
	if s.ctx.Err() != nil {
		return sqerror.New(sqerror.Config{Kind: contextKind(s.ctx), Detail: "the stream was given up", Execution: sqerror.MayHaveRun, Cause: context.Cause(s.ctx)})
	}
	return truncatedError(err)
}

func (s *Stream) decode(data []byte) (*Event, error) {
	if s.template != nil && s.template.match(data, &s.event) {
		return &s.event, nil
	}
	s.chunk = chunk{}
	if err := json.Unmarshal(data, &s.chunk); err != nil {
		return nil, badResponse("an event is not JSON", err)
	}
	if len(s.chunk.Error) > 0 {
		return nil, badResponse("the stream ended with an error", nil)
	}
	if s.chunk.Position == nil || *s.chunk.Position < 0 {
		return nil, badResponse("an event has no position", nil)
	}
	choice := &s.chunk.Choices[0]
	s.event = Event{
		ID:       s.chunk.ID,
		Position: *s.chunk.Position,
		Content:  choice.Delta.Content,
		Finish:   choice.FinishReason,
		Usage:    s.chunk.Usage,
	}
	if s.template == nil {
		s.template = newTemplate(data, &s.event)
	}
	return &s.event, nil
}

// EventBuffered reports whether Next can return another event without waiting
// for the network.
func (s *Stream) EventBuffered() bool {
	buffered, _ := s.reader.Peek(s.reader.Buffered())
	start := bytes.Index(buffered, dataPrefix)
	return start >= 0 && bytes.IndexByte(buffered[start:], '\n') > 0
}

// drainTimeout bounds how long Drain reads.
const drainTimeout = 100 * time.Millisecond

// Drain reads the stream to its end after the last event, so that the connection
// can be reused, and closes the stream.
func (s *Stream) Drain() {
	s.idle.setTimeout(drainTimeout)
	for {
		if _, err := s.readLine(); err != nil {
			break
		}
	}
	s.Close()
}

// Close abandons the stream. If the stream was not read to its end, its
// connection is closed.
func (s *Stream) Close() {
	s.idle.stop()
	s.body.Close()
	s.cancel(nil)
}
