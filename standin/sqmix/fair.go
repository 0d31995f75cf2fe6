package sqmix

// setFairRatios sets each team's FairRatio: its on-time tokens divided by its
// weighted max-min fair share of the on-time tokens of all teams. The shares
// are computed in rounds: each round divides the remaining tokens by weight
// among the teams whose demand is not met yet.
func setFairRatios(teams []TeamReport) {
	remaining := 0.0
	unsatisfied := map[int]bool{}
	fair := make([]float64, len(teams))
	for i, t := range teams {
		remaining += t.onTimeTokens
		if t.demandTokens > 0 && t.weight > 0 {
			unsatisfied[i] = true
		}
	}
	for remaining > 1e-9 && len(unsatisfied) > 0 {
		remaining = distributeRound(teams, unsatisfied, fair, remaining)
	}
	for i := range teams {
		teams[i].FairRatio = 1
		if fair[i] > 0 {
			teams[i].FairRatio = teams[i].onTimeTokens / fair[i]
		}
	}
}

// distributeRound divides the remaining tokens once by weight among the
// unsatisfied teams, adds the parts to fair, removes the teams whose demand is
// met, and returns the tokens that no team needed.
func distributeRound(teams []TeamReport, unsatisfied map[int]bool, fair []float64, remaining float64) float64 {
	weights := 0.0
	for i := range unsatisfied {
		weights += teams[i].weight
	}
	available := remaining
	for i := range teams {
		if !unsatisfied[i] {
			continue
		}
		part := available * teams[i].weight / weights
		if unmet := teams[i].demandTokens - fair[i]; part >= unmet {
			part = unmet
			delete(unsatisfied, i)
		}
		fair[i] += part
		remaining -= part
	}
	return remaining
}
