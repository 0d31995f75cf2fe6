package sqquota

import (
	"slices"
	"strings"
	"time"
)

// Verdict says whether a request may be sent.
type Verdict int

// Verdicts.
const (
	// Charged means that the request may be sent.
	Charged Verdict = iota
	// Ask means that the lease holder has to be asked for the units.
	Ask
	// Over means that the team is over its quota.
	Over
)

// Account is a gateway's part. It is not safe for concurrent use.
type Account struct {
	bounds   Bounds
	gateways int
	teams    map[string]*teamAccount
	// returnedBefore holds the units that teams without a quota gave back while they had one.
	returnedBefore map[string]uint64
	// heardAt is when the last answered heartbeat was sent, term that of the holder that
	// answered it, and termAt when its first answer came.
	heardAt time.Time
	term    uint64
	termAt  time.Time
	// isJoining is set until joinDelay after joinedAt, the first answer after none for long.
	isJoining bool
	joinedAt  time.Time
}

// teamAccount is the account of one team.
type teamAccount struct {
	quota Quota
	// size is how many units the reserve holds at most. reserve is negative after charges
	// without a check.
	size, reserve int64
	// returned counts the units that were given back since the process started, reported is
	// its value in the last heartbeat that was answered, and reportedTerm the term of that.
	returned, reported, reportedTerm uint64
	// refusedUntil is until when the holder is not asked again. enoughAt is when the bucket
	// has refusedUnits if nobody else is given any.
	refusedUntil, enoughAt time.Time
	refusedUnits           uint64
}

// NewAccount returns an account without quotas.
func NewAccount(b Bounds) *Account {
	return &Account{bounds: b, teams: map[string]*teamAccount{}, returnedBefore: map[string]uint64{}}
}

// SetQuotas replaces the quotas of all teams.
func (a *Account) SetQuotas(quotas map[string]Quota) {
	for team, t := range a.teams {
		if _, ok := quotas[team]; !ok {
			a.returnedBefore[team] = t.returned
			delete(a.teams, team)
		}
	}
	for team, q := range quotas {
		t := a.teams[team]
		if t == nil {
			t = &teamAccount{returned: a.returnedBefore[team]}
			a.teams[team] = t
			delete(a.returnedBefore, team)
		}
		t.quota = q
		a.resize(t)
	}
}

// SetGateways sets how many gateways share the reserves, as the holder says; 0 means that it
// does not know.
func (a *Account) SetGateways(now time.Time, n int) {
	if n == 0 || n == a.gateways || n < a.gateways && now.Sub(a.termAt) < reserveTerm {
		return
	}
	a.gateways = n
	a.resizeAll()
}

func (a *Account) resizeAll() {
	for _, t := range a.teams {
		a.resize(t)
	}
}

// resize sets the size of the reserve and drops what it holds beyond that.
func (a *Account) resize(t *teamAccount) {
	t.size = 0
	if !a.isJoining {
		t.size = int64(a.bounds.reserveAt(t.quota, a.gateways))
	}
	t.reserve = min(t.reserve, t.size)
}

// Limited returns how many teams have a quota.
func (a *Account) Limited() int { return len(a.teams) }

// Charge charges a request to the reserve of its team if that holds the units. The time until
// the request would be admitted is returned with Over.
func (a *Account) Charge(now time.Time, team string, units uint64) (Verdict, time.Duration) {
	verdict, retryAfter := a.Check(now, team, units)
	if t := a.teams[team]; t != nil && verdict == Charged {
		t.reserve -= int64(units)
	}
	return verdict, retryAfter
}

// Check returns what Charge would return, and charges nothing.
func (a *Account) Check(now time.Time, team string, units uint64) (Verdict, time.Duration) {
	t := a.teams[team]
	if t == nil || units == 0 {
		return Charged, 0
	}
	if units <= uint64(max(0, t.reserve)) && now.Sub(a.heardAt) < reserveTerm {
		return Charged, 0
	}
	if now.Before(t.refusedUntil) {
		return Over, a.RetryAfter(now, team, units)
	}
	return Ask, 0
}

// ChargeUnchecked charges the retry of a request that may have run.
func (a *Account) ChargeUnchecked(team string, units uint64) {
	if t := a.teams[team]; t != nil {
		t.reserve -= int64(units)
	}
}

// GiveBack takes back the units of a request that was not sent, or of a grant that nobody
// waits for any more.
func (a *Account) GiveBack(team string, units uint64) {
	t := a.teams[team]
	if t == nil {
		return
	}
	kept := min(units, uint64(max(0, t.size-t.reserve)))
	t.reserve += int64(kept)
	t.returned += units - kept
}

// MaySpend reports whether units that the holder was asked for at askedAt may be spent.
func MaySpend(askedAt, now time.Time) bool { return now.Sub(askedAt) < grantTerm }

// RecordTerm records the term of the holder that has answered a call or a heartbeat.
func (a *Account) RecordTerm(now time.Time, term uint64) {
	if term > a.term {
		a.term, a.termAt = term, now
	}
}

// IsNewHolder reports whether the lease holder first answered a short time ago.
func (a *Account) IsNewHolder(now time.Time) bool { return now.Sub(a.termAt) < newHolderTime }

// Refuse records that the holder refused units. If the holder is new, it returns the time after
// which the waiting requests should be asked for again, and otherwise 0.
func (a *Account) Refuse(now time.Time, team string, units uint64, retryAfter time.Duration) time.Duration {
	t := a.teams[team]
	if t == nil || retryAfter <= 0 {
		return 0
	}
	t.enoughAt, t.refusedUnits = now.Add(retryAfter), units
	pause := min(max(retryAfter, time.Duration(a.gateways)*refusalPerGateway), maxRefusalTerm)
	if a.IsNewHolder(now) {
		return pause
	}
	t.refusedUntil = now.Add(pause)
	return 0
}

// RetryAfter returns the time until a request would be admitted, by the last refusal. It is 0
// if the request is larger than any that is admitted.
func (a *Account) RetryAfter(now time.Time, team string, units uint64) time.Duration {
	t := a.teams[team]
	if t == nil || float64(units) > a.bounds.maxRequest(t.quota) {
		return 0
	}
	return t.retryAfter(now, units)
}

func (t *teamAccount) retryAfter(now time.Time, units uint64) time.Duration {
	difference := min(float64(units), t.quota.capacity()) - min(float64(t.refusedUnits), t.quota.capacity())
	wait := t.enoughAt.Sub(now) + time.Duration(difference/t.quota.RatePerS*float64(time.Second))
	return max(wait, t.refusedUntil.Sub(now), time.Millisecond)
}

// Batch returns for how many of the waiting requests, in order, the holder is asked at once:
// no more than a bucket holds, but at least one.
func (a *Account) Batch(team string, waiting []uint64) int {
	t := a.teams[team]
	if t == nil {
		return len(waiting)
	}
	left := t.quota.capacity()
	for i, units := range waiting {
		if left -= float64(units); left < 0 {
			return max(1, i)
		}
	}
	return len(waiting)
}

// Fitting returns how many of the waiting requests, in order, the bucket held enough for when
// the holder refused the sum of them. If no request as large as the sum is ever granted, which
// happens if the holder knows a lower quota, the first one is asked for on its own.
func (a *Account) Fitting(team string, waiting []uint64, retryAfter time.Duration) int {
	t := a.teams[team]
	if t == nil || len(waiting) <= 1 {
		return 0
	}
	if retryAfter <= 0 {
		return 1
	}
	var sum float64
	for _, units := range waiting {
		sum += float64(units)
	}
	held := min(sum, t.quota.capacity()) - retryAfter.Seconds()*t.quota.RatePerS
	for i, units := range waiting {
		if held -= float64(units); held < 0 {
			return i
		}
	}
	// The sum was refused, so all of them never fit.
	return len(waiting) - 1
}

// Reports returns what to tell the lease holder, sorted by team.
func (a *Account) Reports() []Report {
	var reports []Report
	for team, t := range a.teams {
		wanted := max(0, t.size-t.reserve)
		if wanted == 0 && t.returned == t.reported && t.reportedTerm == a.term {
			continue
		}
		reports = append(reports, Report{Team: team, Returned: t.returned, Wanted: uint64(wanted)})
	}
	slices.SortFunc(reports, func(x, y Report) int { return strings.Compare(x.Team, y.Team) })
	return reports
}

// Apply applies the answer that came now to a heartbeat that was sent at sentAt with the
// reports. Refills that come too late are dropped.
func (a *Account) Apply(sentAt, now time.Time, term uint64, sent []Report, refills []Refill) {
	switch {
	case sentAt.Sub(a.heardAt) >= reserveTerm:
		a.isJoining, a.joinedAt = true, now
		a.resizeAll()
	case a.isJoining && now.Sub(a.joinedAt) >= joinDelay:
		a.isJoining = false
		a.resizeAll()
	}
	a.heardAt = sentAt
	a.RecordTerm(now, term)
	for _, r := range sent {
		if t := a.teams[r.Team]; t != nil {
			t.reported, t.reportedTerm = r.Returned, term
		}
	}
	if !MaySpend(sentAt, now) {
		return
	}
	for _, r := range refills {
		if t := a.teams[r.Team]; t != nil {
			t.reserve = min(t.reserve+int64(r.Units), t.size)
		}
	}
}

// Reserved returns how many units the reserves hold.
func (a *Account) Reserved() int64 {
	var sum int64
	for _, t := range a.teams {
		sum += max(0, t.reserve)
	}
	return sum
}
