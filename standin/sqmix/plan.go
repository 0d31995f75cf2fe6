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

// Classes of requests.
const (
	classReading = "reading"
	classTelling = "telling"
	classCall    = "call"
)

// wordsKept bounds the history of a conversation.
const turnsKept = 4

// arrival is one request of the plan.
type arrival struct {
	at       time.Duration
	team     int
	zone     int
	class    string
	plain    bool
	messages []sqanswer.Message
	tokens   int
	// work is the request's size in tokens.
	work     int
	identity string
}

// conversation goes on over several requests.
type conversation struct {
	team, zone int
	class      string
	prefix     string
	turns      []string
}

// planner makes the arrivals of a run.
type planner struct {
	cfg      Config
	random   *rand.Rand
	open     map[string][]*conversation
	prefixes [][]string
}

// plan returns the arrivals by time.
func plan(cfg Config) []arrival {
	p := &planner{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 0x5a0ad)), open: map[string][]*conversation{}}
	for i := range cfg.Teams {
		p.prefixes = append(p.prefixes, p.teamPrefixes(i))
	}
	all := p.chats()
	all = append(all, p.calls()...)
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return all
}

func (p *planner) chats() []arrival {
	var all []arrival
	for at := p.gap(p.cfg.ChatRate); at < p.cfg.Duration; at += p.gap(p.cfg.ChatRate) {
		class := classTelling
		if p.random.Float64() < p.readingShare(at) {
			class = classReading
		}
		all = append(all, p.chat(at, class))
	}
	return all
}

func (p *planner) calls() []arrival {
	var all []arrival
	if p.cfg.BookingRate <= 0 {
		return nil
	}
	for at := p.gap(p.cfg.BookingRate); at < p.cfg.Duration; at += p.gap(p.cfg.BookingRate) {
		id := "call-" + strconv.FormatUint(p.cfg.Seed, 10) + "-" + strconv.Itoa(len(all))
		all = append(all, arrival{
			at: at, team: p.team(), zone: p.random.IntN(len(p.cfg.Zones)), class: classCall, identity: id, work: 1,
		})
	}
	return all
}

// gap returns the time to the next arrival at a rate.
func (p *planner) gap(rate float64) time.Duration {
	if rate <= 0 {
		return time.Duration(math.MaxInt64 / 2)
	}
	return time.Duration(p.random.ExpFloat64() / rate * float64(time.Second))
}

// readingShare swings between its bounds.
func (p *planner) readingShare(at time.Duration) float64 {
	phase := 2 * math.Pi * float64(at) / float64(p.cfg.MixPeriod)
	middle := (p.cfg.LongPromptShareMin + p.cfg.LongPromptShareMax) / 2
	return middle - (p.cfg.LongPromptShareMax-p.cfg.LongPromptShareMin)/2*math.Cos(phase)
}

// team picks a team by its demand.
func (p *planner) team() int {
	total := 0.0
	for _, t := range p.cfg.Teams {
		total += t.Demand
	}
	at := p.random.Float64() * total
	for i, t := range p.cfg.Teams {
		at -= t.Demand
		if at < 0 {
			return i
		}
	}
	return len(p.cfg.Teams) - 1
}

func (p *planner) chat(at time.Duration, class string) arrival {
	c := p.conversation(class)
	shape := p.cfg.LongAnswer
	if class == classReading {
		shape = p.cfg.LongPrompt
	}
	question := "question " + strconv.FormatUint(p.random.Uint64(), 36)
	if len(c.turns) == turnsKept {
		c.turns = nil
	}
	c.turns = append(c.turns, question)
	messages := []sqanswer.Message{{Role: "system", Content: c.prefix}}
	for _, t := range c.turns {
		messages = append(messages, sqanswer.Message{Role: "user", Content: t})
	}
	tokens := p.between(shape.AnswerMin, shape.AnswerMax)
	return arrival{
		at: at, team: c.team, zone: c.zone, class: class, messages: messages, tokens: tokens,
		plain: p.random.Float64() < p.cfg.UnstreamedShare,
		work:  len(strings.Fields(c.prefix)) + tokens,
	}
}

// conversation goes on with one of the team's or starts another.
func (p *planner) conversation(class string) *conversation {
	team := p.team()
	key := class + strconv.Itoa(team)
	old := p.open[key]
	if len(old) > 0 && p.random.Float64() < p.cfg.FollowUpShare {
		return old[p.random.IntN(len(old))]
	}
	c := &conversation{team: team, zone: p.random.IntN(len(p.cfg.Zones)), class: class}
	if class == classReading {
		c.prefix = p.prefixes[team][p.random.IntN(p.cfg.PrefixesPerTeam)]
	} else {
		n := p.between(p.cfg.LongAnswer.PromptMin, p.cfg.LongAnswer.PromptMax)
		c.prefix = words("talk"+strconv.FormatUint(p.random.Uint64(), 36), n)
	}
	const openConversations = 16
	if len(old) == openConversations {
		old = old[1:]
	}
	p.open[key] = append(old, c)
	return c
}

// teamPrefixes returns the long texts that a team's readers share.
func (p *planner) teamPrefixes(team int) []string {
	var all []string
	for i := range p.cfg.PrefixesPerTeam {
		n := p.between(p.cfg.LongPrompt.PromptMin, p.cfg.LongPrompt.PromptMax)
		seed := "t" + strconv.FormatUint(p.cfg.Seed, 36) + "n" + strconv.Itoa(team) + "c" + strconv.Itoa(i)
		all = append(all, words(seed, n))
	}
	return all
}

func (p *planner) between(low, high int) int {
	if high <= low {
		return max(1, low)
	}
	return low + p.random.IntN(high-low+1)
}

// words returns n words that differ from those of other seeds.
func words(seed string, n int) string {
	var b strings.Builder
	b.WriteString(seed)
	for i := 1; i < n; i++ {
		b.WriteString(" w")
		b.WriteString(strconv.Itoa(i))
	}
	return b.String()
}
