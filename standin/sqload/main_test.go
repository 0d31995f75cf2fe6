package main

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiadock/standin/sqmix"
)

func TestTeamsFile(t *testing.T) {
	tests := []struct {
		name, file, err string
		want            []sqmix.Team
	}{
		{"two", "gent:k1:4:2\nmol:k2:1:0.5\n", "", []sqmix.Team{
			{Name: "gent", Key: "k1", Share: 4, Demand: 2}, {Name: "mol", Key: "k2", Share: 1, Demand: 0.5},
		}},
		{"no demand", "gent:k1:4\n", "read flags: a team is name:key:share:demand", nil},
		{"no number", "gent:k1:x:1\n", "read flags: share of team gent: strconv.ParseFloat: parsing \"x\": invalid syntax", nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "teams")
			assert.NilError(t, os.WriteFile(path, []byte(tt.file), 0o600))
			var cfg sqmix.Config
			err := setConfig(&cfg, "127.0.0.1:1", "", path)
			if tt.err != "" {
				assert.Error(t, err, tt.err)
				return
			}
			assert.NilError(t, err)
			assert.DeepEqual(t, cfg.Teams, tt.want)
		})
	}
}
