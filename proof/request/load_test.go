package request

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
	"sequoiadock/standin/sqmix"
)

// maxLoadDuration limits a load that a test normally ends earlier.
const maxLoadDuration = 60 * time.Second

// load is a running load generator. Receiving from done gives its report.
type load struct {
	t    *testing.T
	stop chan struct{}
	done chan *sqmix.Report
}

// startLoad sends requests until finish is called.
func startLoad(t *testing.T, c *sqcluster.Cluster, cfg sqmix.Config) *load {
	t.Helper()
	l := &load{t: t, stop: make(chan struct{}), done: make(chan *sqmix.Report, 1)}
	cfg.Entries = entryAddresses(c)
	cfg.Zones = sqcluster.DefaultZones()
	cfg.Model = sqcluster.ModelName
	cfg.Duration = maxLoadDuration
	cfg.Swing = 5 * time.Second
	cfg.Until = l.stop
	cfg.RetryRefusals = true
	if cfg.Teams == nil {
		cfg.Teams = loadTeams()
	}
	if cfg.Attempts == 0 {
		cfg.Attempts = 20
	}
	go func() {
		r, err := sqmix.Run(context.Background(), cfg)
		if err != nil {
			t.Error(err)
		}
		l.done <- r
	}()
	return l
}

// finish stops sending new requests, waits for the answers to the open ones and
// returns the report.
func (l *load) finish() *sqmix.Report {
	l.t.Helper()
	close(l.stop)
	select {
	case r := <-l.done:
		assert.Assert(l.t, r != nil)
		var text strings.Builder
		r.WriteText(&text)
		l.t.Log(text.String())
		return r
	case <-time.After(maxLoadDuration):
		l.t.Fatal("the load has not ended in time")
		return nil
	}
}

// lightLoad returns a load small enough to leave most of the machine's CPU to the
// processes under test.
func lightLoad(seed uint64) sqmix.Config {
	return sqmix.Config{
		Seed: seed, Rate: 25, CallRate: 15, PlainAnswers: 0.2, Deadline: 15 * time.Second,
		Reading: sqmix.Shape{PromptLow: 1200, PromptHigh: 2500, AnswerLow: 10, AnswerHigh: 30},
		Telling: sqmix.Shape{PromptLow: 10, PromptHigh: 60, AnswerLow: 60, AnswerHigh: 200},
	}
}
