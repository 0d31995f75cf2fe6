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

// refreshTimeout bounds one request for the address list.
const refreshTimeout = time.Second

// Addresses caches the list of entry addresses for the callers of one zone. It
// is safe for concurrent use.
type Addresses struct {
	client *http.Client
	zone   string

	mu        sync.Mutex
	seeds     []string
	entries   []listedEntry
	expiresAt time.Time
}

type listedEntry struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

type addressesResponse struct {
	Addresses  []listedEntry `json:"addresses"`
	KeepMillis int64         `json:"keepMillis"`
}

// AddressesConfig configures Addresses.
type AddressesConfig struct {
	Client *http.Client
	// Zone is the callers' availability zone.
	Zone string
	// Entries are the initial addresses, which are asked for the list. At least
	// one is needed.
	Entries []string
}

// NewAddresses returns a cache that requests the list on first use.
func NewAddresses(cfg AddressesConfig) *Addresses {
	if cfg.Client == nil {
		cfg.Client = NewClient()
	}
	return &Addresses{client: cfg.Client, zone: cfg.Zone, seeds: slices.Clone(cfg.Entries)}
}

// pick returns a random address from the first zone of the list, which is the
// nearest one. If exclude is set, it returns any other address, or exclude if
// the list has no other.
func (a *Addresses) pick(random *rand.Rand, exclude string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if time.Now().After(a.expiresAt) {
		a.refresh(random, exclude)
	}
	if len(a.entries) == 0 {
		return a.seeds[random.IntN(len(a.seeds))]
	}
	candidates := a.entries
	if exclude != "" {
		candidates = slices.DeleteFunc(slices.Clone(a.entries), func(e listedEntry) bool { return e.Address == exclude })
		if len(candidates) == 0 {
			return exclude
		}
		// The attempt to exclude failed, so any other entry will do, in any zone.
		return candidates[random.IntN(len(candidates))].Address
	}
	var nearest []string
	for _, e := range candidates {
		if e.Zone == candidates[0].Zone {
			nearest = append(nearest, e.Address)
		}
	}
	return nearest[random.IntN(len(nearest))]
}

// refresh requests the list from the initial addresses in random order, except
// from the excluded one, until one responds. If none does, the expired list stays
// in use. The caller holds the lock.
func (a *Addresses) refresh(random *rand.Rand, exclude string) {
	order := random.Perm(len(a.seeds))
	for _, i := range order {
		if a.seeds[i] == exclude {
			continue
		}
		if a.refreshFrom(a.seeds[i]) {
			return
		}
	}
}

// refreshFrom requests the list from one address and reports whether it got one.
func (a *Addresses) refreshFrom(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
	defer cancel()
	target := "http://" + address + "/sequoiadock/addresses?zone=" + url.QueryEscape(a.zone)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return false
	}
	requestedAt := time.Now()
	res, err := a.client.Do(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	var answer addressesResponse
	if res.StatusCode != http.StatusOK || json.NewDecoder(res.Body).Decode(&answer) != nil || len(answer.Addresses) == 0 {
		return false
	}
	a.entries = answer.Addresses
	a.expiresAt = requestedAt.Add(time.Duration(answer.KeepMillis) * time.Millisecond)
	return true
}

// List returns the cached addresses, without a refresh.
func (a *Addresses) List() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var all []string
	for _, e := range a.entries {
		all = append(all, e.Address)
	}
	return all
}
