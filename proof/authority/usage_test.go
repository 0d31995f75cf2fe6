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

// usageReport holds the fields of a usage report that reportedUsage adds up.
type usageReport struct {
	Window uint64 `json:"window"`
	Lines  []struct {
		Team         string `json:"team"`
		Service      string `json:"service"`
		PromptTokens int    `json:"promptTokens"`
		OutputTokens int    `json:"outputTokens"`
		Requests     int    `json:"requests"`
	} `json:"lines"`
}

// usageTotals holds numbers of prompt tokens, output tokens and requests.
type usageTotals struct {
	prompt, output, requests int
}

// reportedUsage adds up the reported usage of a team and service. A window that was
// reported more than once counts once.
func reportedUsage(t *testing.T, entries []sqrecord.Entry, team, service string) usageTotals {
	t.Helper()
	var sum usageTotals
	seen := make(map[uint64]bool)
	for _, e := range entries {
		if e.Kind != sqrecord.UsageReported {
			continue
		}
		var b usageReport
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

// TestUsageCountedOnce kills lease holders while a caller uses tokens, and adds up
// the reported usage. It must equal the usage that the caller was answered, in
// billing windows whose reports never change.
func TestUsageCountedOnce(t *testing.T) {
	t.Parallel()
	c := start(t, sqcluster.Config{Declarations: sqcluster.Declarations{BillingWindow: time.Second}})
	team := sqcluster.DefaultTeams()[0]
	caller := newCaller(c, team.Key())
	var want usageTotals
	for i := range 30 {
		if i%8 == 4 {
			n := waitHolder(t, c)
			n.Kill()
			assert.NilError(t, n.Start())
		}
		a := caller.Chat(context.Background(), newChat("question "+strconv.Itoa(i)))
		assert.Equal(t, a.Outcome, sqcaller.Complete, "%+v", a)
		want.prompt += a.PromptTokens
		want.output += a.Tokens
		want.requests++
	}
	eventually(t, c, "all usage is reported", func() bool {
		return reportedUsage(t, records(t, c), team.Name(), sqcluster.Assistant).requests >= want.requests
	})
	waitSettled(t, c)
	assert.Equal(t, reportedUsage(t, records(t, c), team.Name(), sqcluster.Assistant), want)
	assertNoViolations(t, records(t, c))
}

func newCaller(c *sqcluster.Cluster, key string, entries ...string) *sqcaller.Caller {
	if len(entries) == 0 {
		for _, e := range c.Entries() {
			entries = append(entries, e.CallerAddress())
		}
	}
	addresses := sqcaller.NewAddresses(sqcaller.AddressesConfig{Entries: entries, Zone: sqcluster.DefaultZones()[0]})
	return sqcaller.New(sqcaller.Config{Addresses: addresses, Key: key, RetryRefusals: true, MaxAttempts: 40})
}

func newChat(question string) sqcaller.ChatRequest {
	return sqcaller.ChatRequest{
		Model: sqcluster.ModelName, Stream: true, MaxTokens: 12, Deadline: 20 * time.Second,
		Messages: []sqanswer.Message{{Role: "user", Content: question}},
	}
}
