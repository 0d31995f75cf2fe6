package sqcontrol

import (
	"testing"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqadmit"
)

func TestSharesByEntry(t *testing.T) {
	cfg := sqadmit.SplitConfig{
		Entries: []string{"n2", "n1"},
		Limits: []sqadmit.TeamLimits{
			{Team: "free", Share: 1, TokensPerSecond: sqadmit.Unbounded, MaxRunning: sqadmit.Unbounded},
			{Team: "bounded", Share: 2, TokensPerSecond: 10, MaxRunning: sqadmit.Unbounded},
		},
	}
	byEntry := sharesByEntry(sqadmit.SplitShares(cfg), cfg.Entries)
	for _, entry := range cfg.Entries {
		assert.Equal(t, len(byEntry[entry]), 1)
		assert.Equal(t, byEntry[entry][0].GetTeam(), "bounded")
		assert.Equal(t, byEntry[entry][0].GetTokensPerSecond(), uint64(5))
	}
	// Without limits and work there are no shares, but each entry has a list.
	byEntry = sharesByEntry(nil, cfg.Entries)
	assert.Assert(t, byEntry["n1"] != nil && byEntry["n2"] != nil)
}
