package sqquota

import (
	"math"
	"time"
)

// Report is what a gateway says of its account of a team.
type Report struct {
	Team string
	// Returned counts the units that were given back since the gateway's process started.
	Returned uint64
	// Wanted is how many units the reserve lacks. It exceeds the size of a reserve if units
	// were charged without a check.
	Wanted uint64
}

// Refill is what a reserve is given.
type Refill struct {
	Team  string
	Units uint64
}

// Answer is the answer to a gateway that asks for units.
type Answer struct {
	Granted bool
	// RetryAfter is the time until the units are in the bucket, if they are not granted. It is
	// 0 if they never will be, because the request exceeds any burst.
	RetryAfter time.Duration
}

// Issuer is the lease holder's part. It gives out the units of all teams in one term. It is
// not safe for concurrent use.
type Issuer struct {
	bounds Bounds
	// startedAt is when the term began. Earlier holders may have given out all units until then.
	startedAt time.Time
	// gateways is the number of gateways that share the reserves.
	gateways int
	buckets  map[string]*bucket
	runs     map[string]*run
}

// bucket holds the units of a team.
type bucket struct {
	quota      Quota
	level      float64
	refilledAt time.Time
	// fullAt is when the bucket was last found full.
	fullAt time.Time
	// removed is set if the team has no quota any more. The bucket is kept until it is full, so
	// that a team whose quota comes back gets no units twice.
	removed bool
}

// run is what is known of one start of a gateway's process.
type run struct {
	reportedAt time.Time
	returned   map[string]uint64
}

// NewIssuer returns the issuer of a term that began at startedAt.
func NewIssuer(startedAt time.Time, b Bounds) *Issuer {
	return &Issuer{bounds: b, startedAt: startedAt, buckets: map[string]*bucket{}, runs: map[string]*run{}}
}

// SetQuotas replaces the quotas of all teams. A new bucket has what its rate gives since the
// start of the term.
func (s *Issuer) SetQuotas(now time.Time, quotas map[string]Quota) {
	for team, b := range s.buckets {
		b.refill(now)
		if _, ok := quotas[team]; !ok {
			b.removed = true
			if b.level >= b.quota.capacity() {
				delete(s.buckets, team)
			}
		}
	}
	for team, q := range quotas {
		b := s.buckets[team]
		if b == nil {
			b = &bucket{refilledAt: s.startedAt}
			s.buckets[team] = b
		}
		b.quota, b.removed = q, false
		b.level = min(b.level, q.capacity())
		b.refill(now)
	}
}

// SetGateways sets how many gateways share the reserves.
func (s *Issuer) SetGateways(n int) { s.gateways = n }

// Limited returns how many teams have a quota.
func (s *Issuer) Limited() int {
	n := 0
	for _, b := range s.buckets {
		if !b.removed {
			n++
		}
	}
	return n
}

func (b *bucket) refill(now time.Time) {
	if now.After(b.refilledAt) {
		b.level += b.quota.RatePerS * now.Sub(b.refilledAt).Seconds()
		b.refilledAt = now
	}
	if b.level >= b.quota.capacity() {
		b.level, b.fullAt = b.quota.capacity(), now
	}
}

// Grant gives out the units for the waiting requests of a team, or none of them. A request
// that is larger than the bucket gets them from a full one, whose level becomes negative.
func (s *Issuer) Grant(now time.Time, team string, units uint64) Answer {
	b := s.buckets[team]
	if b == nil || b.removed {
		return Answer{Granted: true}
	}
	b.refill(now)
	wanted := float64(units)
	if wanted > s.bounds.maxRequest(b.quota) {
		return Answer{}
	}
	if missing := min(wanted, b.quota.capacity()) - b.level; missing > 0 {
		wait := time.Duration(math.Ceil(missing / b.quota.RatePerS * float64(time.Second)))
		return Answer{RetryAfter: max(wait, time.Millisecond)}
	}
	b.level -= wanted
	return Answer{Granted: true}
}

// Exchange credits what a gateway gave back and returns what its reserves are given. The
// first report on a team in the term only says where its count begins, since earlier holders
// may have credited it.
func (s *Issuer) Exchange(now time.Time, runID string, reports []Report) []Refill {
	r := s.runs[runID]
	if r == nil {
		r = &run{reportedAt: now, returned: map[string]uint64{}}
		s.runs[runID] = r
	}
	previous := r.reportedAt
	r.reportedAt = now
	var refills []Refill
	for _, report := range reports {
		b := s.buckets[report.Team]
		if b == nil || b.removed {
			continue
		}
		b.refill(now)
		returned, known := r.returned[report.Team]
		if known && report.Returned > returned {
			b.credit(now, previous, float64(report.Returned-returned))
		}
		r.returned[report.Team] = max(returned, report.Returned)
		if n := s.refillReserve(b, report.Wanted); n > 0 {
			refills = append(refills, Refill{Team: report.Team, Units: n})
		}
	}
	return refills
}

// credit adds units that a gateway gave back since its previous report. If the bucket was
// full in the meantime, it would have overflowed with them.
func (b *bucket) credit(now, previous time.Time, units float64) {
	if !b.fullAt.IsZero() && !b.fullAt.Before(previous.Add(-grantTerm)) {
		return
	}
	b.level += units
	b.refill(now)
}

// refillReserve takes from the bucket what a gateway's reserve is given. What the reserve
// lacks beyond its size was charged without a check: the units are used, so that debt is
// taken in any case. The reserve itself leaves a part of the bucket.
func (s *Issuer) refillReserve(b *bucket, wanted uint64) uint64 {
	if s.gateways == 0 {
		return 0
	}
	size := s.bounds.reserveAt(b.quota, s.gateways)
	debt := max(wanted, size) - size
	b.level -= float64(debt)
	available := b.level - b.quota.capacity()*reserveFloorPercent/100
	n := min(wanted-debt, uint64(max(0, available)))
	b.level -= float64(n)
	return debt + n
}

// Forget forgets the runs that have not reported for the given time.
func (s *Issuer) Forget(now time.Time, silence time.Duration) {
	for id, r := range s.runs {
		if now.Sub(r.reportedAt) > silence {
			delete(s.runs, id)
		}
	}
}
