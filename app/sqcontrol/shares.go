package sqcontrol

import (
	"math"
	"time"

	"sequoiadock/core/sqadmit"
	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqstate"
	"sequoiadock/io/sqrpc"
)

// splitShares divides the teams' limits over the fresh entries by what they
// lately saw. Entries hear of it with their next watch; until the last has, a
// limit may be passed by what moved, for at most one watch period.
func (h *holder) splitShares(now time.Time, t *tenure) {
	var limits []sqadmit.LimitConfig
	h.machine.Read(func(s *sqstate.State) { limits = teamLimits(s.Configuration()) })
	h.mu.Lock()
	defer h.mu.Unlock()
	cfg := sqadmit.SplitConfig{Limits: limits}
	for _, e := range t.entries.Entries() {
		if t.entries.HasLease(now, e) && !e.Leaving() {
			cfg.Entries = append(cfg.Entries, e.Name())
		}
	}
	t.demand.fresh(now, func(entry string, rep *demandReport) {
		for _, d := range rep.demands {
			cfg.Demands = append(cfg.Demands, sqadmit.DemandConfig{
				Entry: entry, Team: d.GetTeam(),
				Tokens:  float64(d.GetQueuedTokens()+d.GetRunningTokens()) + rep.teamRates[d.GetTeam()].rate,
				Running: float64(d.GetRunning()),
			})
		}
	})
	t.shares = byEntry(sqadmit.SplitShares(cfg), cfg.Entries)
}

// byEntry sorts the shares by entry. With hundreds of entries and teams the
// messages are many, so that those of one entry share their memory. An entry
// without shares is listed too, so that its watch does not ask for a new split.
func byEntry(shares []sqadmit.Share, entries []string) map[string][]*sqrpc.TeamShare {
	all := make(map[string][]*sqrpc.TeamShare, len(entries))
	messages := make(map[string][]sqrpc.TeamShare, len(entries))
	for _, entry := range entries {
		teams := len(shares) / len(entries)
		all[entry] = make([]*sqrpc.TeamShare, 0, teams)
		messages[entry] = make([]sqrpc.TeamShare, teams)
	}
	for _, s := range shares {
		m := &messages[s.Entry()][len(all[s.Entry()])]
		fillShare(m, s)
		all[s.Entry()] = append(all[s.Entry()], m)
	}
	return all
}

func teamLimits(cfg *sqcommand.Configuration) []sqadmit.LimitConfig {
	limits := make([]sqadmit.LimitConfig, 0, len(cfg.GetTeams()))
	for _, team := range cfg.GetTeams() {
		limits = append(limits, sqadmit.LimitConfig{
			Team:            team.GetName(),
			Share:           float64(team.GetShare()),
			TokensPerSecond: limitOrUnbounded(team.GetTokensPerSecond()),
			MaxRunning:      limitOrUnbounded(uint64(team.GetMaxRunning())),
		})
	}
	return limits
}

func limitOrUnbounded(n uint64) int64 {
	if n == 0 {
		return sqadmit.Unbounded
	}
	return int64(n)
}

func fillShare(out *sqrpc.TeamShare, s sqadmit.Share) {
	out.Team, out.Weight = s.Team(), rounded(s.Weight())
	if s.TokensPerSecond() != sqadmit.Unbounded {
		out.RateBounded = true
		out.TokensPerSecond = uint64(s.TokensPerSecond())
	}
	if s.MaxRunning() != sqadmit.Unbounded {
		out.RunningBounded = true
		out.MaxRunning = uint32(s.MaxRunning())
	}
}

// shareDigits is how finely weights are told, in parts of one: entries need not
// hear of every small move of the demand.
const shareDigits = 20

func rounded(weight float64) float64 {
	return max(sqadmit.MinWeight, math.Round(weight*shareDigits)/shareDigits)
}

// shares returns the shares of one entry. An entry that the last split did not
// know, since it has just come, makes a new one.
func (h *holder) shares(now time.Time, t *tenure, entry string) []*sqrpc.TeamShare {
	h.mu.Lock()
	known := t.shares[entry] != nil
	h.mu.Unlock()
	if !known {
		h.splitShares(now, t)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return t.shares[entry]
}
