package interfaces

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
)

func TestMain(m *testing.M) { sqcluster.Main(m) }

// testbed is a running deployment and the values that replace the placeholders
// in the examples.
type testbed struct {
	*testing.T
	cluster      *sqcluster.Cluster
	client       http.Client
	placeholders map[string]string
	key          string
}

// TestExamples makes every call that docs/INTERFACES.md documents and compares the
// answers with the page.
func TestExamples(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	cfg := sqcluster.Config{Folder: t.TempDir(), ControlCount: 1, EntryCount: 1}
	cfg.Fleet.Platform.SpotStock = 1
	cluster, err := sqcluster.Start(ctx, cfg)
	assert.NilError(t, err)
	defer cluster.Stop()
	engines := cluster.Endpoints("engine")
	b := &testbed{T: t, cluster: cluster, client: http.Client{Timeout: 20 * time.Second}, key: sqcluster.DefaultTeams()[0].Key()}
	b.placeholders = map[string]string{
		"zone": engines[0].Zone, "model": sqcluster.ModelName, "request_id": "example-1", "requestId": "example-1",
		"orderId": "example-order", "fromAddress": engines[0].Address, "content": "which rules?",
	}
	documented, page := readPage(t)
	b.checkEngineStream(page, engines[0].Address)
	calls := 0
	for _, r := range documented {
		if r.path == "/v1/kv/export" {
			// The preceding example cancels the first request, so the export
			// needs another one.
			b.placeholders["request_id"], b.placeholders["requestId"] = "example-2", "example-2"
			b.checkEngineStream(page, engines[0].Address)
		}
		calls += b.runCall(r)
	}
	// If callPattern no longer matched the page, the test would pass without a
	// single call.
	assert.Assert(t, calls >= 12, "only %d calls were found", calls)
	b.checkRefusal(page)
}

// runCall makes one documented call, compares the answer with the page and returns 1.
func (b *testbed) runCall(r call) int {
	b.Helper()
	address := ""
	switch r.section {
	case "Callers":
		address = b.cluster.Entries()[0].CallerAddress()
	case "Engines":
		address = b.cluster.Endpoints("engine")[0].Address
	case "Plain services":
		address = b.cluster.Endpoints(sqcluster.Booking)[0].Address
	case "Platform":
		address = b.cluster.StandinAddresses().Platform
	case "Weight store":
		address = b.cluster.StandinAddresses().Weights
	}
	switch r.path {
	case "/v1/kv/import":
		address = b.cluster.Endpoints("engine")[1].Address
	case "/v1/orders":
		// The order changes the engine's role, so it goes to an engine that the
		// other examples don't use.
		address = b.cluster.Endpoints("engine")[2].Address
	}
	// The lease holder sends orders with its own fencing term. The engine would
	// refuse a lower term, so the example's term is raised.
	body := strings.Replace(fill(r.body(), b.placeholders), `"fencingTerm":1`, `"fencingTerm":1000000`, 1)
	if r.path == "/v1/chat/completions" {
		body = `{"model":"` + sqcluster.ModelName + `","max_tokens":3,"messages":[{"role":"user","content":"hello"}]}`
	}
	path := strings.NewReplacer("zone=Z", "zone="+b.placeholders["zone"], "after=N", "after=0", "MODEL/VERSION", sqcluster.ModelName+"/3").Replace(r.path)
	res := b.send(address, r.method, path, body)
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, 4<<20))
	assert.NilError(b, err)
	where := r.section + " " + r.method + " " + path
	assert.Assert(b, res.StatusCode < 300, "%s: %s %s", where, res.Status, text)
	if r.section == "Callers" && !strings.HasPrefix(r.path, "/sequoiadock/") {
		assert.Assert(b, res.Header.Get("Sequoiadock-Decision") != "", where)
	}
	if want := r.expectedAnswer(); want != "" && r.path != "/v1/chat/completions" {
		assertSameShape(b.T, where, want, string(text))
		b.keepHandle(string(text))
	}
	return 1
}

// keepHandle stores the handle of an export as the placeholder value for the import.
func (b *testbed) keepHandle(answer string) {
	var export struct{ Handle string }
	if json.Unmarshal([]byte(answer), &export) == nil && export.Handle != "" {
		b.placeholders["handle"] = export.Handle
	}
}

// send makes one request. Only requests to the entry carry the team's key and an
// idempotency key.
func (b *testbed) send(address, method, path, body string) *http.Response {
	b.Helper()
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	assert.NilError(b, err)
	req.Header.Set("Content-Type", "application/json")
	if address == b.cluster.Entries()[0].CallerAddress() {
		req.Header.Set("Authorization", "Bearer "+b.key)
		req.Header.Set("Idempotency-Key", "example-call")
	}
	res, err := b.client.Do(req)
	assert.NilError(b, err)
	return res
}

var (
	requestPattern = regexp.MustCompile("(?s)Request: `(\\{.*?\\})`")
	eventPattern   = regexp.MustCompile("(?s)Stream events: `data: (\\{.*?\\})`")
	refusalPattern = regexp.MustCompile("(?s)A refusal is `(\\{.*?\\})`")
	resumePattern  = regexp.MustCompile(`,\s*"resume_position":1`)
)

// findObject returns the first group of pattern's match in the page.
func findObject(t *testing.T, pattern *regexp.Regexp, page string) string {
	t.Helper()
	m := pattern.FindStringSubmatch(page)
	assert.Assert(t, m != nil, "the page has no %s", pattern)
	return m[1]
}

// checkEngineStream sends the page's chat request to an engine and compares the
// events of the stream with the page.
func (b *testbed) checkEngineStream(page, address string) {
	b.Helper()
	body := resumePattern.ReplaceAllString(fill(findObject(b.T, requestPattern, page), b.placeholders), "")
	res := b.send(address, http.MethodPost, "/v1/chat/completions", strings.Replace(body, `"max_tokens":1`, `"max_tokens":3`, 1))
	defer res.Body.Close()
	assert.Equal(b, res.StatusCode, http.StatusOK)
	position, done := 0, false
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		assertSameShape(b.T, "stream event", findObject(b.T, eventPattern, page), data)
		var event struct{ Position int }
		assert.NilError(b, json.Unmarshal([]byte(data), &event))
		assert.Equal(b, event.Position, position)
		position++
	}
	assert.Assert(b, done && position == 3, "%d events", position)
}

// checkRefusal checks that every field of a refusal is documented and that the
// required fields are present.
func (b *testbed) checkRefusal(page string) {
	b.Helper()
	b.key = "a-key-that-nobody-was-given"
	res := b.send(b.cluster.Entries()[0].CallerAddress(), http.MethodPost, "/v1/chat/completions", `{"model":"`+sqcluster.ModelName+`","messages":[]}`)
	defer res.Body.Close()
	var want, got struct{ Error map[string]any }
	assert.NilError(b, json.Unmarshal([]byte(findObject(b.T, refusalPattern, page)), &want))
	assert.NilError(b, json.NewDecoder(res.Body).Decode(&got))
	for name := range got.Error {
		_, ok := want.Error[name]
		assert.Assert(b, ok, "the page has no %s", name)
	}
	for _, name := range []string{"kind", "number", "message", "run", "decision"} {
		_, ok := got.Error[name]
		assert.Assert(b, ok, "no %s in %v", name, got.Error)
	}
}
