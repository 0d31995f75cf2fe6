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
	cfg.MixPeriod = 5 * time.Second
	cfg.StopArrivals = l.stop
	cfg.RetryRefusals = true
	if cfg.Teams == nil {
		cfg.Teams = loadTeams()
	}
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = 20
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
		Seed: seed, ChatRate: 25, BookingRate: 15, UnstreamedShare: 0.2, Deadline: 15 * time.Second,
		LongPrompt: sqmix.Shape{PromptMin: 1200, PromptMax: 2500, AnswerMin: 10, AnswerMax: 30},
		LongAnswer: sqmix.Shape{PromptMin: 10, PromptMax: 60, AnswerMin: 60, AnswerMax: 200},
	}
}
