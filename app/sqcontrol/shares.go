package sqcontrol

import (
	"math"
	"time"

	"sequoiadock/core/sqadmit"
	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqstate"
	"sequoiadock/io/sqrpc"
)

// splitShares divides the teams' limits among the entries with a lease by their
// recent demand. Entries receive their new shares in their next watch. Until all
// have done so, a limit may be exceeded by the amount that moved between entries,
// for at most one watch period.
func (h *holder) splitShares(now time.Time, t *termState) {
	var limits []sqadmit.TeamLimits
	h.machine.Read(func(s *sqstate.State) { limits = teamLimits(s.Configuration()) })
	h.mu.Lock()
	defer h.mu.Unlock()
	cfg := sqadmit.SplitConfig{Limits: limits}
	for _, e := range t.entries.Entries() {
		if t.entries.HasLease(now, e) && !e.Leaving() {
			cfg.Entries = append(cfg.Entries, e.Name())
		}
	}
	t.demand.forEachFresh(now, func(entry string, rep *demandReport) {
		for _, d := range rep.demands {
			cfg.Demands = append(cfg.Demands, sqadmit.TeamDemand{
				Entry: entry, Team: d.GetTeam(),
				Tokens:  float64(d.GetQueuedTokens()+d.GetRunningTokens()) + rep.teamRates[d.GetTeam()].rate,
				Running: float64(d.GetRunning()),
			})
		}
	})
	t.shares = sharesByEntry(sqadmit.SplitShares(cfg), cfg.Entries)
}

// sharesByEntry groups the shares by entry. With hundreds of entries and teams
// there are many messages, so those of one entry are allocated together. An entry
// without shares gets an empty list, so that its watch does not cause a new split.
func sharesByEntry(shares []sqadmit.Share, entries []string) map[string][]*sqrpc.TeamShare {
	byEntry := make(map[string][]*sqrpc.TeamShare, len(entries))
	messages := make(map[string][]sqrpc.TeamShare, len(entries))
	for _, entry := range entries {
		teams := len(shares) / len(entries)
		byEntry[entry] = make([]*sqrpc.TeamShare, 0, teams)
		messages[entry] = make([]sqrpc.TeamShare, teams)
	}
	for _, s := range shares {
		m := &messages[s.Entry()][len(byEntry[s.Entry()])]
		fillShare(m, s)
		byEntry[s.Entry()] = append(byEntry[s.Entry()], m)
	}
	return byEntry
}

func teamLimits(cfg *sqcommand.Configuration) []sqadmit.TeamLimits {
	limits := make([]sqadmit.TeamLimits, 0, len(cfg.GetTeams()))
	for _, team := range cfg.GetTeams() {
		limits = append(limits, sqadmit.TeamLimits{
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
	out.Team, out.Weight = s.Team(), roundWeight(s.Weight())
	if s.TokensPerSecond() != sqadmit.Unbounded {
		out.RateBounded = true
		out.TokensPerSecond = uint64(s.TokensPerSecond())
	}
	if s.MaxRunning() != sqadmit.Unbounded {
		out.RunningBounded = true
		out.MaxRunning = uint32(s.MaxRunning())
	}
}

// weightSteps is the number of steps per 1.0 to which weights are rounded, so that
// entries are not sent every small change of the demand.
const weightSteps = 20

func roundWeight(weight float64) float64 {
	return max(sqadmit.MinWeight, math.Round(weight*weightSteps)/weightSteps)
}

// shares returns the shares of one entry. If the last split did not include the
// entry because it is new, the shares are split again.
func (h *holder) shares(now time.Time, t *termState, entry string) []*sqrpc.TeamShare {
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
