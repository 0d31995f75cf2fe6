package sqplacement

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqplace"
	"sequoiadock/core/sqspeed"
	"sequoiadock/core/sqtable"
)

// testReport returns the report on a request at an engine service of fast and slow engines.
func testReport(t *testing.T, timeLeft time.Duration) *Report {
	t.Helper()
	start := time.Unix(1000, 0)
	table, err := sqtable.New(sqtable.Config{Version: 1, Services: []sqtable.ServiceConfig{
		{Name: "engines", Engine: &sqtable.Engine{Slots: 16, KVCapacityTokens: 400_000, KVBytesPerToken: 327_680, LinkMbps: 1_600_000}},
	}})
	assert.NilError(t, err)
	p := sqplace.New(sqplace.Config{Zone: "a", Seed: 1, LimitedMemory: true})
	p.SetServices(table.Services())
	var fleet []sqplace.Endpoint
	for i, id := range []string{"reads", "answers", "slow", "drains", "refuses"} {
		fleet = append(fleet, sqplace.NewEndpoint(sqplace.EndpointConfig{ID: id, Service: "engines", Address: "10.0.0.1:80", Zone: "ab"[i/2%2 : i/2%2+1],
			Slots: 16, Stage: []sqplace.Stage{sqplace.Prefill, sqplace.Decode, sqplace.AnyStage}[min(i, 2)], Draining: id == "drains"}))
	}
	p.SetEndpoints(fleet)
	p.SetSpeeds(start, []sqspeed.Speed{{Endpoint: "slow", Percent: 250, Age: 80 * time.Millisecond}})
	p.SetPeerLoads(map[string]sqplace.Load{"answers": {Running: 3, PrefillTokens: 900, MemoryTokens: 9000}})
	p.RecordRefusal(start, "refuses", 2*time.Second)
	p.SetConnection("answers", sqplace.Connection{IdleSince: start, UsableUntil: start.Add(time.Second)})
	in := Request{Model: "m", Parts: []Part{{"shared", 1200}, {"own", 200}}, OutputTokens: 20}
	prompt, err := in.Prompt()
	assert.NilError(t, err)
	e := p.Explain(start.Add(20*time.Millisecond), &sqplace.Query{Service: "engines", Prompt: prompt, TimeLeft: timeLeft, CountConnections: true})
	r := &Report{Gateway: "gateway1", Zone: "a", TableVersion: 1, FreshForMillis: 3800, HeardAgeMillis: 200, Route: "ask", Team: "team1",
		Service: "engines", Services: []string{"engines"}, TimeLeftMillis: Millis(timeLeft), Quota: Quota{State: QuotaAsk, Units: 1420}}
	r.SetExplanation(&e)
	return r
}

// TestReportGolden guards against changes of the text and JSON that nobody has looked at.
func TestReportGolden(t *testing.T) {
	for name, timeLeft := range map[string]time.Duration{"chosen": 2 * time.Second, "refused": 20 * time.Millisecond} {
		r := testReport(t, timeLeft)
		var text strings.Builder
		r.WriteText(&text)
		golden.Assert(t, text.String(), name+".text.golden")
		data, err := json.MarshalIndent(r, "", "  ")
		assert.NilError(t, err)
		golden.Assert(t, string(data)+"\n", name+".json.golden")
	}
}

// TestPromptOfBadRequest guards against negative figures that reach the placer.
func TestPromptOfBadRequest(t *testing.T) {
	for _, r := range []Request{{Tokens: -1}, {OutputTokens: -1}, {DeadlineMillis: -1}, {BodyBytes: -1}, {Parts: []Part{{"a", -1}}}} {
		_, err := r.Prompt()
		assert.Equal(t, sqerror.KindOf(err), sqerror.BadRequest)
	}
}
