package sqcaller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"sequoiadock/standin/sqanswer"
)

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

// ChatRequest is a request to an assistant.
type ChatRequest struct {
	Model     string
	Messages  []sqanswer.Message
	MaxTokens int
	Stream    bool
	Priority  int
	// Deadline bounds the whole request, with all its attempts.
	Deadline time.Duration
	// Address, if set, is used for the first attempt.
	Address string
	// OnToken, if set, is called after each token that was right.
	OnToken func(position int)
}

// ChatResult is how a request went.
type ChatResult struct {
	Outcome Outcome
	// Refusal is set when the system refused or told of a failure.
	Refusal *Refusal
	// Detail says what was wrong or missing.
	Detail   string
	Decision string
	// Address is that of the last attempt.
	Address string
	// Attempts counts the tries; Resent those after an attempt without answer.
	Attempts, UnansweredAttempts int
	Tokens                       int
	PromptTokens                 int
	CachedTokens                 int
	// FirstToken and Total are counted from the first attempt.
	FirstToken, Total time.Duration
	// TokenIntervals are the times between tokens.
	TokenIntervals []time.Duration
}

type chatBody struct {
	Model     string             `json:"model"`
	Messages  []sqanswer.Message `json:"messages"`
	MaxTokens int                `json:"max_tokens"`
	Stream    bool               `json:"stream"`
	Priority  int                `json:"priority,omitempty"`
}

type chatUsage struct {
	PromptTokens int `json:"prompt_tokens"`
	CachedTokens int `json:"cached_tokens"`
}

// chatEvent is the wire form of an event, and of an answer in one piece.
type chatEvent struct {
	Position *int `json:"position"`
	Choices  []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *chatUsage `json:"usage"`
	Error *Refusal   `json:"error"`
}

// Chat sends a request, tries again where that is safe and useful, and checks
// the answer.
func (c *Caller) Chat(ctx context.Context, q ChatRequest) ChatResult {
	start := time.Now()
	a := attempt{method: http.MethodPost, path: "/v1/chat/completions", address: q.Address}
	if q.Deadline > 0 {
		a.deadline = start.Add(q.Deadline)
		var cancel context.CancelFunc
		// The system has to answer by the deadline; a little more shows when it
		// does not.
		ctx, cancel = context.WithDeadline(ctx, a.deadline.Add(q.Deadline/4+time.Second))
		defer cancel()
	}
	body, err := json.Marshal(chatBody{q.Model, q.Messages, q.MaxTokens, q.Stream, q.Priority})
	if err != nil {
		return ChatResult{Outcome: NoAnswer, Detail: err.Error()}
	}
	a.body = body
	r := &reading{q: q, start: start, want: sqanswer.New(q.Model, sqanswer.Text(q.Messages), q.MaxTokens)}
	for {
		if a.address == "" {
			a.address = c.pick(r.answer.Address)
		}
		r.answer.Attempts++
		r.answer.Address = a.address
		again, wait := c.try(ctx, a, r)
		a.address = ""
		if !again || r.answer.Attempts >= c.cfg.MaxAttempts || !pause(ctx, wait) {
			r.answer.Total = time.Since(start)
			return r.answer
		}
	}
}

// try makes one attempt and reports whether and when to make another.
func (c *Caller) try(ctx context.Context, a attempt, r *reading) (bool, time.Duration) {
	res, err := c.send(ctx, a)
	if err != nil {
		r.answer.Outcome = NoAnswer
		r.answer.Detail = err.Error()
		r.answer.UnansweredAttempts++
		return true, 0
	}
	defer res.Body.Close()
	r.answer.Refusal = nil
	r.answer.Detail = ""
	r.answer.Decision = res.Header.Get("Sequoiadock-Decision")
	if res.StatusCode != http.StatusOK {
		r.refused(refusalOf(res))
		return c.comesBack(r.answer.Refusal), time.Duration(r.answer.Refusal.RetryAfterMillis) * time.Millisecond
	}
	if r.q.Stream {
		r.stream(res.Body)
	} else {
		r.plain(res.Body)
	}
	// A whole process that dies takes the stream with it; a chat may be asked
	// again from the start, which a person would do.
	return false, 0
}

// reading is the state of one answer that is read and checked.
type reading struct {
	q      ChatRequest
	start  time.Time
	want   sqanswer.Answer
	answer ChatResult
	last   time.Time
}

func (r *reading) refused(f *Refusal) {
	if f == nil {
		f = &Refusal{Kind: "unreadable", Run: string(MayHaveRun)}
	}
	r.answer.Outcome = outcomeOf(f)
	r.answer.Refusal = f
}

func (r *reading) fail(o Outcome, detail string) {
	r.answer.Outcome = o
	r.answer.Detail = detail
}

func (r *reading) stream(body io.Reader) {
	r.answer.Tokens = 0
	scan := bufio.NewScanner(body)
	scan.Buffer(make([]byte, 0, 4096), maxEvent)
	finished := false
	for scan.Scan() {
		data, ok := bytes.CutPrefix(scan.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			if !finished {
				r.fail(Wrong, "the stream is done without a finish reason")
				return
			}
			r.answer.Outcome = Complete
			return
		}
		var v chatEvent
		if err := json.Unmarshal(data, &v); err != nil {
			r.fail(Wrong, "an event is not JSON: "+string(data))
			return
		}
		if v.Error != nil {
			r.answer.Refusal = v.Error
			r.fail(ErrorInStream, v.Error.Kind+": "+v.Error.Message)
			return
		}
		if finished || !r.event(v) {
			r.fail(Wrong, r.answer.Detail+" event after "+string(data))
			return
		}
		finished = v.Choices[0].FinishReason != nil
	}
	r.fail(Truncated, "the stream ended early")
	if err := scan.Err(); err != nil {
		r.answer.Detail = err.Error()
	}
}

// event checks one event and reports whether it is right.
func (r *reading) event(v chatEvent) bool {
	if len(v.Choices) != 1 || v.Position == nil || *v.Position != r.answer.Tokens {
		r.answer.Detail = "a position is lost or doubled;"
		return false
	}
	choice := v.Choices[0]
	if v.Usage != nil {
		r.answer.PromptTokens = v.Usage.PromptTokens
		r.answer.CachedTokens = v.Usage.CachedTokens
	}
	if choice.Delta.Content == "" && choice.FinishReason != nil {
		return r.end(*choice.FinishReason)
	}
	if r.answer.Tokens >= r.want.Len() || choice.Delta.Content != r.want.Word(r.answer.Tokens) {
		r.answer.Detail = "a token is foreign;"
		return false
	}
	r.token()
	if choice.FinishReason != nil {
		return r.end(*choice.FinishReason)
	}
	return true
}

func (r *reading) end(reason string) bool {
	if r.answer.Tokens != r.want.Len() || reason != r.want.Finish() {
		r.answer.Detail = "the end is wrong;"
		return false
	}
	return true
}

func (r *reading) token() {
	now := time.Now()
	if r.answer.Tokens == 0 {
		r.answer.FirstToken = now.Sub(r.start)
	} else {
		r.answer.TokenIntervals = append(r.answer.TokenIntervals, now.Sub(r.last))
	}
	r.last = now
	r.answer.Tokens++
	if r.q.OnToken != nil {
		r.q.OnToken(r.answer.Tokens - 1)
	}
}

func (r *reading) plain(body io.Reader) {
	b, err := io.ReadAll(io.LimitReader(body, maxAnswer))
	if err != nil {
		r.fail(Truncated, err.Error())
		return
	}
	var v chatEvent
	if json.Unmarshal(b, &v) != nil || len(v.Choices) != 1 || v.Choices[0].FinishReason == nil {
		r.fail(Wrong, "the answer is malformed: "+string(b))
		return
	}
	want := strings.Fields(r.want.Words(0, r.want.Len()))
	got := strings.Fields(v.Choices[0].Message.Content)
	if strings.Join(got, " ") != strings.Join(want, " ") || *v.Choices[0].FinishReason != r.want.Finish() {
		r.fail(Wrong, "the answer differs")
		return
	}
	r.answer.FirstToken = time.Since(r.start)
	r.answer.Tokens = len(got)
	if v.Usage != nil {
		r.answer.PromptTokens, r.answer.CachedTokens = v.Usage.PromptTokens, v.Usage.CachedTokens
	}
	r.answer.Outcome = Complete
}
