// Package sqmix drives a deployment with the requests of several teams, whose
// mix swings between long prompts and long answers, and reports how each team
// fared. Arrivals do not wait for answers, and are the same for the same seed.
package sqmix

import (
	"net/http"
	"time"
)

// Team is one team of callers.
type Team struct {
	Name string
	Key  string
	// Share is the weight of the team when capacity is short.
	Share float64
	// Demand is the weight of the team in the arrivals.
	Demand float64
}

// Shape says how long requests of a class are, as ranges of words.
type Shape struct {
	PromptMin, PromptMax int
	AnswerMin, AnswerMax int
}

// Config configures a run. Zero values have defaults.
type Config struct {
	// Entries are the addresses that callers know from the start.
	Entries []string
	Zones   []string
	Client  *http.Client
	Seed    uint64
	// Duration is how long requests arrive.
	Duration time.Duration
	// Until, if set, ends the arrivals early when it closes; requests that run
	// go on to their end.
	StopArrivals <-chan struct{}
	// ChatRate is the mean number of assistant requests a second.
	ChatRate float64
	Teams    []Team
	Model    string
	// LongPrompt has long prompts and short answers, Telling the reverse.
	LongPrompt, LongAnswer Shape
	// MixPeriod is the period in which the share of Reading goes from low to high
	// and back.
	MixPeriod time.Duration
	// LongPromptShareMin and ReadingHigh bound the share of Reading.
	LongPromptShareMin, LongPromptShareMax float64
	// PrefixesPerTeam is the number of long texts that each team's readers share.
	PrefixesPerTeam int
	// FollowUpShare is the share of requests that go on with a conversation.
	FollowUpShare float64
	// FirstToken, Between and Deadline say when an answer is on time; Between
	// is the mean time between tokens.
	FirstTokenTarget, TokenIntervalTarget, Deadline time.Duration
	// BookingRate is the mean number of bookings a second.
	BookingRate float64
	// BookingPath is where bookings go.
	BookingPath string
	// ReadPath, if set, is read once for each booking.
	ReadPath string
	// RetryRefusals makes callers come back when a refusal says when to.
	RetryRefusals bool
	// MaxAttempts bounds the tries of a request.
	MaxAttempts int
	// MaxInFlight bounds the requests at a time; arrivals beyond are dropped and
	// reported.
	MaxInFlight int
	// UnstreamedShare is the share of requests that are not streamed.
	UnstreamedShare float64
}

const (
	defaultInFlight  = 4000
	defaultFollowUps = 0.5
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
		cfg.FollowUpShare = defaultFollowUps
	}
	setDefault(&cfg.FirstTokenTarget, 2*time.Second)
	setDefault(&cfg.TokenIntervalTarget, 200*time.Millisecond)
	setDefault(&cfg.Deadline, 20*time.Second)
	if cfg.BookingPath == "" {
		cfg.BookingPath = "/booking/places"
	}
	if cfg.MaxInFlight == 0 {
		cfg.MaxInFlight = defaultInFlight
	}
	return cfg
}

func setDefault(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}
