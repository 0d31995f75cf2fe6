package sqentry

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// fakeEngine streams the words w0, w1, ... and records what it received.
type fakeEngine struct {
	server *httptest.Server

	mu            sync.Mutex
	requests      []fakeRequest
	headers       []http.Header
	canceledIDs   []string
	exportedIDs   []string
	importSources []string
	knownRequests map[string]bool
	// faultFor returns the fault of the stream with index n, counted from 0.
	faultFor func(n int, r fakeRequest) streamFault
	// tokenInterval is the time between tokens.
	tokenInterval time.Duration
	// wordPrefix is the beginning of each word.
	wordPrefix string
	// kvFault, if set, handles export and import requests in place of the
	// default handler.
	kvFault func(w http.ResponseWriter, path string) (handled bool)
}

type fakeRequest struct {
	Model          string `json:"model"`
	MaxTokens      int    `json:"max_tokens"`
	RequestID      string `json:"request_id"`
	ResumePosition *int   `json:"resume_position"`
	raw            string
}

// streamFault breaks a stream before the event at a position; -1 means no
// position.
type streamFault struct {
	position int
	kind     string
}

func newFakeEngine(t *testing.T) *fakeEngine {
	e := &fakeEngine{knownRequests: map[string]bool{}, wordPrefix: "w"}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	mux.HandleFunc("POST /v1/cancel", e.cancel)
	mux.HandleFunc("POST /v1/kv/export", e.export)
	mux.HandleFunc("POST /v1/kv/import", e.importKV)
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"atUnixNano":%d,"role":"both","models":["m@1"]}`, time.Now().UnixNano())
	})
	mux.HandleFunc("GET /v1/cacheEvents", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"first":1,"next":1,"events":[{"number":1,"kind":"stored","piece":"zz","model":"m"}]}`)
	})
	e.server = httptest.NewServer(mux)
	t.Cleanup(func() {
		e.server.CloseClientConnections()
		e.server.Close()
	})
	return e
}

func (e *fakeEngine) address() string { return e.server.Listener.Addr().String() }

func (e *fakeEngine) chat(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var q fakeRequest
	_ = json.Unmarshal(body, &q)
	q.raw = string(body)
	e.mu.Lock()
	index := len(e.requests)
	e.requests = append(e.requests, q)
	e.headers = append(e.headers, r.Header.Clone())
	known, fault, tokenInterval := e.knownRequests[q.RequestID], e.faultFor, e.tokenInterval
	e.knownRequests[q.RequestID] = true
	e.mu.Unlock()
	start := 0
	if q.ResumePosition != nil {
		if start = *q.ResumePosition; !known {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	f := streamFault{position: -1}
	if fault != nil {
		f = fault(index, q)
	}
	e.stream(w, r, q, start, f, tokenInterval)
}

func (e *fakeEngine) stream(w http.ResponseWriter, r *http.Request, q fakeRequest, start int, f streamFault, tokenInterval time.Duration) {
	if f.kind == "notStarted" {
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, `{"error":"notStarted"}`)
		return
	}
	if start == q.MaxTokens {
		writeEvent(w, q.RequestID, start, true, "")
	}
	for i := start; i < q.MaxTokens; i++ {
		if i == f.position && !breakStream(w, r, q, i, f.kind) {
			return
		}
		writeEvent(w, q.RequestID, i, i == q.MaxTokens-1, fmt.Sprintf("%s%d ", e.wordPrefix, i))
		if tokenInterval > 0 {
			select {
			case <-time.After(tokenInterval):
			case <-r.Context().Done():
				return
			}
		}
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// breakStream injects a fault. It returns false if the stream ends.
func breakStream(w http.ResponseWriter, r *http.Request, q fakeRequest, i int, kind string) bool {
	switch kind {
	case "cut":
		panic(http.ErrAbortHandler)
	case "end":
		fmt.Fprint(w, "data: [DONE]\n\n")
		return false
	case "hang":
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		return false
	case "double":
		writeEvent(w, q.RequestID, i-1, false, fmt.Sprintf("w%d ", i-1))
	case "cross":
		writeEvent(w, "another", i, false, "foreign ")
	case "gap":
		writeEvent(w, q.RequestID, i+1, false, fmt.Sprintf("w%d ", i+1))
	case "endless":
		for ; r.Context().Err() == nil; i++ {
			writeEvent(w, q.RequestID, i, false, fmt.Sprintf("w%d ", i))
		}
		return false
	case "prefilled":
		fmt.Fprintf(w, `data: {"id":%q,"position":%d,"choices":[{"delta":{"content":"w%d "},"finish_reason":"prefilled"}]}`+"\n\ndata: [DONE]\n\n", q.RequestID, i, i)
		return false
	case "garble":
		fmt.Fprint(w, "data: {\"id\":\n\n")
	case "long":
		fmt.Fprint(w, "data: "+strings.Repeat("x", 1<<20)+"\n\n")
	}
	return true
}

func writeEvent(w http.ResponseWriter, id string, position int, last bool, word string) {
	finish, usage := "null", ""
	if last {
		finish, usage = `"length"`, `,"usage":{"prompt_tokens":7,"completion_tokens":1,"cached_tokens":0}`
	}
	fmt.Fprintf(w, `data: {"id":%q,"object":"chat.completion.chunk","model":"m","position":%d,"choices":[{"index":0,"delta":{"content":%q},"finish_reason":%s}]%s}`+"\n\n",
		id, position, word, finish, usage)
	_ = http.NewResponseController(w).Flush()
}

type kvBody struct {
	RequestID   string `json:"requestId"`
	Handle      string `json:"handle"`
	FromAddress string `json:"fromAddress"`
}

func (e *fakeEngine) cancel(_ http.ResponseWriter, r *http.Request) {
	var b kvBody
	_ = json.NewDecoder(r.Body).Decode(&b)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.canceledIDs = append(e.canceledIDs, b.RequestID)
}

func (e *fakeEngine) export(w http.ResponseWriter, r *http.Request) {
	var b kvBody
	_ = json.NewDecoder(r.Body).Decode(&b)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.exportedIDs = append(e.exportedIDs, b.RequestID)
	if e.kvFault != nil && e.kvFault(w, r.URL.Path) {
		return
	}
	fmt.Fprintf(w, `{"handle":%q,"position":1,"bytes":1}`, b.RequestID)
}

func (e *fakeEngine) importKV(w http.ResponseWriter, r *http.Request) {
	var b kvBody
	_ = json.NewDecoder(r.Body).Decode(&b)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.kvFault != nil && e.kvFault(w, r.URL.Path) {
		return
	}
	e.knownRequests[b.Handle] = true
	e.importSources = append(e.importSources, b.FromAddress)
	fmt.Fprint(w, `{}`)
}

func (e *fakeEngine) received() []fakeRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.requests)
}

// receivedHeaders returns the headers of the requests that received returns.
func (e *fakeEngine) receivedHeaders() []http.Header {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.headers)
}

// exports returns the ids of the requests whose KV cache was exported.
func (e *fakeEngine) exports() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.exportedIDs)
}

// imports returns the addresses that KV caches were imported from.
func (e *fakeEngine) imports() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.importSources)
}

// fakeService records every request that it ran.
type fakeService struct {
	server *httptest.Server

	mu          sync.Mutex
	identities  []string
	rawRequests []string
	// handler, if set, handles requests in place of the default handler.
	handler func(w http.ResponseWriter, r *http.Request)
}

func newFakeService(t *testing.T) *fakeService {
	s := &fakeService{}
	s.server = httptest.NewServer(http.HandlerFunc(s.serve))
	t.Cleanup(func() {
		s.server.CloseClientConnections()
		s.server.Close()
	})
	return s
}

func (s *fakeService) address() string { return s.server.Listener.Addr().String() }

func (s *fakeService) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/load" {
		fmt.Fprintf(w, `{"atUnixNano":%d}`, time.Now().UnixNano())
		return
	}
	body, _ := io.ReadAll(r.Body)
	var header strings.Builder
	_ = r.Header.Write(&header)
	s.mu.Lock()
	s.identities = append(s.identities, r.Header.Get("Idempotency-Key"))
	s.rawRequests = append(s.rawRequests, r.Method+" "+r.RequestURI+"\n"+header.String()+"\n"+string(body))
	handler, runs := s.handler, len(s.identities)
	s.mu.Unlock()
	if handler != nil {
		handler(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	fmt.Fprintf(w, `{"place":%d}`, runs)
}

func (s *fakeService) setHandler(handler func(w http.ResponseWriter, r *http.Request)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handler = handler
}

// runs returns how many calls ran.
func (s *fakeService) runs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.identities)
}

// runCount returns how often a call with the identity ran.
func (s *fakeService) runCount(identity string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, id := range s.identities {
		if id == identity {
			n++
		}
	}
	return n
}
