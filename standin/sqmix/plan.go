package sqmix

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"sequoiadock/standin/sqanswer"
)

// Request classes.
const (
	classLongPrompt = "reading"
	classLongAnswer = "telling"
	classBooking    = "call"
)

// maxTurns bounds the number of user turns in a conversation's history.
const maxTurns = 4

// arrival is one planned request; offset is counted from the start of the run.
type arrival struct {
	offset     time.Duration
	team       int
	zone       int
	class      string
	unstreamed bool
	messages   []sqanswer.Message
	maxTokens  int
	// sizeTokens is the number of prompt and answer tokens; 1 for a booking.
	sizeTokens int
	identity   string
}

// conversation is a chat history that several requests extend.
type conversation struct {
	team, zone int
	class      string
	prefix     string
	turns      []string
}

// planner generates the arrivals of a run.
type planner struct {
	cfg           Config
	random        *rand.Rand
	conversations map[string][]*conversation
	prefixes      [][]string
}

// planArrivals returns the arrivals ordered by offset.
func planArrivals(cfg Config) []arrival {
	p := &planner{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 0x5a0ad)), conversations: map[string][]*conversation{}}
	for i := range cfg.Teams {
		p.prefixes = append(p.prefixes, p.teamPrefixes(i))
	}
	all := p.planChats()
	all = append(all, p.planBookings()...)
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.offset - b.offset) })
	return all
}

func (p *planner) planChats() []arrival {
	var all []arrival
	for offset := p.interArrival(p.cfg.ChatRate); offset < p.cfg.Duration; offset += p.interArrival(p.cfg.ChatRate) {
		class := classLongAnswer
		if p.random.Float64() < p.longPromptShare(offset) {
			class = classLongPrompt
		}
		all = append(all, p.newChat(offset, class))
	}
	return all
}

func (p *planner) planBookings() []arrival {
	var all []arrival
	if p.cfg.BookingRate <= 0 {
		return nil
	}
	for offset := p.interArrival(p.cfg.BookingRate); offset < p.cfg.Duration; offset += p.interArrival(p.cfg.BookingRate) {
		id := "call-" + strconv.FormatUint(p.cfg.Seed, 10) + "-" + strconv.Itoa(len(all))
		all = append(all, arrival{
			offset: offset, team: p.pickTeam(), zone: p.random.IntN(len(p.cfg.Zones)), class: classBooking, identity: id, sizeTokens: 1,
		})
	}
	return all
}

// interArrival returns an exponentially distributed time to the next arrival,
// for a mean rate per second.
func (p *planner) interArrival(rate float64) time.Duration {
	if rate <= 0 {
		return time.Duration(math.MaxInt64 / 2)
	}
	return time.Duration(p.random.ExpFloat64() / rate * float64(time.Second))
}

// longPromptShare returns the share of long-prompt requests at an offset. It
// follows a cosine between the configured bounds, from the lower one.
func (p *planner) longPromptShare(offset time.Duration) float64 {
	phase := 2 * math.Pi * float64(offset) / float64(p.cfg.MixPeriod)
	middle := (p.cfg.LongPromptShareMin + p.cfg.LongPromptShareMax) / 2
	return middle - (p.cfg.LongPromptShareMax-p.cfg.LongPromptShareMin)/2*math.Cos(phase)
}

// pickTeam returns the index of a random team, weighted by demand.
func (p *planner) pickTeam() int {
	total := 0.0
	for _, t := range p.cfg.Teams {
		total += t.Demand
	}
	remaining := p.random.Float64() * total
	for i, t := range p.cfg.Teams {
		remaining -= t.Demand
		if remaining < 0 {
			return i
		}
	}
	return len(p.cfg.Teams) - 1
}

func (p *planner) newChat(offset time.Duration, class string) arrival {
	c := p.pickConversation(class)
	shape := p.cfg.LongAnswer
	if class == classLongPrompt {
		shape = p.cfg.LongPrompt
	}
	question := "question " + strconv.FormatUint(p.random.Uint64(), 36)
	if len(c.turns) == maxTurns {
		c.turns = nil
	}
	c.turns = append(c.turns, question)
	messages := []sqanswer.Message{{Role: "system", Content: c.prefix}}
	for _, t := range c.turns {
		messages = append(messages, sqanswer.Message{Role: "user", Content: t})
	}
	tokens := p.uniform(shape.AnswerMin, shape.AnswerMax)
	return arrival{
		offset: offset, team: c.team, zone: c.zone, class: class, messages: messages, maxTokens: tokens,
		unstreamed: p.random.Float64() < p.cfg.UnstreamedShare,
		sizeTokens: len(strings.Fields(c.prefix)) + tokens,
	}
}

// pickConversation returns an existing conversation of a random team or starts
// a new one.
func (p *planner) pickConversation(class string) *conversation {
	team := p.pickTeam()
	key := class + strconv.Itoa(team)
	existing := p.conversations[key]
	if len(existing) > 0 && p.random.Float64() < p.cfg.FollowUpShare {
		return existing[p.random.IntN(len(existing))]
	}
	c := &conversation{team: team, zone: p.random.IntN(len(p.cfg.Zones)), class: class}
	if class == classLongPrompt {
		c.prefix = p.prefixes[team][p.random.IntN(p.cfg.PrefixesPerTeam)]
	} else {
		n := p.uniform(p.cfg.LongAnswer.PromptMin, p.cfg.LongAnswer.PromptMax)
		c.prefix = words("talk"+strconv.FormatUint(p.random.Uint64(), 36), n)
	}
	const maxConversations = 16
	if len(existing) == maxConversations {
		existing = existing[1:]
	}
	p.conversations[key] = append(existing, c)
	return c
}

// teamPrefixes returns the prompt prefixes that a team's long-prompt
// conversations share.
func (p *planner) teamPrefixes(team int) []string {
	var all []string
	for i := range p.cfg.PrefixesPerTeam {
		n := p.uniform(p.cfg.LongPrompt.PromptMin, p.cfg.LongPrompt.PromptMax)
		seed := "t" + strconv.FormatUint(p.cfg.Seed, 36) + "n" + strconv.Itoa(team) + "c" + strconv.Itoa(i)
		all = append(all, words(seed, n))
	}
	return all
}

// uniform returns a random number from low to high, both inclusive.
func (p *planner) uniform(low, high int) int {
	if high <= low {
		return max(1, low)
	}
	return low + p.random.IntN(high-low+1)
}

// words returns a text of n words. Its first word is the seed, so texts of
// different seeds share no prefix.
func words(seed string, n int) string {
	var b strings.Builder
	b.WriteString(seed)
	for i := 1; i < n; i++ {
		b.WriteString(" w")
		b.WriteString(strconv.Itoa(i))
	}
	return b.String()
}
