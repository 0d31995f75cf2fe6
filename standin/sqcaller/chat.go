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

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// ChatRequest is a request to an assistant.
type ChatRequest struct {
	Model     string
	Messages  []sqanswer.Message
	MaxTokens int
	Stream    bool
	Priority  int
	// Deadline bounds the request with all its attempts.
	Deadline time.Duration
	// Address, if set, is used for the first attempt.
	Address string
	// OnToken, if set, is called after each correct token.
	OnToken func(position int)
}

// ChatResult is the result of an assistant request, with all its attempts.
type ChatResult struct {
	Outcome Outcome
	// Refusal is set if the system refused the request or reported a failure.
	Refusal *Refusal
	// Detail describes the failure or the error in the response.
	Detail   string
	Decision string
	// Address is the address of the last attempt.
	Address string
	// Attempts counts all attempts, UnansweredAttempts those without a response.
	Attempts, UnansweredAttempts int
	Tokens                       int
	PromptTokens                 int
	CachedTokens                 int
	// FirstToken and Total are measured from the start of the first attempt.
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

// chatEvent is the wire form of a stream event and of a response that is not
// streamed.
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

// Chat sends an assistant request, retries it where a retry is safe and useful,
// and checks the response.
func (c *Caller) Chat(ctx context.Context, q ChatRequest) ChatResult {
	start := time.Now()
	a := attempt{method: http.MethodPost, path: "/v1/chat/completions", address: q.Address}
	if q.Deadline > 0 {
		a.deadline = start.Add(q.Deadline)
		var cancel context.CancelFunc
		// The system must respond by the deadline. The caller waits a little longer,
		// so that a late response is seen as late.
		ctx, cancel = context.WithDeadline(ctx, a.deadline.Add(q.Deadline/4+time.Second))
		defer cancel()
	}
	body, err := json.Marshal(chatBody{q.Model, q.Messages, q.MaxTokens, q.Stream, q.Priority})
	if err != nil {
		return ChatResult{Outcome: NoAnswer, Detail: err.Error()}
	}
	a.body = body
	r := &responseChecker{request: q, start: start, want: sqanswer.New(q.Model, sqanswer.PromptText(q.Messages), q.MaxTokens)}
	for {
		if a.address == "" {
			a.address = c.pickAddress(r.result.Address)
		}
		r.result.Attempts++
		r.result.Address = a.address
		retry, wait := c.tryChat(ctx, a, r)
		a.address = ""
		if !retry || r.result.Attempts >= c.cfg.MaxAttempts || !waitBeforeRetry(ctx, wait) {
			r.result.Total = time.Since(start)
			return r.result
		}
	}
}

// tryChat makes one attempt. It reports whether to retry, and after which delay.
func (c *Caller) tryChat(ctx context.Context, a attempt, r *responseChecker) (bool, time.Duration) {
	res, err := c.send(ctx, a)
	if err != nil {
		r.result.Outcome = NoAnswer
		r.result.Detail = err.Error()
		r.result.UnansweredAttempts++
		return true, 0
	}
	defer res.Body.Close()
	r.result.Refusal = nil
	r.result.Detail = ""
	r.result.Decision = res.Header.Get("Sequoiadock-Decision")
	if res.StatusCode != http.StatusOK {
		r.setRefusal(readRefusal(res))
		return c.shouldRetry(r.result.Refusal), time.Duration(r.result.Refusal.RetryAfterMillis) * time.Millisecond
	}
	if r.request.Stream {
		r.readStream(res.Body)
	} else {
		r.readUnstreamed(res.Body)
	}
	// A response that has begun is not retried. If the process that sends the
	// stream dies, the stream is lost, and it is up to the user to ask again.
	return false, 0
}

// responseChecker reads the response to a request and compares it with the
// expected one.
type responseChecker struct {
	request     ChatRequest
	start       time.Time
	want        sqanswer.Answer
	result      ChatResult
	lastTokenAt time.Time
}

func (r *responseChecker) setRefusal(f *Refusal) {
	if f == nil {
		f = &Refusal{Kind: "unreadable", Run: string(MayHaveRun)}
	}
	r.result.Outcome = outcomeOf(f)
	r.result.Refusal = f
}

func (r *responseChecker) fail(o Outcome, detail string) {
	r.result.Outcome = o
	r.result.Detail = detail
}

func (r *responseChecker) readStream(body io.Reader) {
	r.result.Tokens = 0
	scan := bufio.NewScanner(body)
	scan.Buffer(make([]byte, 0, 4096), maxEventBytes)
	scan.Split(scanWholeLines)
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
			r.result.Outcome = Complete
			return
		}
		var v chatEvent
		if err := json.Unmarshal(data, &v); err != nil {
			r.fail(Wrong, "an event is not JSON: "+string(data))
			return
		}
		if v.Error != nil {
			r.result.Refusal = v.Error
			r.fail(ErrorInStream, v.Error.Kind+": "+v.Error.Message)
			return
		}
		if finished || !r.checkEvent(v) {
			r.fail(Wrong, r.result.Detail+" event after "+string(data))
			return
		}
		finished = v.Choices[0].FinishReason != nil
	}
	r.fail(Truncated, "the stream ended early")
	if err := scan.Err(); err != nil {
		r.result.Detail = err.Error()
	}
}

// scanWholeLines is bufio.ScanLines without a last line that has no end: the stream broke off
// inside it.
func scanWholeLines(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if atEOF && bytes.IndexByte(data, '\n') < 0 {
		return len(data), nil, nil
	}
	return bufio.ScanLines(data, atEOF)
}

// checkEvent checks one event and reports whether it is correct. If not, it sets
// the result's detail.
func (r *responseChecker) checkEvent(v chatEvent) bool {
	if len(v.Choices) != 1 || v.Position == nil || *v.Position != r.result.Tokens {
		r.result.Detail = "a position is missing or repeated;"
		return false
	}
	choice := v.Choices[0]
	if v.Usage != nil {
		r.result.PromptTokens = v.Usage.PromptTokens
		r.result.CachedTokens = v.Usage.CachedTokens
	}
	if choice.Delta.Content == "" && choice.FinishReason != nil {
		return r.checkEnd(*choice.FinishReason)
	}
	if r.result.Tokens >= r.want.Len() || choice.Delta.Content != r.want.Token(r.result.Tokens) {
		r.result.Detail = "a token differs from the expected one;"
		return false
	}
	r.addToken()
	if choice.FinishReason != nil {
		return r.checkEnd(*choice.FinishReason)
	}
	return true
}

func (r *responseChecker) checkEnd(reason string) bool {
	if r.result.Tokens != r.want.Len() || reason != r.want.FinishReason() {
		r.result.Detail = "the length or the finish reason differs from the expected one;"
		return false
	}
	return true
}

func (r *responseChecker) addToken() {
	now := time.Now()
	if r.result.Tokens == 0 {
		r.result.FirstToken = now.Sub(r.start)
	} else {
		r.result.TokenIntervals = append(r.result.TokenIntervals, now.Sub(r.lastTokenAt))
	}
	r.lastTokenAt = now
	r.result.Tokens++
	if r.request.OnToken != nil {
		r.request.OnToken(r.result.Tokens - 1)
	}
}

func (r *responseChecker) readUnstreamed(body io.Reader) {
	b, err := io.ReadAll(io.LimitReader(body, maxResponseBytes))
	if err != nil {
		r.fail(Truncated, err.Error())
		return
	}
	var v chatEvent
	if json.Unmarshal(b, &v) != nil || len(v.Choices) != 1 || v.Choices[0].FinishReason == nil {
		r.fail(Wrong, "the answer is malformed: "+string(b))
		return
	}
	want := strings.Fields(r.want.Tokens(0, r.want.Len()))
	got := strings.Fields(v.Choices[0].Message.Content)
	if strings.Join(got, " ") != strings.Join(want, " ") || *v.Choices[0].FinishReason != r.want.FinishReason() {
		r.fail(Wrong, "the answer differs from the expected one")
		return
	}
	r.result.FirstToken = time.Since(r.start)
	r.result.Tokens = len(got)
	if v.Usage != nil {
		r.result.PromptTokens, r.result.CachedTokens = v.Usage.PromptTokens, v.Usage.CachedTokens
	}
	r.result.Outcome = Complete
}
