package authority

import (
	"context"
	"encoding/json"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
	"sequoiadock/standin/sqanswer"
	"sequoiadock/standin/sqcaller"
	"sequoiadock/standin/sqrecord"
)

// reportBody is the part of a usage report that is added up.
type reportBody struct {
	Window uint64 `json:"window"`
	Lines  []struct {
		Team         string `json:"team"`
		Service      string `json:"service"`
		PromptTokens int    `json:"promptTokens"`
		OutputTokens int    `json:"outputTokens"`
		Requests     int    `json:"requests"`
	} `json:"lines"`
}

// total is what was used.
type total struct {
	prompt, output, requests int
}

// reported adds up all windows, each once.
func reported(t *testing.T, entries []sqrecord.Entry, team, service string) total {
	t.Helper()
	var sum total
	seen := make(map[uint64]bool)
	for _, e := range entries {
		if e.Kind != sqrecord.UsageReported {
			continue
		}
		var b reportBody
		assert.NilError(t, json.Unmarshal(e.Body, &b))
		if seen[b.Window] {
			continue
		}
		seen[b.Window] = true
		for _, l := range b.Lines {
			if l.Team == team && l.Service == service {
				sum.prompt += l.PromptTokens
				sum.output += l.OutputTokens
				sum.requests += l.Requests
			}
		}
	}
	return sum
}

// TestUsageCountedOnce kills every holder while callers use tokens, and adds up
// what was reported: exactly what the callers got, in windows that never
// change.
func TestUsageCountedOnce(t *testing.T) {
	t.Parallel()
	c := start(t, sqcluster.Config{Declarations: sqcluster.Declarations{BillingWindow: time.Second}})
	team := sqcluster.DefaultTeams()[0]
	caller := callerOf(c, team.Key())
	var want total
	for i := range 30 {
		if i%8 == 4 {
			n := holder(t, c)
			n.Kill()
			assert.NilError(t, n.Start())
		}
		a := caller.Chat(context.Background(), chat("question "+strconv.Itoa(i)))
		assert.Equal(t, a.Outcome, sqcaller.Complete, "%+v", a)
		want.prompt += a.PromptTokens
		want.output += a.Tokens
		want.requests++
	}
	eventually(t, c, "all usage is reported", func() bool {
		return reported(t, record(t, c), team.Name(), sqcluster.Assistant).requests >= want.requests
	})
	settle(t, c)
	assert.Equal(t, reported(t, record(t, c), team.Name(), sqcluster.Assistant), want)
	judge(t, record(t, c))
}

func callerOf(c *sqcluster.Cluster, key string, entries ...string) *sqcaller.Caller {
	if len(entries) == 0 {
		for _, e := range c.Entries() {
			entries = append(entries, e.CallerAddress())
		}
	}
	addresses := sqcaller.NewAddresses(sqcaller.AddressesConfig{Entries: entries, Zone: sqcluster.DefaultZones()[0]})
	return sqcaller.New(sqcaller.Config{Addresses: addresses, Key: key, RetryRefusals: true, MaxAttempts: 40})
}

func chat(question string) sqcaller.ChatRequest {
	return sqcaller.ChatRequest{
		Model: sqcluster.ModelName, Stream: true, MaxTokens: 12, Deadline: 20 * time.Second,
		Messages: []sqanswer.Message{{Role: "user", Content: question}},
	}
}
