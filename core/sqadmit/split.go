package sqadmit

import (
	"math"
	"slices"
)

// TeamLimits is a team's limits over all entries.
type TeamLimits struct {
	Team string
	// Share is the team's declared weight in fair queueing.
	Share float64
	// TokensPerSecond and MaxRunning may be Unbounded.
	TokensPerSecond int64
	MaxRunning      int64
}

// TeamDemand is a team's recent demand at one entry.
type TeamDemand struct {
	Entry string
	Team  string
	// Tokens counts the tokens of queued and running requests and of those that
	// arrived in the last seconds. Running counts running and queued requests.
	Tokens  float64
	Running float64
}

// SplitConfig holds the input of SplitShares.
type SplitConfig struct {
	// Entries are the names of the entries that get shares.
	Entries []string
	Limits  []TeamLimits
	Demands []TeamDemand
	// Floor is the fraction of a limit that is divided evenly over the entries, so
	// that an entry can run a team's first request there; 0 takes DefaultFloor.
	Floor float64
}

// DefaultFloor is the default fraction of a limit that is divided evenly.
const DefaultFloor = 0.2

// Share is one entry's part of a team's limits.
type Share struct {
	entry   string
	team    string
	weight  float64
	tokens  int64
	running int64
}

// Entry returns the name of the entry.
func (s Share) Entry() string { return s.entry }

// Team returns the name of the team.
func (s Share) Team() string { return s.team }

// Weight returns the team's weight at the entry.
func (s Share) Weight() float64 { return s.weight }

// TokensPerSecond returns the entry's part of the rate limit, or Unbounded.
func (s Share) TokensPerSecond() int64 { return s.tokens }

// MaxRunning returns the entry's part of the limit of running requests, or
// Unbounded.
func (s Share) MaxRunning() int64 { return s.running }

// SplitShares divides each team's limits and weight over the entries by recent
// demand. The parts of a limit add up to exactly the limit.
//
// A team's weights grow with its part of the demand, so that a team that sends
// all its requests through one entry has its whole weight there: otherwise a team
// could gain by using more entries than others. A weight is never below the
// declared one: the demand of a small team moves between entries with each of its
// requests, and a request at an entry without recent demand of the team would be
// charged several times over. A team without limits and without demand at any
// entry is left out: its weight is the declared one.
func SplitShares(cfg SplitConfig) []Share {
	if cfg.Floor <= 0 {
		cfg.Floor = DefaultFloor
	}
	entries := slices.Clone(cfg.Entries)
	slices.Sort(entries)
	entries = slices.Compact(entries)
	n := len(entries)
	if n == 0 {
		return nil
	}
	s := splitter{floor: cfg.Floor, fractions: make([]float64, n), amounts: make([]int64, n)}
	demands := demandTable(&cfg, entries)
	shares := make([]Share, 0, n*s.countTeams(cfg.Limits, demands))
	for i := range cfg.Limits {
		limits := &cfg.Limits[i]
		teamDemands := demands[i*n : (i+1)*n]
		if needsNoShares(limits, teamDemands) {
			continue
		}
		firstShare := len(shares)
		s.setFractionsByTokens(teamDemands)
		s.apportion(limits.TokensPerSecond)
		for j, e := range entries {
			weight := max(MinWeight, limits.Share*max(1, s.fractions[j]*float64(n)))
			shares = append(shares, Share{entry: e, team: limits.Team, weight: weight, tokens: s.amounts[j]})
		}
		s.setFractionsByRunning(teamDemands)
		s.apportion(limits.MaxRunning)
		for j, maxRunning := range s.amounts {
			shares[firstShare+j].running = maxRunning
		}
	}
	return shares
}

// entryDemand is the demand of one team at one entry.
type entryDemand struct {
	tokens  float64
	running float64
}

// countTeams returns the number of teams that need shares.
func (s *splitter) countTeams(limits []TeamLimits, demands []entryDemand) int {
	n, count := len(s.fractions), 0
	for i := range limits {
		if !needsNoShares(&limits[i], demands[i*n:(i+1)*n]) {
			count++
		}
	}
	return count
}

// needsNoShares reports whether a team has neither limits nor demand.
func needsNoShares(limits *TeamLimits, demands []entryDemand) bool {
	return limits.TokensPerSecond < 0 && limits.MaxRunning < 0 && !hasDemand(demands)
}

func hasDemand(demands []entryDemand) bool {
	return slices.ContainsFunc(demands, func(d entryDemand) bool { return d != entryDemand{} })
}

// demandTable returns a table with a row for each team and a column for each
// entry. The demands of one entry are usually consecutive, so that its column is
// looked up only once.
func demandTable(cfg *SplitConfig, entries []string) []entryDemand {
	n := len(entries)
	table := make([]entryDemand, len(cfg.Limits)*n)
	teamIndexes := make(map[string]int, len(cfg.Limits))
	for i := range cfg.Limits {
		teamIndexes[cfg.Limits[i].Team] = i
	}
	lastEntry, entryIndex, isEntry := "", 0, false
	for i := range cfg.Demands {
		d := &cfg.Demands[i]
		if i == 0 || d.Entry != lastEntry {
			lastEntry = d.Entry
			entryIndex, isEntry = slices.BinarySearch(entries, lastEntry)
		}
		teamIndex, hasLimits := teamIndexes[d.Team]
		if !isEntry || !hasLimits {
			continue
		}
		sum := &table[teamIndex*n+entryIndex]
		sum.tokens += max(0, d.Tokens)
		sum.running += max(0, d.Running)
	}
	return table
}

// splitter holds buffers that are reused for each team, indexed by entry.
type splitter struct {
	floor     float64
	fractions []float64
	amounts   []int64
}

func (s *splitter) setFractionsByTokens(demands []entryDemand) {
	for i := range demands {
		s.fractions[i] = demands[i].tokens
	}
	s.normalizeFractions()
}

func (s *splitter) setFractionsByRunning(demands []entryDemand) {
	for i := range demands {
		s.fractions[i] = demands[i].running
	}
	s.normalizeFractions()
}

// normalizeFractions converts demands to each entry's fraction of a limit: the
// floor is divided evenly and the rest by demand.
func (s *splitter) normalizeFractions() {
	var sum float64
	for _, demand := range s.fractions {
		sum += demand
	}
	n := float64(len(s.fractions))
	for i, demand := range s.fractions {
		s.fractions[i] = 1 / n
		if sum > 0 {
			s.fractions[i] = s.floor/n + (1-s.floor)*demand/sum
		}
	}
}

// apportion divides an integer limit by the fractions. It rounds the cumulative
// sum instead of each amount, so that the amounts add up to the limit. Sorting the
// remainders instead took most of the time with hundreds of entries.
func (s *splitter) apportion(limit int64) {
	if limit < 0 {
		for i := range s.amounts {
			s.amounts[i] = Unbounded
		}
		return
	}
	var sum float64
	var assigned int64
	for i, fraction := range s.fractions {
		sum += fraction
		cumulative := min(int64(math.Round(float64(limit)*sum)), limit)
		s.amounts[i] = cumulative - assigned
		assigned = cumulative
	}
	s.amounts[len(s.amounts)-1] += limit - assigned
}
