package sqlimit

import (
	"maps"
	"slices"
	"time"
)

// Keeper is a gateway's part: it knows the limits and holds the permits. It is not safe
// for concurrent use.
type Keeper struct {
	// term is that of the lease holder that last responded.
	term   uint64
	limits map[string]*keeperLimit
	// unsent holds the last report on each endpoint that no lease holder has acknowledged.
	unsent map[string]Report
}

// keeperLimit is a limit that the gateway knows of.
type keeperLimit struct {
	report  Report
	permits []permits
	// wanted counts the requests since the last heartbeat that were sent with a permit or
	// would have been.
	wanted int
}

// permits are some permits that expire at the same time.
type permits struct {
	count int
	until time.Time
}

// NewKeeper returns a keeper that knows of no limit.
func NewKeeper() *Keeper {
	return &Keeper{limits: map[string]*keeperLimit{}, unsent: map[string]Report{}}
}

// Record records what a response to this gateway says. It returns true if the limit that
// the gateway knows of changes.
func (k *Keeper) Record(r Report) bool {
	l := k.limits[r.Endpoint]
	switch {
	case l == nil && !r.Named:
		return false
	case l != nil && !r.overrides(l.report):
		return false
	}
	k.unsent[r.Endpoint] = r
	if !r.Named {
		delete(k.limits, r.Endpoint)
		return true
	}
	if l == nil {
		k.limits[r.Endpoint] = &keeperLimit{report: r}
		return true
	}
	changed := !r.sameLimit(l.report)
	l.report = r
	return changed
}

// Available reports whether the endpoint may get a request: it has no limit, or there is a
// permit.
func (k *Keeper) Available(now time.Time, endpoint string) bool {
	l := k.limits[endpoint]
	return l == nil || l.valid(now) > 0
}

// Limited reports whether the gateway knows of a limit of the endpoint.
func (k *Keeper) Limited(endpoint string) bool { return k.limits[endpoint] != nil }

// Len returns the number of limits that the gateway knows of.
func (k *Keeper) Len() int { return len(k.limits) }

// Want records that a request would have been sent to the endpoint with a permit.
func (k *Keeper) Want(endpoint string) {
	if l := k.limits[endpoint]; l != nil {
		l.want()
	}
}

func (l *keeperLimit) want() { l.wanted = min(l.wanted+1, maxWanted) }

// Take takes a permit for a request that is sent now. It returns false if the endpoint has
// a limit and there is no permit. All requests need one: also repeats, prefills and those
// that the endpoint will turn away.
func (k *Keeper) Take(now time.Time, endpoint string) bool {
	l := k.limits[endpoint]
	if l == nil {
		return true
	}
	if l.valid(now) == 0 {
		return false
	}
	l.permits[0].count--
	// As many requests will probably come again.
	l.want()
	return true
}

// valid drops the permits that have expired or are used up and returns how many are left.
func (l *keeperLimit) valid(now time.Time) int {
	l.permits = slices.DeleteFunc(l.permits, func(p permits) bool { return p.count == 0 || !now.Before(p.until) })
	n := 0
	for _, p := range l.permits {
		n += p.count
	}
	return n
}

// Want is how many permits for an endpoint a gateway asks for.
type Want struct {
	Endpoint string
	Requests int
}

// Message is what the gateway tells the lease holder in a heartbeat.
type Message struct {
	Reports []Report
	Wants   []Want
}

// Message returns what to tell the lease holder, sorted by endpoint. The wishes for
// permits start anew.
func (k *Keeper) Message() Message {
	var m Message
	for _, id := range slices.Sorted(maps.Keys(k.unsent)) {
		m.Reports = append(m.Reports, k.unsent[id])
	}
	for _, id := range slices.Sorted(maps.Keys(k.limits)) {
		if l := k.limits[id]; l.wanted > 0 {
			m.Wants = append(m.Wants, Want{Endpoint: id, Requests: l.wanted})
			l.wanted = 0
		}
	}
	return m
}

// Apply applies the response of the lease holder of a term to a heartbeat that was sent at
// sentAt with the reports. The limits are all that the holder knows of. It returns the
// endpoints whose limit is new to the gateway or has ended, sorted.
func (k *Keeper) Apply(sentAt time.Time, term uint64, sent []Report, limits []Limit) (changed []string) {
	for _, r := range sent {
		if k.unsent[r.Endpoint] == r {
			delete(k.unsent, r.Endpoint)
		}
	}
	told := make(map[string]bool, len(limits))
	for _, l := range limits {
		told[l.Endpoint] = true
		if k.applyLimit(sentAt, l) {
			changed = append(changed, l.Endpoint)
		}
	}
	isNewHolder := term != k.term
	k.term = term
	for id, l := range k.limits {
		_, isUnsent := k.unsent[id]
		switch {
		case told[id] || isUnsent:
		case isNewHolder:
			// A new holder knows nothing yet of what the one before was told.
			k.unsent[id] = l.report
		default:
			delete(k.limits, id)
			changed = append(changed, id)
		}
	}
	slices.Sort(changed)
	return changed
}

// applyLimit applies what the lease holder says of one endpoint and reports whether the
// limit is new.
func (k *Keeper) applyLimit(sentAt time.Time, in Limit) bool {
	r := Report{Endpoint: in.Endpoint, Named: true, PerSecond: in.PerSecond, At: in.At}
	if unsent, ok := k.unsent[in.Endpoint]; ok && !r.overrides(unsent) {
		if !unsent.Named {
			return false
		}
		r = unsent
	}
	l := k.limits[in.Endpoint]
	isNew := l == nil
	if isNew {
		l = &keeperLimit{}
		k.limits[in.Endpoint] = l
	}
	if isNew || r.overrides(l.report) {
		l.report = r
	}
	if in.Permits > 0 {
		l.permits = append(l.permits, permits{count: in.Permits, until: sentAt.Add(permitTerm)})
	}
	return isNew
}
