package sqcoordinator

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqquarantine"
	"sequoiadock/core/sqstate"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqrpc"
)

// evidenceInterval is how long a decision on the evidence of all gateways is used. After a
// rack of engines has crashed, one takes longer than all else in a heartbeat.
const evidenceInterval = 100 * time.Millisecond

// suspectList is what gateways are sent of the suspects. The revision changes with them.
type suspectList struct {
	decidedAt time.Time
	// entries are those of the last decision, and cautions the traits with which requests are
	// sent one at a time without a quarantine.
	entries  []sqquarantine.Entry
	cautions []sqquarantine.Entry
	suspects []sqquarantine.Trait
	encoded  []byte
	revision uint64
}

// exchangeEvidence records what the gateway reports on crashes of endpoints, and sets the
// suspects and the quarantines of the response. The caller must hold mu.
func (c *coordinator) exchangeEvidence(now time.Time, t *termState, req *sqrpc.BeatRequest, res *sqrpc.BeatResponse) {
	for _, r := range req.GetCrashes() {
		t.quarantine.RecordCrash(now, sqrpc.ToCrash(now, r))
	}
	for _, a := range req.GetAnswers() {
		t.quarantine.RecordAnswer(sqrpc.ToTrait(a.GetTrait()), now.Add(-time.Duration(a.GetAgeMillis())*time.Millisecond))
	}
	entries := c.quarantineEntries(now, sqclock.Wall())
	for _, e := range slices.Concat(entries, t.suspects.cautions) {
		left := max(0, e.EndedAt.Sub(now).Milliseconds())
		res.Quarantines = append(res.Quarantines, &sqrpc.Quarantine{Trait: sqrpc.FromTrait(e.Trait), LeftMillis: uint32(left)})
	}
	if t.suspects.decisionDue(now, entries) {
		c.decideQuarantines(now, t, entries)
	}
	t.suspects.fill(req, res)
}

// decisionDue reports whether the evidence has to be judged: evidenceInterval after the last
// time, and at once after a quarantine has begun or ended, as only answers since then count.
func (s *suspectList) decisionDue(now time.Time, entries []sqquarantine.Entry) bool {
	isSame := func(a, b sqquarantine.Entry) bool { return a.Trait == b.Trait && a.Active == b.Active }
	return s.decidedAt.IsZero() || now.Sub(s.decidedAt) >= evidenceInterval || !slices.EqualFunc(entries, s.entries, isSame)
}

// fill sets the suspects of the response, if the gateway has others.
func (s *suspectList) fill(req *sqrpc.BeatRequest, res *sqrpc.BeatResponse) {
	if req.GetNumber() == 0 {
		for _, p := range s.suspects {
			res.Suspects = append(res.Suspects, sqrpc.FromTrait(p))
		}
		return
	}
	res.SuspectRevision = s.revision
	if req.GetSuspectRevision() != s.revision {
		res.SuspectList = s.encoded
	}
}

// update replaces the suspects.
func (s *suspectList) update(suspects []sqquarantine.Trait) error {
	if slices.Equal(suspects, s.suspects) {
		return nil
	}
	list := &sqrpc.TraitList{}
	for _, p := range suspects {
		list.Traits = append(list.Traits, sqrpc.FromTrait(p))
	}
	encoded, err := proto.Marshal(list)
	if err != nil {
		return err
	}
	s.suspects, s.encoded = suspects, encoded
	s.revision++
	return nil
}

// decideQuarantines decides on the evidence of all gateways, and hands a decision to
// commitQuarantines. The caller must hold mu.
func (c *coordinator) decideQuarantines(now time.Time, t *termState, entries []sqquarantine.Entry) {
	t.suspects.decidedAt, t.suspects.entries = now, entries
	d := t.quarantine.Decide(now, entries, len(t.gateways.byName))
	t.suspects.cautions = t.quarantine.Cautions(now, entries, len(t.gateways.byName))
	if err := t.suspects.update(t.quarantine.Suspects(now, entries, t.suspects.cautions)); err != nil {
		c.log.Event(sqevent.BeatNotEncoded, "suspects", err.Error())
	}
	if len(d.Quarantine)+len(d.Precaution)+len(d.Release) == 0 {
		return
	}
	select {
	case c.quarantineDecisions <- d:
	default:
		// The next decision is the same.
	}
}

// quarantinedTraits returns the committed traits, also those whose term has ended.
func (c *coordinator) quarantinedTraits() (traits []*sqcommand.QuarantinedTrait) {
	c.stateMachine.Read(func(s *sqstate.State) { traits = s.QuarantinedTraits() })
	return traits
}

// quarantineEntries returns the committed traits with the ends of their terms on the clock
// of now; wall is the same moment on the wall clock.
func (c *coordinator) quarantineEntries(now, wall time.Time) []sqquarantine.Entry {
	var entries []sqquarantine.Entry
	for _, q := range c.quarantinedTraits() {
		left := termLeft(wall, q)
		entries = append(entries, sqquarantine.Entry{Trait: committedTrait(q), Active: left > 0, EndedAt: now.Add(left)})
	}
	return entries
}

func committedTrait(q *sqcommand.QuarantinedTrait) sqquarantine.Trait {
	return sqquarantine.Trait{Kind: sqquarantine.Kind(q.GetKind()), Service: q.GetService(), ID: q.GetId()}
}

// activeQuarantines returns how many traits are quarantined.
func (c *coordinator) activeQuarantines(wall time.Time) int {
	n := 0
	for _, q := range c.quarantinedTraits() {
		if termLeft(wall, q) > 0 {
			n++
		}
	}
	return n
}

// termLeft returns the time until the quarantine ends; it is not positive afterwards.
func termLeft(wall time.Time, q *sqcommand.QuarantinedTrait) time.Duration {
	return time.Unix(0, q.GetUntilUnixNano()).Sub(wall)
}

// commitQuarantines commits the decisions on quarantines until ctx ends, so that they
// outlast the lease holder and a restart of all processes.
func (c *coordinator) commitQuarantines(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-c.quarantineDecisions:
			for _, p := range d.Quarantine {
				c.commitQuarantine(ctx, p, func(previous int) time.Duration { return sqquarantine.Term(p.Kind, previous) })
			}
			for _, p := range d.Precaution {
				c.commitQuarantine(ctx, p, sqquarantine.PrecautionTerm)
			}
			for _, p := range d.Release {
				c.commitRelease(ctx, p)
			}
		}
	}
}

// commitQuarantine quarantines a trait. termAfter returns how long, given how often it was
// quarantined before.
func (c *coordinator) commitQuarantine(ctx context.Context, trait sqquarantine.Trait, termAfter func(previous int) time.Duration) {
	wall := sqclock.Wall()
	old := c.quarantinedTrait(trait)
	if old != nil && termLeft(wall, old) > 0 {
		return
	}
	term := termAfter(int(old.GetTimes()))
	q := &sqcommand.QuarantinedTrait{
		Kind: uint32(trait.Kind), Service: trait.Service, Id: trait.ID, Times: old.GetTimes() + 1, UntilUnixNano: wall.Add(term).UnixNano(),
	}
	if c.proposeQuarantine(ctx, &sqcommand.SetQuarantine{Trait: q}) {
		c.log.Event(sqevent.TraitQuarantined, trait.Kind.String(), trait.Service, trait.ID, q.GetTimes(), term.Milliseconds())
	}
}

func (c *coordinator) commitRelease(ctx context.Context, trait sqquarantine.Trait) {
	if c.quarantinedTrait(trait) == nil {
		return
	}
	q := &sqcommand.QuarantinedTrait{Kind: uint32(trait.Kind), Service: trait.Service, Id: trait.ID}
	if c.proposeQuarantine(ctx, &sqcommand.SetQuarantine{Trait: q, Remove: true}) {
		c.log.Event(sqevent.TraitReleased, trait.Kind.String(), trait.Service, trait.ID)
	}
}

// quarantinedTrait returns the committed record of a trait, or nil.
func (c *coordinator) quarantinedTrait(trait sqquarantine.Trait) *sqcommand.QuarantinedTrait {
	for _, q := range c.quarantinedTraits() {
		if committedTrait(q) == trait {
			return q
		}
	}
	return nil
}

// proposeQuarantine reports whether the change is committed. If not, the next heartbeat
// leads to the same decision.
func (c *coordinator) proposeQuarantine(ctx context.Context, change *sqcommand.SetQuarantine) bool {
	cmd := &sqcommand.Command{Body: &sqcommand.Command_SetQuarantine{SetQuarantine: change}}
	if _, err := c.propose(ctx, cmd); err != nil {
		c.log.Event(sqevent.ProposalFailed, "quarantine", err.Error())
		return false
	}
	return true
}
