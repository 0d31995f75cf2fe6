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

// bench is a running deployment and what the examples need to name it.
type bench struct {
	*testing.T
	cluster *sqcluster.Cluster
	client  http.Client
	values  map[string]string
	key     string
}

// TestExamples runs every call of the page.
func TestExamples(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	cfg := sqcluster.Config{Folder: t.TempDir(), ControlCount: 1, EntryCount: 1}
	cfg.Fleet.Platform.SpotStock = 1
	cluster, err := sqcluster.Start(ctx, cfg)
	assert.NilError(t, err)
	defer cluster.Stop()
	engines := cluster.Endpoints("engine")
	b := &bench{T: t, cluster: cluster, client: http.Client{Timeout: 20 * time.Second}, key: sqcluster.DefaultTeams()[0].Key()}
	b.values = map[string]string{
		"zone": engines[0].Zone, "model": sqcluster.ModelName, "request_id": "example-1", "requestId": "example-1",
		"orderId": "example-order", "fromAddress": engines[0].Address, "content": "which rules?",
	}
	rows, page := readPage(t)
	b.engineStream(page, engines[0].Address)
	ran := 0
	for _, r := range rows {
		if r.path == "/v1/kv/export" {
			// The example before cancels the first request.
			b.values["request_id"], b.values["requestId"] = "example-2", "example-2"
			b.engineStream(page, engines[0].Address)
		}
		ran += b.run(r)
	}
	// A page that the pattern no longer reads would pass by running nothing.
	assert.Assert(t, ran >= 12, "only %d calls were found", ran)
	b.refusal(page)
}

// run makes one call of a table and compares the answer with the page.
func (b *bench) run(r row) int {
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
		// A change of role takes the engine away from the other examples.
		address = b.cluster.Endpoints("engine")[2].Address
	}
	// The holder gives orders too; a high term is not refused after them.
	body := strings.Replace(fill(r.body(), b.values), `"fencingTerm":1`, `"fencingTerm":1000000`, 1)
	if r.path == "/v1/chat/completions" {
		body = `{"model":"` + sqcluster.ModelName + `","max_tokens":3,"messages":[{"role":"user","content":"hello"}]}`
	}
	path := strings.NewReplacer("zone=Z", "zone="+b.values["zone"], "after=N", "after=0", "MODEL/VERSION", sqcluster.ModelName+"/3").Replace(r.path)
	res := b.send(address, r.method, path, body)
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, 4<<20))
	assert.NilError(b, err)
	where := r.section + " " + r.method + " " + path
	assert.Assert(b, res.StatusCode < 300, "%s: %s %s", where, res.Status, text)
	if r.section == "Callers" && !strings.HasPrefix(r.path, "/sequoiadock/") {
		assert.Assert(b, res.Header.Get("Sequoiadock-Decision") != "", where)
	}
	if want := r.answer(); want != "" && r.path != "/v1/chat/completions" {
		sameShape(b.T, where, want, string(text))
		b.remember(string(text))
	}
	return 1
}

// remember keeps the handle of an export for the import.
func (b *bench) remember(answer string) {
	var export struct{ Handle string }
	if json.Unmarshal([]byte(answer), &export) == nil && export.Handle != "" {
		b.values["handle"] = export.Handle
	}
}

func (b *bench) send(address, method, path, body string) *http.Response {
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

func find(t *testing.T, pattern *regexp.Regexp, page string) string {
	t.Helper()
	m := pattern.FindStringSubmatch(page)
	assert.Assert(t, m != nil, "the page has no %s", pattern)
	return m[1]
}

// engineStream sends the page's request to an engine and compares its events.
func (b *bench) engineStream(page, address string) {
	b.Helper()
	body := resumePattern.ReplaceAllString(fill(find(b.T, requestPattern, page), b.values), "")
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
		sameShape(b.T, "stream event", find(b.T, eventPattern, page), data)
		var event struct{ Position int }
		assert.NilError(b, json.Unmarshal([]byte(data), &event))
		assert.Equal(b, event.Position, position)
		position++
	}
	assert.Assert(b, done && position == 3, "%d events", position)
}

// refusal wants a refusal to have no name that the page does not have.
func (b *bench) refusal(page string) {
	b.Helper()
	b.key = "a-key-that-nobody-was-given"
	res := b.send(b.cluster.Entries()[0].CallerAddress(), http.MethodPost, "/v1/chat/completions", `{"model":"`+sqcluster.ModelName+`","messages":[]}`)
	defer res.Body.Close()
	var want, got struct{ Error map[string]any }
	assert.NilError(b, json.Unmarshal([]byte(find(b.T, refusalPattern, page)), &want))
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
