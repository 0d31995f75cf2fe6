package sqgateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sequoiadock/core/sqattempt"
	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqspeed"
	"sequoiadock/core/sqtable"
)

// testWire implements sqcore.Wire for the tests. Its headers and documents differ
// from those of all platforms, so that the tests depend on none.
type testWire struct{}

func (testWire) ParseAttempt(headers map[string][]string) sqattempt.Attempt {
	h := http.Header(headers)
	a := sqattempt.Attempt{ID: h.Get("X-Attempt"), Key: h.Get("X-Key"), Resumes: h.Get("X-After") != "",
		ResumedAttempt: h.Get("X-Resumes")}
	if ms, err := strconv.Atoi(h.Get("X-Wait")); err == nil {
		a.Deadline = time.Duration(ms) * time.Millisecond
	}
	if n, err := strconv.Atoi(h.Get("X-Tokens")); err == nil {
		a.Prompt = sqattempt.Prompt{Tokens: n}
		subjects := strings.Split(h.Get("X-Subject"), ",")
		for _, id := range subjects {
			a.Prompt.Parts = append(a.Prompt.Parts, sqattempt.Part{ID: id, Tokens: (n - 100) / len(subjects)})
		}
		a.Prompt.Parts = append(a.Prompt.Parts, sqattempt.Part{ID: "own", Tokens: 100})
	}
	return a
}

func (testWire) RewriteHeaders(headers map[string][]string, params sqattempt.SendParams) {
	h := http.Header(headers)
	h.Del("X-Key")
	h.Del("Connection")
	h.Del("Content-Length")
	h.Set("X-Endpoint", params.Endpoint)
	h.Set("X-Team", params.Team)
	h.Set("X-Left", strconv.FormatInt(params.TimeLeft.Milliseconds(), 10))
	for name, value := range map[string]string{"X-After": params.ResumeAfter, "X-Source": params.CacheSource} {
		if value != "" {
			h.Set(name, value)
		}
	}
	if params.Prefill {
		h.Set("X-Prefill", "1")
	}
}

func (testWire) ParseResponse(status int, headers map[string][]string) sqattempt.Response {
	h := http.Header(headers)
	percent, hasSpeed := sqspeed.ParsePercent(h.Get("X-Work"))
	return sqattempt.Response{AttemptID: h.Get("X-Attempt"), NotRun: h.Get("X-Not-Run") != "",
		Leaving: h.Get("X-Leaving") != "", Signed: h.Get("X-Signed") != "",
		Limit: sqattempt.ParseRateLimit(h.Get("X-Limit")), HasLoad: hasSpeed, Load: sqattempt.LoadReport{WorkPercent: percent}}
}

func (testWire) ParsePrefillHandle(body []byte) (string, error) {
	if handle, ok := strings.CutPrefix(string(body), "handle "); ok {
		return handle, nil
	}
	return "", sqerror.New(sqerror.Config{Kind: sqerror.BadResponse})
}

func (testWire) ReleasePath(handle string) string { return "/release/" + handle }

func (testWire) ParseTable(document []byte) (*sqtable.Table, error) {
	var cfg sqtable.Config
	if err := json.Unmarshal(document, &cfg); err != nil {
		return nil, sqerror.New(sqerror.Config{Kind: sqerror.BadRequest, Cause: err})
	}
	return sqtable.New(cfg)
}

// testTable returns the document of the tests' routing table.
func testTable(version uint64) []byte {
	second := time.Second
	route := func(prefix string, kind sqtable.RouteKind, service string, attempts int, resumable bool) sqtable.RouteConfig {
		return sqtable.RouteConfig{
			Name: strings.Trim(prefix, "/"), Host: "h.example", PathPrefix: prefix, Kind: kind,
			Timeout: 2 * second, LatencyObjective: second, MaxSends: attempts, Resumable: resumable,
			TrafficSplit: []sqtable.ServiceWeight{{Service: service, Weight: 1}},
		}
	}
	open := route("/open/", sqtable.Idempotent, "ledger", 1, false)
	open.Public = true
	b, err := json.Marshal(sqtable.Config{
		Version: version, KeysRequired: true, Limits: sqtable.Limits{MaxBodyBytes: 1 << 20, MaxHeaderBytes: 16 << 10},
		Services: []sqtable.ServiceConfig{{Name: "ledger"}, {Name: "engines",
			Engine: &sqtable.Engine{Slots: 16, KVCapacityTokens: 1e6, KVBytesPerToken: 1, LinkMbps: 1e6}}},
		Teams: []sqtable.TeamConfig{{Name: "team", Keys: []string{"key"}}},
		Routes: []sqtable.RouteConfig{
			route("/read/", sqtable.Idempotent, "ledger", 2, false), route("/book/", sqtable.AtMostOnce, "ledger", 1, false),
			open, route("/ask/", sqtable.Stream, "engines", 2, true), route("/quick/", sqtable.Stream, "engines", 1, false),
		},
	})
	if err != nil {
		panic(err)
	}
	return b
}
