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

// startedInTime returns how many requests of each team start within one second of
// their arrival when the teams together offer several times the capacity, at
// random times.
func startedInTime(seed uint64, requestsPerSecond float64, duration time.Duration) map[string]int {
	random := rand.New(rand.NewPCG(seed, 1))
	var teams []Team
	for _, t := range overloadTeams {
		t.TokensPerSecond, t.MaxRunning, t.MaxQueued = Unbounded, Unbounded, 1000
		teams = append(teams, NewTeam(t))
	}
	now := time.Unix(1000, 0)
	f := NewFairQueue(Config{PoolLimits: NewPoolLimits(PoolLimitsConfig{MaxRunning: 1, MaxPrefillTokens: 1_000_000})})
	f.SetTeams(now, teams)
	endTimes, teamOf, offeredAt := map[uint64]time.Time{}, map[uint64]string{}, map[uint64]time.Time{}
	started := map[string]int{}
	record := func(d Decision) {
		if d.Action() != Run {
			return
		}
		endTimes[d.ID()] = now.Add(time.Duration((0.1 + 0.2*random.Float64()) * float64(time.Second)))
		if now.Sub(offeredAt[d.ID()]) <= time.Second {
			started[teamOf[d.ID()]]++
		}
	}
	id, nextOffer := uint64(0), now
	for end := now.Add(duration); now.Before(end); now = now.Add(time.Millisecond) {
		for done, at := range endTimes {
			if !at.After(now) {
				delete(endTimes, done)
				f.Finish(now, done, NewUsage(UsageConfig{PromptTokens: 35, OutputTokens: 40}))
			}
		}
		for !nextOffer.After(now) {
			id++
			teamOf[id], offeredAt[id] = drawTeam(random), now
			req := NewRequest(RequestConfig{
				ID: id, Team: teamOf[id], Pool: "m", PromptTokens: 35, OutputTokens: 40, ExpectedDuration: 200 * time.Millisecond,
				StartBy: now.Add(time.Second), Deadline: now.Add(4 * time.Second),
			})
			record(f.Offer(now, &req))
			nextOffer = nextOffer.Add(time.Duration(random.ExpFloat64() / requestsPerSecond * float64(time.Second)))
		}
		for d, ok := f.Next(now); ok; d, ok = f.Next(now) {
			record(d)
		}
	}
	return started
}

// drawTeam picks a random team: the two large teams offer 6 of 18 requests each,
// which is more than their share, and the small ones 1 of 18 each.
func drawTeam(random *rand.Rand) string {
	draw := random.IntN(18)
	switch {
	case draw < 6:
		return "large0"
	case draw < 12:
		return "large1"
	default:
		return "small" + strconv.Itoa(draw-12)
	}
}

// TestSmallTeamsGetTheirShareUnderOverload guards against a small team that gets
// less than its share. Early refusal leaves it a queue of only one or two
// requests, which sometimes runs empty; the team must still get the service that
// its refused requests were due.
func TestSmallTeamsGetTheirShareUnderOverload(t *testing.T) {
	for seed := range uint64(3) {
		started := startedInTime(seed, 15, 300*time.Second)
		total := 0
		for _, n := range started {
			total += n
		}
		for _, team := range overloadTeams {
			expected := float64(total) * team.Weight / 14
			ratio := float64(started[team.Name]) / expected
			t.Logf("seed %d: team %s got %.2f of its share of %d requests", seed, team.Name, ratio, total)
			assert.Check(t, ratio >= 0.9, "seed %d: team %s got %.2f of its share", seed, team.Name, ratio)
		}
	}
}
