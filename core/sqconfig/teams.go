package sqconfig

import (
	"encoding/hex"
	"strconv"

	"sequoiadock/core/sqcommand"
)

// Limits and defaults of the teams' settings. maxShareTotal limits the sum over all
// teams, maxTeamRequests the running and the queued requests of one team.
const (
	maxShare           = 10_000
	maxShareTotal      = 1_000_000
	maxTokensPerSecond = 1_000_000_000
	maxTeamRequests    = 1_000_000
	defaultMaxQueued   = 256
	sha256Bytes        = 32
)

// teamsFile is the content of teams.toml.
type teamsFile struct {
	Teams []struct {
		Name            string `toml:"name"`
		Share           uint32 `toml:"share"`
		TokensPerSecond uint64 `toml:"tokensPerSecond"`
		MaxRunning      uint32 `toml:"maxRunning"`
		MaxQueued       uint32 `toml:"maxQueued"`
	} `toml:"teams"`
	Keys []struct {
		ID     string `toml:"id"`
		Team   string `toml:"team"`
		SHA256 string `toml:"sha256"`
	} `toml:"keys"`
}

func readTeams(c *collector, f File) {
	var t teamsFile
	k := decode(f, &t)
	if len(t.Teams) == 0 {
		k.AddError("teams", "no team is declared", "write [[teams]] and below it name = \"team\"")
	}
	for i := range t.Teams {
		t.addTeam(c, k, i)
	}
	for i := range t.Keys {
		t.addKey(c, k, i)
	}
	c.addFileErrors(k)
	c.crossChecks = append(c.crossChecks, func() { t.checkTotals(c, k) })
}

func (t *teamsFile) addTeam(c *collector, k *checker, i int) {
	path := elementPath("teams", i)
	team := &t.Teams[i]
	c.defineName(k, path+".name", "team", team.Name)
	c.cfg.Teams = append(c.cfg.Teams, &sqcommand.Team{
		Name:            team.Name,
		Share:           uint32(k.checkOptional(path+".share", uint64(team.Share), 1, 1, maxShare)),
		TokensPerSecond: k.checkOptional(path+".tokensPerSecond", team.TokensPerSecond, 0, 0, maxTokensPerSecond),
		MaxRunning:      uint32(k.checkOptional(path+".maxRunning", uint64(team.MaxRunning), 0, 0, maxTeamRequests)),
		MaxQueued:       uint32(k.checkOptional(path+".maxQueued", uint64(team.MaxQueued), defaultMaxQueued, 1, maxTeamRequests)),
	})
}

func (t *teamsFile) addKey(c *collector, k *checker, i int) {
	path := elementPath("keys", i)
	key := &t.Keys[i]
	c.defineName(k, path+".id", "key", key.ID)
	if k.CheckName(path+".team", key.Team) {
		c.checkReference(k.Position(path+".team"), "team", key.Team)
	}
	hash, err := hex.DecodeString(key.SHA256)
	if err != nil || len(hash) != sha256Bytes {
		// The error does not contain the value, which may be the secret key itself.
		k.AddError(path+".sha256", "not a SHA-256", "write the 64 hex digits that \"sequoiadock key hash\" prints")
		return
	}
	place := k.Position(path + ".sha256")
	id := "hash " + string(hash)
	if first, ok := c.definitions[id]; ok {
		k.AddError(path+".sha256", "the same key is declared twice, first at "+first.String(), "create a separate key for each entry")
		return
	}
	c.definitions[id] = place
	c.cfg.Keys = append(c.cfg.Keys, &sqcommand.Key{Id: key.ID, Team: key.Team, Sha256: hash})
}

// checkTotals checks the totals of the teams' limits against the limits of the
// deployment.
func (t *teamsFile) checkTotals(c *collector, k *checker) {
	var shares, tokens, running uint64
	for i := range t.Teams {
		team := &t.Teams[i]
		path := elementPath("teams", i)
		shares += uint64(team.Share)
		tokens += team.TokensPerSecond
		running += uint64(team.MaxRunning)
		c.checkTotal(k, path+".share", "shares", shares, uint64(team.Share), maxShareTotal)
		c.checkTotal(k, path+".tokensPerSecond", "tokensPerSecond", tokens, team.TokensPerSecond, c.limits.TokensPerSecond)
		c.checkTotal(k, path+".maxRunning", "maxRunning", running, uint64(team.MaxRunning), uint64(c.limits.MaxRunning))
	}
}

// checkTotal adds an error if value is the one that takes the running total over
// the limit. A limit of 0 means none.
func (c *collector) checkTotal(k *checker, path, quantity string, total, value, limit uint64) {
	if limit == 0 || total <= limit || total-value > limit {
		return
	}
	detail := "the teams' " + quantity + " add up to " + strconv.FormatUint(total, 10) + ", over the limit of " + strconv.FormatUint(limit, 10)
	c.addError(k.Position(path), detail, "lower a team's value by "+strconv.FormatUint(total-limit, 10)+" or raise the limit in "+DeploymentFile)
}
