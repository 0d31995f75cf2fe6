package sqcluster

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Names in the files that Declarations.Write writes.
const (
	Deployment   = "proof"
	ModelName    = "walks"
	ModelVersion = "walks@3"
	Assistant    = "assistant"
	Booking      = "booking"
	// Meetups is a plain service that callers use without a key.
	Meetups = "meetups"
)

// Prices of an engine per hour, in thousandths of the currency unit.
const (
	DearPrice  = 3000
	CheapPrice = 900
)

// Team is a declared team with one key.
type Team struct {
	name  string
	share int
}

// NewTeam returns a team with the given share, a relative weight.
func NewTeam(name string, share int) Team { return Team{name: name, share: share} }

// Name returns the name of the team.
func (t Team) Name() string { return t.name }

// Share returns the relative weight of the team.
func (t Team) Share() int { return t.share }

// Key returns the secret key of the team.
func (t Team) Key() string { return "key-of-" + t.name + "-0123456789" }

// KeyID returns the identifier that operators use for the key.
func (t Team) KeyID() string { return t.name + "-1" }

// DefaultTeams returns two teams with share 4 and six with share 1.
func DefaultTeams() []Team {
	teams := []Team{NewTeam("brugge", 4), NewTeam("gent", 4)}
	for _, name := range []string{"aalst", "diest", "geel", "ieper", "lier", "mol"} {
		teams = append(teams, NewTeam(name, 1))
	}
	return teams
}

// Declarations are the files that an operator publishes. Zero values have
// defaults.
type Declarations struct {
	Teams []Team
	Zones []string
	// Deadline, FirstToken and BetweenTokens are timeouts of the assistant service.
	Deadline, FirstToken, BetweenTokens time.Duration
	// RecognisesIdentity declares that the booking service detects repeated call
	// identities.
	RecognisesIdentity bool
	MinEngines         int
	MaxEngines         int
	// Arrival, RoleChange and BillingWindow are in whole seconds.
	Arrival, RoleChange, BillingWindow time.Duration
	// OrdersEnabled lets the product order endpoints from the platform and release
	// them.
	OrdersEnabled bool
	// Weights weigh the planner's objectives against each other.
	Weights Weights
}

// Weights are the relative weights of a deployment's objectives.
type Weights struct {
	Goodput, WorstTeam, Cost, Reports int
}

func (d Declarations) withDefaults() Declarations {
	if d.Teams == nil {
		d.Teams = DefaultTeams()
	}
	if d.Zones == nil {
		d.Zones = DefaultZones()
	}
	setDefault(&d.Deadline, 20*time.Second)
	setDefault(&d.FirstToken, 5*time.Second)
	setDefault(&d.BetweenTokens, 2*time.Second)
	setDefault(&d.Arrival, time.Second)
	setDefault(&d.RoleChange, time.Second)
	setDefault(&d.BillingWindow, time.Hour)
	if d.Weights == (Weights{}) {
		d.Weights = Weights{Goodput: 4, WorstTeam: 4, Cost: 1, Reports: 1}
	}
	if d.MinEngines == 0 {
		d.MinEngines = 1
	}
	if d.MaxEngines == 0 {
		d.MaxEngines = 40
	}
	return d
}

func setDefault(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}

// Write writes the declaration files below dir.
func (d Declarations) Write(dir string) error {
	d = d.withDefaults()
	files := map[string]string{
		"deployment.toml": d.deployment(), "teams.toml": d.teams(),
		"models.toml":               "[[models]]\nname = \"walks\"\nversion = \"3\"\nweightBytes = 1_000_000\n",
		Assistant + "/service.toml": d.assistant(),
		Booking + "/service.toml":   d.booking(),
		Meetups + "/service.toml":   d.meetups(),
	}
	for name, content := range files {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			return operationError("write declarations", err)
		}
		if err := os.WriteFile(path, []byte(content), 0o644); err != nil {
			return operationError("write declarations", err)
		}
	}
	return nil
}

func (d Declarations) deployment() string {
	return fmt.Sprintf(`deployment = %q

[fleet]
zones = [%s]
minEngines = %d
maxEngines = %d
dearPrice = %d
cheapPrice = %d
arrivalSeconds = %d
roleChangeSeconds = %d
billingWindowSeconds = %d
ordersEnabled = %t

[weights]
goodput = %d
worstTeam = %d
cost = %d
reports = %d
`, Deployment, quotedList(d.Zones), d.MinEngines, d.MaxEngines, DearPrice, CheapPrice, int(d.Arrival.Seconds()),
		int(d.RoleChange.Seconds()), int(d.BillingWindow.Seconds()), d.OrdersEnabled,
		d.Weights.Goodput, d.Weights.WorstTeam, d.Weights.Cost, d.Weights.Reports)
}

func (d Declarations) teams() string {
	var b strings.Builder
	for _, t := range d.Teams {
		fmt.Fprintf(&b, "[[teams]]\nname = %q\nshare = %d\nmaxQueued = 2000\n\n", t.name, t.share)
	}
	for _, t := range d.Teams {
		sum := sha256.Sum256([]byte(t.Key()))
		fmt.Fprintf(&b, "[[keys]]\nid = %q\nteam = %q\nsha256 = %q\n\n", t.KeyID(), t.name, hex.EncodeToString(sum[:]))
	}
	return b.String()
}

func (d Declarations) assistant() string {
	return fmt.Sprintf(`name = %q
kind = "assistant"
models = [%q]
deadline = %q
firstToken = %q
betweenTokens = %q
objectivePercent = 99
cheapAllowed = true
`, Assistant, ModelName, d.Deadline, d.FirstToken, d.BetweenTokens)
}

func (d Declarations) booking() string {
	return fmt.Sprintf(`name = %q
kind = "plain"
route = "/booking"
onceCalls = ["POST /booking/places"]
recognisesIdentity = %t
deadline = "5s"
objectivePercent = 99.5
retainCalls = "24h"
`, Booking, d.RecognisesIdentity)
}

func (d Declarations) meetups() string {
	return fmt.Sprintf(`name = %q
kind = "plain"
route = "/meetups"
open = true
deadline = "5s"
objectivePercent = 99.5
`, Meetups)
}

func quotedList(names []string) string {
	quoted := make([]string, len(names))
	for i, n := range names {
		quoted[i] = fmt.Sprintf("%q", n)
	}
	return strings.Join(quoted, ", ")
}
