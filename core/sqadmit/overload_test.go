package sqadmit

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// overloadTeams are two large teams and six small ones, as in a deployment.
var overloadTeams = []TeamConfig{
	{Name: "large0", Weight: 4}, {Name: "large1", Weight: 4}, {Name: "small0", Weight: 1}, {Name: "small1", Weight: 1},
	{Name: "small2", Weight: 1}, {Name: "small3", Weight: 1}, {Name: "small4", Weight: 1}, {Name: "small5", Weight: 1},
}

// served returns how many requests of each team start within their second when
// all teams ask for several times their share, at random times.
func served(seed uint64, perSecond float64, length time.Duration) map[string]int {
	random := rand.New(rand.NewPCG(seed, 1))
	var teams []Team
	for _, t := range overloadTeams {
		t.TokensPerSecond, t.MaxRunning, t.MaxQueued = Unbounded, Unbounded, 1000
		teams = append(teams, NewTeam(t))
	}
	now := time.Unix(1000, 0)
	f := NewFairQueue(Config{PoolLimits: NewPoolLimits(PoolLimitsConfig{MaxRunning: 1, MaxPrefillTokens: 1_000_000})})
	f.SetTeams(now, teams)
	ends, owners, offered := map[uint64]time.Time{}, map[uint64]string{}, map[uint64]time.Time{}
	ran := map[string]int{}
	take := func(v Decision) {
		if v.Action() != Run {
			return
		}
		ends[v.ID()] = now.Add(time.Duration((0.1 + 0.2*random.Float64()) * float64(time.Second)))
		if now.Sub(offered[v.ID()]) <= time.Second {
			ran[owners[v.ID()]]++
		}
	}
	id, next := uint64(0), now
	for end := now.Add(length); now.Before(end); now = now.Add(time.Millisecond) {
		for done, at := range ends {
			if !at.After(now) {
				delete(ends, done)
				f.Finish(now, done, NewUsage(UsageConfig{PromptTokens: 35, OutputTokens: 40}))
			}
		}
		for !next.After(now) {
			id++
			owners[id], offered[id] = overloadTeam(random), now
			w := NewRequest(RequestConfig{
				ID: id, Team: owners[id], Pool: "m", PromptTokens: 35, OutputTokens: 40, PredictedDuration: 200 * time.Millisecond,
				StartBy: now.Add(time.Second), Deadline: now.Add(4 * time.Second),
			})
			take(f.Offer(now, &w))
			next = next.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		}
		for v, ok := f.Next(now); ok; v, ok = f.Next(now) {
			take(v)
		}
	}
	return ran
}

// overloadTeam picks a team by its demand: the large ones ask for more than
// their share.
func overloadTeam(random *rand.Rand) string {
	at := random.IntN(18)
	switch {
	case at < 6:
		return "large0"
	case at < 12:
		return "large1"
	default:
		return "small" + strconv.Itoa(at-12)
	}
}

// Early refusal leaves a small team with a queue of one or two requests, which
// runs empty by chance. It must not lose the turns that it was refused.
func TestSmallTeamsKeepTheirShareUnderOverload(t *testing.T) {
	for seed := range uint64(3) {
		ran := served(seed, 15, 300*time.Second)
		total := 0
		for _, n := range ran {
			total += n
		}
		for _, team := range overloadTeams {
			fair := float64(total) * team.Weight / 14
			ratio := float64(ran[team.Name]) / fair
			t.Logf("seed %d: %s %.2f of its share of %d", seed, team.Name, ratio, total)
			assert.Check(t, ratio >= 0.9, "seed %d: %s has %.2f of its share", seed, team.Name, ratio)
		}
	}
}
