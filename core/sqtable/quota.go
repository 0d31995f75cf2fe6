package sqtable

import "math"

// maxTokens limits what one count of tokens adds to the units of a request, so that the
// sum cannot overflow.
const maxTokens = 1 << 40

// Units returns what a request counts as that announces the given tokens of its prompt and
// its output.
func (q Quota) Units(promptTokens, outputTokens int) uint64 {
	if !q.CountsTokens {
		return 1
	}
	if promptTokens <= 0 && outputTokens <= 0 {
		return uint64(min(q.PlainTokens, maxTokens))
	}
	return uint64(min(max(0, promptTokens), maxTokens)) + uint64(min(max(0, outputTokens), maxTokens))
}

// Limits reports whether there is a limit.
func (q Quota) Limits() bool { return q.RatePerS > 0 }

// addQuota validates the quota of a team and records it if there is a limit.
func (t *Table) addQuota(c TeamConfig) error {
	for _, v := range []float64{c.Quota.RatePerS, c.Quota.Burst, c.Quota.PlainTokens} {
		if v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
			return invalid("the quota of team " + c.Name + " has a figure that is negative or not finite")
		}
	}
	if !c.Quota.Limits() {
		return nil
	}
	if other, ok := t.quotas[c.Name]; ok && other != c.Quota {
		return invalid("team " + c.Name + " is declared twice with different quotas")
	}
	if t.quotas == nil {
		t.quotas = map[string]Quota{}
	}
	t.quotas[c.Name] = c.Quota
	return nil
}

// Quotas returns the quotas of the teams that have one, by name. The caller must not change
// the map.
func (t *Table) Quotas() map[string]Quota { return t.quotas }
