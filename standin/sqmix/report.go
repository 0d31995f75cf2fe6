package sqmix

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sequoiadock/standin/sqcaller"
)

// Bounds of the histograms, in microseconds.
const (
	lowestMicros  = 1
	highestMicros = int64(10 * time.Minute / time.Microsecond)
	digits        = 3
)

// windows is the number of parts of a run whose goodput is reported.
const windows = 10

// Report is what a run measured.
type Report struct {
	Seed            uint64  `json:"seed"`
	DurationSeconds float64 `json:"durationSeconds"`
	Arrived         int     `json:"arrived"`
	Finished        int     `json:"finished"`
	OnTime          int     `json:"onTime"`
	// Goodput is in requests on time a second, over the time of arrivals.
	Goodput float64 `json:"goodput"`
	// GoodTokens is in tokens of such requests a second, prompt and answer.
	GoodTokens float64 `json:"goodTokens"`
	// WindowGoodput is Goodput in each tenth of the run.
	WindowGoodput []float64 `json:"windowGoodput"`
	// WorstFairRatio is the lowest FairRatio.
	WorstFairRatio float64      `json:"worstTeam"`
	Teams          []TeamReport `json:"teams"`
	// Outcomes count the requests by how they ended.
	Outcomes []Count `json:"outcomes"`
	// Refusals count the final refusals by kind and run.
	Refusals           []Count `json:"refusals"`
	UnansweredAttempts int     `json:"resent"`
	Dropped            int     `json:"dropped"`
	FirstToken         Latency `json:"firstToken"`
	TokenInterval      Latency `json:"between"`
	Total              Latency `json:"total"`
	RefusalLatency     Latency `json:"refused"`
	CachedShare        float64 `json:"cachedShare"`
	// AnswerTokens is what the callers got.
	AnswerTokens       int             `json:"answerTokens"`
	Failures           []Failure       `json:"failures"`
	Bookings           []BookingResult `json:"-"`
	MaxSendDelayMillis float64         `json:"latestSendMillis"`
}

// TeamReport is how one team fared.
type TeamReport struct {
	Name        string  `json:"name"`
	Arrived     int     `json:"arrived"`
	OnTime      int     `json:"onTime"`
	OnTimeShare float64 `json:"onTimeShare"`
	// FairRatio compares the team's tokens on time with what it would have got
	// if all tokens on time were shared by weight, unused shares lent on.
	FairRatio float64 `json:"fairRatio"`

	demand, served, weight float64
}

// Count is a number of requests of a kind.
type Count struct {
	Kind  string `json:"kind"`
	Count int    `json:"count"`
}

// Failure is a request that ended in another way than wholly or refused.
type Failure struct {
	Outcome  sqcaller.Outcome `json:"outcome"`
	Detail   string           `json:"detail"`
	Decision string           `json:"decision"`
	Address  string           `json:"address"`
	Tokens   int              `json:"tokens"`
}

// BookingResult is how a call that must not be repeated ended.
type BookingResult struct {
	Identity string
	Outcome  sqcaller.Outcome
	Refusal  *sqcaller.Refusal
	Detail   string
	Body     []byte
	Attempts int
}

// Latency sums up a histogram, in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// collector gathers the results of a run.
type collector struct {
	cfg      Config
	report   *Report
	outcomes map[string]int
	refusals map[string]int
	windows  []int

	first, between, total, refused *hdrhistogram.Histogram
	prompt, cached                 int
}

// failuresKept bounds the failures that a report lists.
const failuresKept = 20

func report(cfg Config, arrivals []arrival, results []result, late time.Duration) *Report {
	c := &collector{
		cfg: cfg, outcomes: map[string]int{}, refusals: map[string]int{}, windows: make([]int, windows),
		first: histogram(), between: histogram(), total: histogram(), refused: histogram(),
		report: &Report{
			Seed: cfg.Seed, DurationSeconds: cfg.Duration.Seconds(), Arrived: len(arrivals), Finished: len(results),
			MaxSendDelayMillis: millis(late), Failures: []Failure{},
		},
	}
	for _, t := range cfg.Teams {
		c.report.Teams = append(c.report.Teams, TeamReport{Name: t.Name, weight: t.Share})
	}
	for _, a := range arrivals {
		c.report.Teams[a.team].Arrived++
		c.report.Teams[a.team].demand += float64(a.work)
	}
	for _, v := range results {
		c.add(v)
	}
	return c.finish()
}

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, digits)
}

func (c *collector) add(v result) {
	r := c.report
	if v.dropped {
		r.Dropped++
		return
	}
	if v.onTime {
		r.OnTime++
		t := &r.Teams[v.arrival.team]
		t.OnTime++
		t.served += float64(v.arrival.work)
		r.GoodTokens += float64(v.arrival.work) / c.cfg.Duration.Seconds()
		c.windows[min(windows-1, int(v.arrival.at*windows/c.cfg.Duration))]++
	}
	if v.arrival.class == classCall {
		c.addCall(v)
		return
	}
	c.addChat(v.chat)
}

func (c *collector) addCall(v result) {
	a := v.call
	c.outcomes["call "+string(a.Outcome)]++
	c.report.UnansweredAttempts += a.UnansweredAttempts
	c.refusal(a.Refusal)
	c.report.Bookings = append(c.report.Bookings, BookingResult{
		Identity: v.arrival.identity, Outcome: a.Outcome, Refusal: a.Refusal, Detail: a.Detail, Body: a.Body, Attempts: a.Attempts,
	})
}

func (c *collector) addChat(a sqcaller.ChatResult) {
	c.outcomes["chat "+string(a.Outcome)]++
	c.report.UnansweredAttempts += a.UnansweredAttempts
	c.report.AnswerTokens += a.Tokens
	c.prompt += a.PromptTokens
	c.cached += a.CachedTokens
	c.refusal(a.Refusal)
	switch a.Outcome {
	case sqcaller.Complete:
		record(c.first, a.FirstToken)
		record(c.total, a.Total)
		for _, g := range a.TokenIntervals {
			record(c.between, g)
		}
	case sqcaller.NotRun:
		record(c.refused, a.Total)
	default:
		if len(c.report.Failures) < failuresKept {
			c.report.Failures = append(c.report.Failures, Failure{
				Outcome: a.Outcome, Detail: a.Detail, Decision: a.Decision, Address: a.Address, Tokens: a.Tokens,
			})
		}
	}
}

func (c *collector) refusal(f *sqcaller.Refusal) {
	if f != nil {
		c.refusals[f.Kind+" "+f.Run]++
	}
}

func (c *collector) finish() *Report {
	r := c.report
	seconds := c.cfg.Duration.Seconds()
	r.Goodput = float64(r.OnTime) / seconds
	for _, n := range c.windows {
		r.WindowGoodput = append(r.WindowGoodput, float64(n)*windows/seconds)
	}
	r.Outcomes = counts(c.outcomes)
	r.Refusals = counts(c.refusals)
	r.FirstToken, r.TokenInterval = latency(c.first), latency(c.between)
	r.Total, r.RefusalLatency = latency(c.total), latency(c.refused)
	if c.prompt > 0 {
		r.CachedShare = float64(c.cached) / float64(c.prompt)
	}
	fairRatios(r.Teams)
	r.WorstFairRatio = 1
	for i := range r.Teams {
		t := &r.Teams[i]
		if t.Arrived > 0 {
			t.OnTimeShare = float64(t.OnTime) / float64(t.Arrived)
		}
		r.WorstFairRatio = min(r.WorstFairRatio, t.FairRatio)
	}
	return r
}

// Count returns the number of requests with an outcome, such as "chat cut".
func (r *Report) Count(kind string) int {
	for _, c := range r.Outcomes {
		if c.Kind == kind {
			return c.Count
		}
	}
	return 0
}

func counts(m map[string]int) []Count {
	all := []Count{}
	for k, n := range m {
		all = append(all, Count{Kind: k, Count: n})
	}
	slices.SortFunc(all, func(a, b Count) int { return cmp.Compare(a.Kind, b.Kind) })
	return all
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(highestMicros, max(lowestMicros, d.Microseconds())))
}

func latency(h *hdrhistogram.Histogram) Latency {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latency{Count: h.TotalCount(), P50: at(50), P90: at(90), P99: at(99), Max: float64(h.Max()) / 1000}
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
