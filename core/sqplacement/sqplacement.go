// Package sqplacement holds the documents in which an operator asks a gateway where a request
// would go, and in which the gateway answers.
package sqplacement

import (
	"math"
	"time"

	"sequoiadock/core/sqattempt"
	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqplace"
)

// Path is the path at which gateways answer, at their internal address.
const Path = "/placement"

// MaxRequestBytes is the maximum size of a Request.
const MaxRequestBytes = 64 << 10

// Request describes a request of a caller.
type Request struct {
	Host string `json:"host"`
	Path string `json:"path"`
	// Key is the API key. No answer and no log contains it.
	Key string `json:"key,omitempty"`
	// Service is the one of the route's services to place the request at, or "" for the first.
	Service        string `json:"service,omitempty"`
	Model          string `json:"model,omitempty"`
	Parts          []Part `json:"parts,omitempty"`
	Tokens         int    `json:"tokens,omitempty"`
	OutputTokens   int    `json:"outputTokens,omitempty"`
	DeadlineMillis int    `json:"deadlineMillis,omitempty"`
	BodyBytes      int    `json:"bodyBytes,omitempty"`
}

// Part is a part of the prompt. The last one belongs to the request alone.
type Part struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
}

// Prompt returns the prompt of the request, or an error of kind BadRequest if a figure of the
// request is negative.
func (r *Request) Prompt() (sqattempt.Prompt, error) {
	p := sqattempt.Prompt{Model: r.Model, Tokens: r.Tokens, MaxOutputTokens: r.OutputTokens}
	lowest, sum := min(r.Tokens, r.OutputTokens, r.DeadlineMillis, r.BodyBytes), 0
	for _, part := range r.Parts {
		p.Parts = append(p.Parts, sqattempt.Part{ID: part.ID, Tokens: part.Tokens})
		lowest, sum = min(lowest, part.Tokens), sum+part.Tokens
	}
	if lowest < 0 {
		return p, sqerror.New(sqerror.Config{Kind: sqerror.BadRequest, Detail: "a figure of the request is negative"})
	}
	if p.Tokens == 0 {
		p.Tokens = sum
	}
	return p, nil
}

// Failure is the answer to a Request that cannot be placed.
type Failure struct {
	Kind             uint32  `json:"kind"`
	Detail           string  `json:"detail"`
	RetryAfterMillis float64 `json:"retryAfterMillis,omitempty"`
}

// Quota states.
const (
	QuotaNone     = "none"
	QuotaAllowed  = "allowed"
	QuotaExceeded = "exceeded"
	QuotaAsk      = "asksHolder"
)

// Report says where a request would go and why. Times are in milliseconds.
type Report struct {
	Gateway      string `json:"gateway"`
	Zone         string `json:"zone"`
	TableVersion uint64 `json:"tableVersion"`
	// FreshForMillis is how long the gateway may act on what it knows, HeardAgeMillis the age of
	// what it knows of other gateways' loads.
	FreshForMillis float64     `json:"freshForMillis"`
	HeardAgeMillis float64     `json:"heardAgeMillis"`
	Route          string      `json:"route"`
	Team           string      `json:"team"`
	Service        string      `json:"service"`
	Services       []string    `json:"services"`
	Priority       int         `json:"priority"`
	Urgent         bool        `json:"urgent"`
	TimeLeftMillis float64     `json:"timeLeftMillis"`
	Quota          Quota       `json:"quota"`
	Choice         Choice      `json:"choice"`
	Draws          int         `json:"draws"`
	Candidates     []Candidate `json:"candidates"`
	Excluded       []Excluded  `json:"excluded"`
}

// Quota is the state of the team's quota at the gateway.
type Quota struct {
	State            string  `json:"state"`
	Units            uint64  `json:"units"`
	RetryAfterMillis float64 `json:"retryAfterMillis,omitempty"`
}

// Choice is where the request would go now, or its refusal if there is no endpoint.
type Choice struct {
	Endpoint        string  `json:"endpoint,omitempty"`
	PrefillEndpoint string  `json:"prefillEndpoint,omitempty"`
	ExpectedMillis  float64 `json:"expectedMillis"`
	// TransferMillis is the part of ExpectedMillis in which a KV cache is transferred.
	TransferMillis float64 `json:"transferMillis,omitempty"`
	Reason         string  `json:"reason"`
	// WaitMillis is set if the request waits at the gateway until an endpoint has room.
	WaitMillis float64 `json:"waitMillis,omitempty"`
	// RetryAfterMillis is that of a refusal, with its random part.
	RetryAfterMillis *Range `json:"retryAfterMillis,omitempty"`
}

// Range holds the lowest and the highest value in the draws.
type Range struct {
	Low  float64 `json:"low"`
	High float64 `json:"high"`
}

// Candidate holds the figures of an endpoint, which sqplace.Candidate describes.
type Candidate struct {
	Endpoint           string   `json:"endpoint"`
	Address            string   `json:"address"`
	Zone               string   `json:"zone"`
	Version            string   `json:"version,omitempty"`
	Part               string   `json:"part"`
	Chosen             int      `json:"chosen"`
	CostMillis         Range    `json:"costMillis"`
	ExpectedMillis     float64  `json:"expectedMillis"`
	SlotWaitMillis     float64  `json:"slotWaitMillis"`
	PrefillWaitMillis  float64  `json:"prefillWaitMillis"`
	PrefillMillis      float64  `json:"prefillMillis"`
	RoomWaitMillis     float64  `json:"roomWaitMillis"`
	BaseMillis         float64  `json:"baseMillis"`
	PenaltyMillis      float64  `json:"penaltyMillis"`
	InterferenceMillis float64  `json:"interferenceMillis"`
	ConnectMillis      float64  `json:"connectMillis"`
	CachedTokens       int      `json:"cachedTokens"`
	CachedAssumed      bool     `json:"cachedAssumed,omitempty"`
	UncachedTokens     int      `json:"uncachedTokens"`
	CachedProbability  *float64 `json:"cachedProbability,omitempty"`
	Running            int      `json:"running"`
	Slots              int      `json:"slots"`
	QueuedTokens       int      `json:"queuedPrefillTokens"`
	MemoryTokens       int      `json:"memoryTokens"`
	// LoadReportAgeMillis is that of the endpoint's own load report, if that is used.
	LoadReportAgeMillis *float64 `json:"loadReportAgeMillis,omitempty"`
	SpeedPercent        *float64 `json:"speedPercent,omitempty"`
	SpeedAgeMillis      *float64 `json:"speedAgeMillis,omitempty"`
	// IdleConnectionMillis is for how long a connection that can be used has been idle.
	IdleConnectionMillis *float64 `json:"idleConnectionMillis,omitempty"`
}

// Excluded is an endpoint that is no candidate.
type Excluded struct {
	Endpoint  string  `json:"endpoint"`
	Zone      string  `json:"zone"`
	Reason    string  `json:"reason"`
	ForMillis float64 `json:"forMillis,omitempty"`
}

// Millis returns a duration in milliseconds, rounded to a tenth.
func Millis(d time.Duration) float64 {
	const perMilli = 10
	return math.Round(float64(d)*perMilli/float64(time.Millisecond)) / perMilli
}

// SetExplanation sets the choice, the candidates and the excluded endpoints.
func (r *Report) SetExplanation(e *sqplace.Explanation) {
	c := &e.Choice
	r.Draws = e.Draws
	r.Choice = Choice{ExpectedMillis: Millis(c.ExpectedLatency), TransferMillis: Millis(e.Transfer), Reason: c.Reason, WaitMillis: Millis(c.Wait)}
	if c.Endpoint != nil {
		r.Choice.Endpoint = c.Endpoint.ID()
	} else if c.Wait == 0 {
		r.Choice.RetryAfterMillis = &Range{Millis(e.MinRetryAfter), Millis(e.MaxRetryAfter)}
	}
	if c.PrefillEndpoint != nil {
		r.Choice.PrefillEndpoint = c.PrefillEndpoint.ID()
	}
	r.Candidates, r.Excluded = make([]Candidate, 0, len(e.Candidates)), make([]Excluded, 0, len(e.Excluded))
	for _, c := range e.Candidates {
		r.Candidates = append(r.Candidates, newCandidate(c))
	}
	for i := range e.Excluded {
		x := &e.Excluded[i]
		r.Excluded = append(r.Excluded, Excluded{x.Endpoint.ID(), x.Endpoint.Zone(), string(x.Why), Millis(x.For)})
	}
}

func newCandidate(c *sqplace.Candidate) Candidate {
	out := Candidate{
		Endpoint: c.Endpoint.ID(), Address: c.Endpoint.Address(), Zone: c.Endpoint.Zone(), Version: c.Endpoint.Version(), Part: string(c.Part),
		Chosen: c.Chosen, CostMillis: Range{Millis(c.MinCost), Millis(c.MaxCost)}, ExpectedMillis: Millis(c.Expected),
		SlotWaitMillis: Millis(c.SlotWait), PrefillWaitMillis: Millis(c.PrefillWait), PrefillMillis: Millis(c.Prefill),
		RoomWaitMillis: Millis(c.RoomWait), BaseMillis: Millis(c.Base), PenaltyMillis: Millis(c.Penalty),
		InterferenceMillis: Millis(c.Interference), ConnectMillis: Millis(c.Connect), CachedTokens: c.CachedTokens, CachedAssumed: c.AssumedCached,
		UncachedTokens: c.UncachedTokens, Running: c.Running, Slots: c.Endpoint.Slots(),
		QueuedTokens: c.Local.PrefillTokens + c.Remote.PrefillTokens, MemoryTokens: c.Local.MemoryTokens + c.Remote.MemoryTokens,
	}
	known := func(is bool, v float64) *float64 {
		if !is {
			return nil
		}
		return &v
	}
	const perUnit = 1000
	out.CachedProbability = known(c.Probability >= 0, math.Round(c.Probability*perUnit)/perUnit)
	out.LoadReportAgeMillis = known(c.HasReport, Millis(c.ReportAge))
	out.SpeedPercent = known(c.SpeedPercent > 0, math.Round(c.SpeedPercent))
	out.SpeedAgeMillis = known(c.SpeedPercent > 0 && c.SpeedAge >= 0, Millis(c.SpeedAge))
	out.IdleConnectionMillis = known(c.HasIdle, Millis(c.IdleFor))
	return out
}
