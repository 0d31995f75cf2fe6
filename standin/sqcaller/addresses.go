package sqcaller

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"
)

// askTimeout bounds one question for addresses.
const askTimeout = time.Second

// Addresses is the list of entries as a zone's callers know it. It is safe for
// concurrent use.
type Addresses struct {
	client *http.Client
	zone   string

	mu     sync.Mutex
	seeds  []string
	listed []listedEntry
	until  time.Time
}

type listedEntry struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

type addressAnswer struct {
	Addresses  []listedEntry `json:"addresses"`
	KeepMillis int64         `json:"keepMillis"`
}

// AddressesConfig configures Addresses.
type AddressesConfig struct {
	Client *http.Client
	// Zone is the callers' availability zone.
	Zone string
	// Entries are the addresses that callers know from the start.
	Entries []string
}

// NewAddresses returns a list that is asked for when it is first used.
func NewAddresses(cfg AddressesConfig) *Addresses {
	if cfg.Client == nil {
		cfg.Client = NewClient()
	}
	return &Addresses{client: cfg.Client, zone: cfg.Zone, seeds: slices.Clone(cfg.Entries)}
}

// pick returns an address of the nearest zone that has one, or another one than
// not when there is a choice.
func (a *Addresses) pick(random *rand.Rand, not string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if time.Now().After(a.until) {
		a.ask(random, not)
	}
	if len(a.listed) == 0 {
		return a.seeds[random.IntN(len(a.seeds))]
	}
	others := a.listed
	if not != "" {
		others = slices.DeleteFunc(slices.Clone(a.listed), func(e listedEntry) bool { return e.Address == not })
		if len(others) == 0 {
			return not
		}
		// After a failure any other entry is as good as the next.
		return others[random.IntN(len(others))].Address
	}
	var near []string
	for _, e := range others {
		if e.Zone == others[0].Zone {
			near = append(near, e.Address)
		}
	}
	return near[random.IntN(len(near))]
}

// ask asks the entries one after the other for the list; the lock is held. A
// list that is too old goes on when nobody answers.
func (a *Addresses) ask(random *rand.Rand, not string) {
	order := random.Perm(len(a.seeds))
	for _, i := range order {
		if a.seeds[i] == not {
			continue
		}
		if a.askOne(a.seeds[i]) {
			return
		}
	}
}

func (a *Addresses) askOne(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	target := "http://" + address + "/sequoiadock/addresses?zone=" + url.QueryEscape(a.zone)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return false
	}
	asked := time.Now()
	res, err := a.client.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	var answer addressAnswer
	if res.StatusCode != http.StatusOK || json.NewDecoder(res.Body).Decode(&answer) != nil || len(answer.Addresses) == 0 {
		return false
	}
	a.listed = answer.Addresses
	a.until = asked.Add(time.Duration(answer.KeepMillis) * time.Millisecond)
	return true
}

// List returns the addresses that are used now.
func (a *Addresses) List() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var all []string
	for _, e := range a.listed {
		all = append(all, e.Address)
	}
	return all
}
