package sqconfig

import (
	"encoding/hex"
	"strconv"

	"sequoiadock/core/sqcommand"
)

// Bounds of a team.
const (
	maxShare        = 10_000
	maxShares       = 1_000_000
	maxTokensSecond = 1_000_000_000
	maxRequests     = 1_000_000
	defaultQueued   = 256
	hashBytes       = 32
)

// teamsFile is teams.toml as written.
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
		t.team(c, k, i)
	}
	for i := range t.Keys {
		t.key(c, k, i)
	}
	c.finish(k)
	c.later = append(c.later, func() { t.checkSums(c, k) })
}

func (t *teamsFile) team(c *collector, k *checker, i int) {
	path := at("teams", i)
	team := &t.Teams[i]
	c.named(k, path+".name", "team", team.Name)
	c.cfg.Teams = append(c.cfg.Teams, &sqcommand.Team{
		Name:            team.Name,
		Share:           uint32(k.optional(path+".share", uint64(team.Share), 1, 1, maxShare)),
		TokensPerSecond: k.optional(path+".tokensPerSecond", team.TokensPerSecond, 0, 0, maxTokensSecond),
		MaxRunning:      uint32(k.optional(path+".maxRunning", uint64(team.MaxRunning), 0, 0, maxRequests)),
		MaxQueued:       uint32(k.optional(path+".maxQueued", uint64(team.MaxQueued), defaultQueued, 1, maxRequests)),
	})
}

func (t *teamsFile) key(c *collector, k *checker, i int) {
	path := at("keys", i)
	key := &t.Keys[i]
	c.named(k, path+".id", "key", key.ID)
	if k.CheckName(path+".team", key.Team) {
		c.refer(k.Place(path+".team"), "team", key.Team)
	}
	hash, err := hex.DecodeString(key.SHA256)
	if err != nil || len(hash) != hashBytes {
		// The value is not repeated: it may be the key itself.
		k.AddError(path+".sha256", "not a SHA-256", "write the 64 hex digits that \"sequoiadock key hash\" prints")
		return
	}
	place := k.Place(path + ".sha256")
	id := "hash " + string(hash)
	if first, ok := c.seen[id]; ok {
		k.AddError(path+".sha256", "the same key is declared twice, first at "+first.String(), "draw a key of its own for each entry")
		return
	}
	c.seen[id] = place
	c.cfg.Keys = append(c.cfg.Keys, &sqcommand.Key{Id: key.ID, Team: key.Team, Sha256: hash})
}

// checkSums compares what the teams' bounds add up to with the limits of the
// deployment.
func (t *teamsFile) checkSums(c *collector, k *checker) {
	var shares, tokens, running uint64
	for i := range t.Teams {
		team := &t.Teams[i]
		path := at("teams", i)
		shares += uint64(team.Share)
		tokens += team.TokensPerSecond
		running += uint64(team.MaxRunning)
		c.checkSum(k, path+".share", "shares", shares, uint64(team.Share), maxShares)
		c.checkSum(k, path+".tokensPerSecond", "tokensPerSecond", tokens, team.TokensPerSecond, c.limit.TokensPerSecond)
		c.checkSum(k, path+".maxRunning", "maxRunning", running, uint64(team.MaxRunning), uint64(c.limit.MaxRunning))
	}
}

// checkSum reports the one value that takes a sum over its limit.
func (c *collector) checkSum(k *checker, path, what string, sum, last, limit uint64) {
	if limit == 0 || sum <= limit || sum-last > limit {
		return
	}
	detail := "the teams' " + what + " add up to " + strconv.FormatUint(sum, 10) + ", over the limit of " + strconv.FormatUint(limit, 10)
	c.add(k.Place(path), detail, "lower a team's value by "+strconv.FormatUint(sum-limit, 10)+" or raise the limit in "+DeploymentFile)
}
