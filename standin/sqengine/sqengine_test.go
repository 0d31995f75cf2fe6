package sqengine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/standin/sqanswer"
	"sequoiadock/standin/sqrecord"
)

const testPrompt = "how long is the leash"

func startEngine(t *testing.T, cfg Config) *Engine {
	t.Helper()
	record, err := sqrecord.New(sqrecord.Config{})
	assert.NilError(t, err)
	cfg.Name, cfg.Models, cfg.TimeScale, cfg.Record = "engine-1", []string{"m@1"}, 0.02, record
	e, err := Start(cfg, "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(e.Crash)
	return e
}

func post(t *testing.T, e *Engine, path string, in any) (int, string) {
	t.Helper()
	b, err := json.Marshal(in)
	assert.NilError(t, err)
	client := http.Client{Timeout: 10 * time.Second}
	res, err := client.Post("http://"+e.Address()+path, "application/json", bytes.NewReader(b))
	assert.NilError(t, err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, string(body)
	}
	return res.StatusCode, string(body)
}

func get(t *testing.T, e *Engine, path string) (int, string) {
	t.Helper()
	res, err := http.Get("http://" + e.Address() + path)
	assert.NilError(t, err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	return res.StatusCode, string(body)
}

func newRequest(id string) completionRequest {
	return completionRequest{
		Model: "m", MaxTokens: 20, Stream: true, RequestID: id,
		Messages: []sqanswer.Message{{Role: "user", Content: testPrompt}},
	}
}

// parseStream returns the text and the finish reason of a stream, and checks that
// the positions have no gap.
func parseStream(t *testing.T, from int, body string) (string, string) {
	t.Helper()
	var text, finish string
	for s := bufio.NewScanner(strings.NewReader(body)); s.Scan(); {
		data, ok := strings.CutPrefix(s.Text(), "data: {")
		if !ok {
			continue
		}
		var v event
		assert.NilError(t, json.Unmarshal([]byte("{"+data), &v))
		assert.Equal(t, v.Position, from)
		from++
		text += v.Choices[0].Delta.Content
		if v.Choices[0].FinishReason != nil {
			finish = *v.Choices[0].FinishReason
		}
	}
	return text, finish
}

func expectedAnswer() sqanswer.Answer {
	return sqanswer.New("m", "user:"+testPrompt+"\n", 20)
}

func TestStreamedAnswerIsComplete(t *testing.T) {
	e := startEngine(t, Config{})
	status, body := post(t, e, "/v1/chat/completions", newRequest("r"))
	text, finish := parseStream(t, 0, body)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, text, expectedAnswer().Tokens(0, expectedAnswer().Len()))
	assert.Equal(t, finish, expectedAnswer().FinishReason())
}

func TestResetStreamResumesAtPosition(t *testing.T) {
	e := startEngine(t, Config{})
	post(t, e, "/standin/fault", map[string]any{"kind": "reset", "phase": "midStream", "count": 1})
	_, body := post(t, e, "/v1/chat/completions", newRequest("r"))
	head, _ := parseStream(t, 0, body)
	resumeRequest := newRequest("r")
	n := strings.Count(head, " ")
	assert.Assert(t, n > 0 && n < expectedAnswer().Len())
	resumeRequest.ResumePosition = &n
	status, body := post(t, e, "/v1/chat/completions", resumeRequest)
	tail, _ := parseStream(t, n, body)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, head+tail, expectedAnswer().Tokens(0, expectedAnswer().Len()))
}

func TestPrefilledRequestResumesOnOtherEngine(t *testing.T) {
	prefill := startEngine(t, Config{Role: RolePrefill})
	decode := startEngine(t, Config{Role: RoleDecode})
	_, body := post(t, prefill, "/v1/chat/completions", newRequest("r"))
	head, finish := parseStream(t, 0, body)
	assert.Equal(t, finish, sqanswer.FinishPrefilled)
	_, body = post(t, prefill, "/v1/kv/export", kvRequest{RequestID: "r"})
	var exported kvExportResponse
	assert.NilError(t, json.Unmarshal([]byte(body), &exported))
	status, _ := post(t, decode, "/v1/kv/import", kvRequest{Handle: exported.Handle, FromAddress: prefill.Address()})
	assert.Equal(t, status, http.StatusOK)
	resumeRequest := newRequest("r")
	resumeRequest.ResumePosition = &exported.Position
	_, body = post(t, decode, "/v1/chat/completions", resumeRequest)
	tail, _ := parseStream(t, exported.Position, body)
	assert.Equal(t, head+tail, expectedAnswer().Tokens(0, expectedAnswer().Len()))
}

func TestRoleChange(t *testing.T) {
	e := startEngine(t, Config{HonoursFencing: true})
	change := order{Kind: orderRole, Argument: RolePrefill, OrderID: "1", FencingTerm: 2, FencingSequence: 5}
	outdated := order{Kind: orderRole, Argument: RoleDecode, OrderID: "2", FencingTerm: 1, FencingSequence: 9}
	status, body := post(t, e, "/v1/orders", change)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "{\"state\":\"running\"}\n")
	status, _ = post(t, e, "/v1/chat/completions", newRequest("r"))
	assert.Equal(t, status, http.StatusServiceUnavailable)
	status, _ = post(t, e, "/v1/orders", outdated)
	assert.Equal(t, status, http.StatusConflict)
	for deadline := time.Now().Add(10 * time.Second); !strings.Contains(body, orderDone); {
		assert.Assert(t, time.Now().Before(deadline))
		_, body = post(t, e, "/v1/orders", change)
	}
	_, body = get(t, e, "/v1/status")
	assert.Assert(t, strings.Contains(body, `"role":"prefill"`), body)
}

func TestPrefixIsCached(t *testing.T) {
	e := startEngine(t, Config{})
	req := newRequest("r")
	req.Messages[0].Content = strings.Repeat("word ", 2*sqanswer.BlockWords+10)
	post(t, e, "/v1/chat/completions", req)
	req.RequestID = "s"
	_, body := post(t, e, "/v1/chat/completions", req)
	assert.Assert(t, strings.Contains(body, `"cached_tokens":2000`), body)
}

func TestCanceledRequestFreesItsSlot(t *testing.T) {
	e := startEngine(t, Config{})
	req := newRequest("r")
	req.MaxTokens = 100_000
	done := make(chan struct{})
	go func() {
		defer close(done)
		post(t, e, "/v1/chat/completions", req)
	}()
	for deadline := time.Now().Add(10 * time.Second); e.InFlight() == 0; {
		assert.Assert(t, time.Now().Before(deadline))
		time.Sleep(time.Millisecond)
	}
	post(t, e, "/v1/cancel", cancelRequest{RequestID: "r"})
	<-done
	assert.Equal(t, e.InFlight(), 0)
}
