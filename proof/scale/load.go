package main

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sequoiadock/proof/sqcluster"
	"sequoiadock/standin/sqmix"
)

// maxLoadDuration bounds the load during one measurement.
const maxLoadDuration = 10 * time.Minute

// startLoad sends requests to the entry in the background. The returned function
// stops the load and waits for the outstanding answers.
func (p plan) startLoad(ctx context.Context, c *sqcluster.Cluster) (stop func()) {
	if p.rate <= 0 {
		return func() {}
	}
	until, done := make(chan struct{}), make(chan struct{})
	team := sqcluster.NewTeam("team0", 1)
	cfg := sqmix.Config{
		Seed: 1, Duration: maxLoadDuration, MixPeriod: maxLoadDuration, StopArrivals: until, ChatRate: p.rate, Zones: sqcluster.DefaultZones(),
		Model: sqcluster.ModelName, Entries: []string{c.Entries()[0].CallerAddress()},
		LongPrompt: sqmix.Shape{PromptMin: 3000, PromptMax: 6000, AnswerMin: 200, AnswerMax: 400},
		LongAnswer: sqmix.Shape{PromptMin: 20, PromptMax: 200, AnswerMin: 200, AnswerMax: 400},
		Teams:      []sqmix.Team{{Name: team.Name(), Key: team.Key(), Share: 1, Demand: 1}},
	}
	go func() {
		defer close(done)
		// A failure is visible in the results: an entry without work polls little.
		_, _ = sqmix.Run(ctx, cfg)
	}()
	return func() {
		close(until)
		<-done
	}
}

// readMetric returns the value of one of the entry's metrics, or 0 if it cannot
// be read.
func readMetric(ctx context.Context, c *sqcluster.Cluster, name string) float64 {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Entries()[0].InternalAddress()+"/metrics", nil)
	if err != nil {
		return 0
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			n, _ := strconv.ParseFloat(value, 64)
			return n
		}
	}
	return 0
}

// Names of the entry's metrics that are printed.
const (
	pollBytes  = "sequoiadock_entry_poll_bytes"
	runningNow = "sequoiadock_entry_running"
)
