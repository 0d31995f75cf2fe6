// Package sqmix is an open-loop load generator. It sends the requests of several
// teams to a deployment, varies the mix between long prompts and long answers,
// and reports the results of each team. Requests are sent at planned times
// without waiting for earlier responses. The same seed gives the same plan.
package sqmix

import (
	"net/http"
	"time"
)

// Team is one team of callers.
type Team struct {
	Name string
	Key  string
	// Share is the team's weight when capacity is divided between teams.
	Share float64
	// Demand is the relative rate at which the team sends requests.
	Demand float64
}

// Shape holds the ranges of prompt and answer lengths of a request class, in
// words.
type Shape struct {
	PromptMin, PromptMax int
	AnswerMin, AnswerMax int
}

// Config configures a run. Zero values have defaults.
type Config struct {
	// Entries are the initial addresses of the deployment, as "ip:port".
	Entries []string
	Zones   []string
	Client  *http.Client
	Seed    uint64
	// Duration is the period over which requests are sent.
	Duration time.Duration
	// StopArrivals, if set, stops new requests when it is closed. Requests in
	// flight run to completion.
	StopArrivals <-chan struct{}
	// ChatRate is the mean number of assistant requests per second.
	ChatRate float64
	Teams    []Team
	Model    string
	// LongPrompt is the class with long prompts and short answers, LongAnswer
	// the class with short prompts and long answers.
	LongPrompt, LongAnswer Shape
	// MixPeriod is the period of the cosine that the share of long-prompt
	// requests follows.
	MixPeriod time.Duration
	// LongPromptShareMin and LongPromptShareMax bound the share of long-prompt
	// requests among the assistant requests.
	LongPromptShareMin, LongPromptShareMax float64
	// PrefixesPerTeam is the number of distinct prompt prefixes that the
	// long-prompt conversations of a team share.
	PrefixesPerTeam int
	// FollowUpShare is the share of requests that continue a conversation.
	FollowUpShare float64
	// FirstTokenTarget, TokenIntervalTarget and Deadline are the latency limits
	// of a request that counts as on time. TokenIntervalTarget limits the mean
	// time between tokens.
	FirstTokenTarget, TokenIntervalTarget, Deadline time.Duration
	// BookingRate is the mean number of bookings per second.
	BookingRate float64
	// BookingPath is the URL path that bookings are posted to.
	BookingPath string
	// ReadPath, if set, is requested with GET once before each booking.
	ReadPath string
	// RetryRefusals makes callers retry a refusal that carries a retry delay.
	RetryRefusals bool
	// MaxAttempts bounds the attempts of a request.
	MaxAttempts int
	// MaxInFlight bounds the concurrent requests. Requests beyond it are dropped
	// and counted in the report.
	MaxInFlight int
	// UnstreamedShare is the share of requests that are not streamed.
	UnstreamedShare float64
}

const (
	defaultMaxInFlight   = 4000
	defaultFollowUpShare = 0.5
)

func (cfg Config) withDefaults() Config {
	if len(cfg.Zones) == 0 {
		cfg.Zones = []string{""}
	}
	if cfg.LongPrompt == (Shape{}) {
		cfg.LongPrompt = Shape{PromptMin: 3000, PromptMax: 6000, AnswerMin: 10, AnswerMax: 40}
	}
	if cfg.LongAnswer == (Shape{}) {
		cfg.LongAnswer = Shape{PromptMin: 20, PromptMax: 200, AnswerMin: 100, AnswerMax: 300}
	}
	if cfg.LongPromptShareMin == 0 && cfg.LongPromptShareMax == 0 {
		cfg.LongPromptShareMin, cfg.LongPromptShareMax = 0.15, 0.85
	}
	if cfg.MixPeriod == 0 {
		cfg.MixPeriod = cfg.Duration / 2
	}
	if cfg.PrefixesPerTeam == 0 {
		cfg.PrefixesPerTeam = 3
	}
	if cfg.FollowUpShare == 0 {
		cfg.FollowUpShare = defaultFollowUpShare
	}
	setDefault(&cfg.FirstTokenTarget, 2*time.Second)
	setDefault(&cfg.TokenIntervalTarget, 200*time.Millisecond)
	setDefault(&cfg.Deadline, 20*time.Second)
	if cfg.BookingPath == "" {
		cfg.BookingPath = "/booking/places"
	}
	if cfg.MaxInFlight == 0 {
		cfg.MaxInFlight = defaultMaxInFlight
	}
	return cfg
}

func setDefault(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}
