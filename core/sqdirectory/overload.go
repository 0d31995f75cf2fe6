package sqdirectory

import (
	"cmp"
	"slices"
	"time"
)

const (
	// A gateway is overloaded from enterPercent of its link or processor on, until both are
	// at leavePercent or less.
	enterPercent = 85
	leavePercent = 60
	// enterMemoryPercent and leaveMemoryPercent are those of the memory that is in use
	// without garbage. The garbage collector needs the rest: above about two thirds, it runs
	// so often that it takes the processor from requests.
	enterMemoryPercent = 65
	leaveMemoryPercent = 50
	// minOverload is how long a gateway stays overloaded at least. Callers use an address
	// for up to three seconds after it left the answers, so its load says nothing before.
	minOverload = 5 * time.Second
	// A gateway that becomes overloaded within recurrence of its return stays so for twice
	// as long as before, up to maxOverload: its callers come back each time.
	recurrence  = 10 * time.Second
	maxOverload = 40 * time.Second
	// A gateway is left out only if the others of its zone, which get its callers, would be
	// below roomPercent on average; it returns early if they are above fullPercent. Without
	// this bound, each gateway that is left out makes the next one overloaded.
	roomPercent = 70
	fullPercent = enterPercent
	// A gateway is left out only if it is at its limit, or has at least outlierPercent of its
	// zone's mean level: in a busy zone some are above enterPercent by chance, for a moment.
	outlierPercent = 150
	limitPercent   = 100
	// leftOutDivisor is the part of a zone's gateways that may be left out at once.
	leftOutDivisor = 3
)

// Report is a gateway that callers may be directed to, with its last utilization.
type Report struct {
	Name        string
	Zone        string
	Utilization Utilization
	// Weight is the share of callers that the gateway can take; 0 means that it is not known.
	Weight uint32
}

// Change is a gateway that became overloaded or has recovered.
type Change struct {
	Report
	Overloaded bool
	// LeftOut is set if the gateway is left out of the answers to callers. An overloaded one
	// stays if too many others of its zone are left out.
	LeftOut bool
}

// Overloads holds which gateways are overloaded. It is not safe for concurrent use.
type Overloads struct {
	byName map[string]*overload
}

// overload is the state of one gateway that is, or was a short time ago, overloaded.
type overload struct {
	active  bool
	leftOut bool
	// since is when the gateway became overloaded, or when it recovered.
	since time.Time
	// hold is how long the overload lasts at least.
	hold time.Duration
}

// NewOverloads returns a state in which no gateway is overloaded.
func NewOverloads() *Overloads { return &Overloads{byName: map[string]*overload{}} }

// LeftOut reports whether the gateway is left out of the answers to callers.
func (o *Overloads) LeftOut(name string) bool {
	s := o.byName[name]
	return s != nil && s.leftOut
}

// Count returns how many gateways are overloaded and how many of them are left out.
func (o *Overloads) Count() (overloaded, leftOut int) {
	for _, s := range o.byName {
		if s.active {
			overloaded++
		}
		if s.leftOut {
			leftOut++
		}
	}
	return overloaded, leftOut
}

// Empty reports whether no gateway is, or was a short time ago, overloaded. Then Update
// changes nothing unless a utilization is high.
func (o *Overloads) Empty() bool { return len(o.byName) == 0 }

// Update decides by the last utilization of all gateways that callers may be directed to,
// and returns the gateways whose state has changed. It forgets gateways that are missing.
func (o *Overloads) Update(now time.Time, reports []Report) []Change {
	zones := map[string]*zone{}
	before := map[string]overload{}
	known := make(map[string]*overload, len(o.byName))
	for _, r := range reports {
		z := zones[r.Zone]
		if z == nil {
			z = &zone{}
			zones[r.Zone] = z
		}
		z.add(&r)
		s := o.byName[r.Name]
		if s == nil && !r.Utilization.High() {
			continue
		}
		if s == nil {
			s = &overload{}
		}
		known[r.Name], before[r.Name] = s, *s
		s.update(now, r.Utilization)
		if s.active {
			z.overloaded = append(z.overloaded, r)
		}
	}
	o.byName = known
	for _, z := range zones {
		o.leaveOut(z)
	}
	var changes []Change
	for _, r := range reports {
		s := known[r.Name]
		if s == nil {
			continue
		}
		s.leftOut = s.leftOut && s.active
		if old := before[r.Name]; old.active != s.active || old.leftOut != s.leftOut {
			changes = append(changes, Change{Report: r, Overloaded: s.active, LeftOut: s.leftOut})
		}
		if !s.active && now.Sub(s.since) >= recurrence {
			delete(known, r.Name)
		}
	}
	return changes
}

// update moves the state of one gateway by its last utilization.
func (s *overload) update(now time.Time, u Utilization) {
	switch {
	case !s.active && u.High():
		hold := minOverload
		if !s.since.IsZero() && now.Sub(s.since) < recurrence {
			hold = min(2*s.hold, maxOverload)
		}
		s.active, s.since, s.hold = true, now, hold
	case s.active && u.low() && now.Sub(s.since) >= s.hold:
		s.active, s.since = false, now
	}
}

// zone sums up the gateways of a zone.
type zone struct {
	gateways int
	// capacity is the sum of their weights, load that of what they carry of it.
	capacity, load float64
	overloaded     []Report
}

func (z *zone) add(r *Report) {
	z.gateways++
	z.capacity += r.capacity()
	z.load += r.capacity() * float64(r.Utilization.level())
}

// capacity returns the weight of the gateway, or that of the reference VM.
func (r *Report) capacity() float64 {
	if r.Weight == 0 {
		return referenceWeight
	}
	return float64(r.Weight)
}

// leaveOut marks some of a zone's overloaded gateways as left out: those that already are,
// then those closest to a limit, as far as the others have room for their callers.
func (o *Overloads) leaveOut(z *zone) {
	slices.SortFunc(z.overloaded, func(a, b Report) int {
		if outA, outB := o.LeftOut(a.Name), o.LeftOut(b.Name); outA != outB {
			if outA {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.Utilization.level(), a.Utilization.level()), cmp.Compare(a.Name, b.Name))
	})
	left, capacity := z.gateways/leftOutDivisor, z.capacity
	outlier := min(limitPercent, z.load/z.capacity*outlierPercent/100)
	for i := range z.overloaded {
		r := &z.overloaded[i]
		s, remaining := o.byName[r.Name], capacity-r.capacity()
		if s.leftOut {
			s.leftOut = left > 0 && z.load < fullPercent*remaining
		} else {
			s.leftOut = left > 0 && z.load < roomPercent*remaining && float64(r.Utilization.level()) >= outlier
		}
		if s.leftOut {
			left, capacity = left-1, remaining
		}
	}
}

// High reports whether a resource is so close to its limit that a gateway becomes
// overloaded.
func (u Utilization) High() bool {
	return u.MemoryPercent >= enterMemoryPercent || u.LinkPercent >= enterPercent || u.ProcessorPercent >= enterPercent
}

// low reports whether all resources are so far from their limits that a gateway recovers.
func (u Utilization) low() bool {
	return u.MemoryPercent <= leaveMemoryPercent && u.LinkPercent <= leavePercent && u.ProcessorPercent <= leavePercent
}

// level returns how close the gateway is to a limit, in percent of its link or processor:
// the largest percentage, where memory counts as overloaded at the same level.
func (u Utilization) level() uint32 {
	return max(u.MemoryPercent*enterPercent/enterMemoryPercent, u.LinkPercent, u.ProcessorPercent)
}
