package sqentry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/io/sqrpc"
)

type httpReply struct {
	status int
	header http.Header
	body   string
}

// refusalBody returns the error in the reply.
func (r httpReply) refusalBody(t *testing.T) refusalBody {
	t.Helper()
	var v refusal
	assert.NilError(t, json.Unmarshal([]byte(r.body), &v), r.body)
	return v.Error
}

var testClient = &http.Client{Timeout: 30 * time.Second}

func (s *testSystem) do(method, url, body string, header ...string) httpReply {
	s.t.Helper()
	req, err := http.NewRequest(method, "http://"+url, strings.NewReader(body))
	assert.NilError(s.t, err)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Add(header[i], header[i+1])
	}
	resp, err := testClient.Do(req)
	assert.NilError(s.t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(s.t, err)
	return httpReply{resp.StatusCode, resp.Header, string(b)}
}

func (s *testSystem) get(address, path string, header ...string) httpReply {
	s.t.Helper()
	return s.do(http.MethodGet, address+path, "", header...)
}

func chatJSON(tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":"hello there"}],"max_tokens":%d,"stream":%t}`, tokens, stream)
}

func (s *testSystem) chat(tokens int, stream bool, header ...string) httpReply {
	s.t.Helper()
	return s.do(http.MethodPost, s.callers+pathChat, chatJSON(tokens, stream), append(header, "Authorization", "Bearer "+teamKey)...)
}

func (s *testSystem) bookPlace(identity, body string) httpReply {
	s.t.Helper()
	return s.do(http.MethodPost, s.callers+"/booking/places", body,
		"Authorization", "Bearer "+teamKey, "Idempotency-Key", identity)
}

// expectedText returns the text of a complete response of n tokens.
func expectedText(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "w%d ", i)
	}
	return b.String()
}

// parseStream joins the tokens of a stream and checks positions, IDs and the
// end. end is the finish reason or the kind of the error.
func parseStream(t *testing.T, r httpReply) (text, end string) {
	t.Helper()
	position := int64(0)
	for _, line := range strings.Split(r.body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if end != "" && data != "[DONE]" {
			t.Fatal("event after the finish reason: " + data)
		}
		if data == "[DONE]" {
			return text, end
		}
		var ev struct {
			ID       string
			Position int64
			Choices  []struct {
				Delta        struct{ Content string }
				FinishReason string `json:"finish_reason"`
			}
			Error *refusalBody
		}
		assert.NilError(t, json.Unmarshal([]byte(data), &ev), data)
		if ev.Error != nil {
			return text, ev.Error.Kind
		}
		assert.Equal(t, ev.Position, position)
		assert.Equal(t, ev.ID, r.header.Get(headerDecision))
		position++
		text += ev.Choices[0].Delta.Content
		end = ev.Choices[0].FinishReason
	}
	return text, "cut after " + end
}

func TestWholePath(t *testing.T) {
	s := newTestSystem(t, 2)
	r := s.chat(20, true)
	assert.Equal(t, r.status, 200, r.body)
	text, end := parseStream(t, r)
	assert.Equal(t, text, expectedText(20))
	assert.Equal(t, end, "length")

	plain := s.chat(5, false)
	assert.Equal(t, plain.status, 200, plain.body)
	var response completion
	assert.NilError(t, json.Unmarshal([]byte(plain.body), &response))
	assert.Equal(t, response.Choices[0].Message.Content, expectedText(5))
	assert.Equal(t, response.Usage.CompletionTokens, int64(5))

	booking := s.bookPlace("b1", `{"dog":"Rex"}`)
	assert.Equal(t, booking.status, 201, booking.body)
	assert.Equal(t, s.get(s.callers, openRoute+"/times").status, 201)

	assert.Assert(t, strings.Contains(s.explain(r), "Sent to engine"))
	s.eventually("the usage is recorded", func() bool {
		s.control.mu.Lock()
		defer s.control.mu.Unlock()
		var output, requests uint64
		for _, l := range s.control.state.Snapshot().GetOpenUsage() {
			output += l.GetOutputTokens()
			requests += l.GetRequests()
		}
		return output == 25 && requests == 4
	})
	metrics := s.get(s.internal, "/metrics")
	assert.Assert(t, strings.Contains(metrics.body, "sequoiadock_entry_request_seconds"))
}

// explain returns the decision record of the request that got r.
func (s *testSystem) explain(r httpReply) string {
	s.t.Helper()
	resp, err := sqrpc.NewEntryProtobufClient("http://"+s.internal, testClient).
		Explain(context.Background(), &sqrpc.ExplainRequest{Decision: r.header.Get(headerDecision)})
	assert.NilError(s.t, err)
	return strings.Join(resp.GetLines(), "\n")
}

func TestAddresses(t *testing.T) {
	s := newTestSystem(t, 0)
	var list addressList
	assert.NilError(t, json.Unmarshal([]byte(s.get(s.callers, pathAddresses+"?zone=b").body), &list))
	assert.DeepEqual(t, list, addressList{KeepMillis: 100, Addresses: []addressItem{
		{Address: "127.0.0.9:1", Zone: "b"}, {Address: s.callers, Zone: "a"},
	}})
}

// TestKeyStripped sends the caller's key in every place where a caller may put
// it, and checks that endpoints never receive it.
func TestKeyStripped(t *testing.T) {
	s := newTestSystem(t, 1)
	auth := []string{"Authorization", "Bearer " + teamKey}
	r := s.do(http.MethodPost, s.callers+"/booking/list?key="+teamKey+"&api_key=x&page=2&other="+teamKey, `{"a":1}`,
		append(auth, "X-Api-Key", teamKey, "Cookie", "k="+teamKey, "X-Mine", teamKey, "Api-Key", "another-secret", "X-Kept", "yes")...)
	assert.Equal(t, r.status, 201, r.body)
	assert.Equal(t, s.do(http.MethodPost, s.callers+"/booking/list", `{"api_key":"`+teamKey+`"}`, auth...).refusalBody(t).Kind, "badRequest")
	body := `{"model":"m","key":"` + "x" + `","user":"u","messages":[{"role":"user","content":"hi"}],"max_tokens":2}`
	assert.Equal(t, s.do(http.MethodPost, s.callers+pathChat+"?key="+teamKey, body, auth...).status, 200)
	var received bytes.Buffer
	s.plain.mu.Lock()
	received.WriteString(strings.Join(s.plain.rawRequests, "\n"))
	s.plain.mu.Unlock()
	e := s.engines[0]
	headers := e.receivedHeaders()
	for i, q := range e.received() {
		fmt.Fprintln(&received, q.raw, headers[i])
	}
	assert.Assert(t, !strings.Contains(received.String(), teamKey), received.String())
	assert.Assert(t, !strings.Contains(received.String(), "another-secret"))
	assert.Assert(t, !strings.Contains(received.String(), `"user":"u"`))
	assert.Assert(t, strings.Contains(received.String(), "/booking/list?page=2"))
	assert.Assert(t, strings.Contains(received.String(), "X-Kept: yes"))
}

// serveHandler serves h and returns its address.
func serveHandler(t *testing.T, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}
