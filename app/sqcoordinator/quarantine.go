package sqcoordinator

import (
	"context"
	"time"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqquarantine"
	"sequoiadock/core/sqstate"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqrpc"
)

// exchangeEvidence records what the gateway reports on crashes of endpoints, sets the
// suspects and the quarantines of the response, and hands a decision to
// commitQuarantines. The caller must hold mu.
func (c *coordinator) exchangeEvidence(now time.Time, t *termState, req *sqrpc.BeatRequest, res *sqrpc.BeatResponse) {
	for _, r := range req.GetCrashes() {
		t.quarantine.RecordCrash(now, sqrpc.ToCrash(now, r))
	}
	for _, a := range req.GetAnswers() {
		t.quarantine.RecordAnswer(sqrpc.ToPart(a.GetPart()), now.Add(-time.Duration(a.GetAgeMillis())*time.Millisecond))
	}
	wall := sqclock.Wall()
	var entries []sqquarantine.Entry
	for _, p := range c.quarantinedParts() {
		part := sqquarantine.Part{Service: p.GetService(), ID: p.GetId()}
		left := termLeft(wall, p)
		entries = append(entries, sqquarantine.Entry{Part: part, Active: left > 0})
		if left > 0 {
			res.Quarantines = append(res.Quarantines, &sqrpc.Quarantine{Part: sqrpc.FromPart(part), LeftMillis: uint32(left.Milliseconds())})
		}
	}
	d := t.quarantine.Decide(now, entries, len(t.gateways.byName))
	for _, p := range t.quarantine.Suspects(now, entries) {
		res.Suspects = append(res.Suspects, sqrpc.FromPart(p))
	}
	if len(d.Quarantine)+len(d.Release) == 0 {
		return
	}
	select {
	case c.quarantineDecisions <- d:
	default:
		// The next heartbeat leads to the same decision.
	}
}

// quarantinedParts returns the committed parts, also those whose term has ended.
func (c *coordinator) quarantinedParts() (parts []*sqcommand.QuarantinedPart) {
	c.stateMachine.Read(func(s *sqstate.State) { parts = s.QuarantinedParts() })
	return parts
}

// activeQuarantines returns how many parts are quarantined.
func (c *coordinator) activeQuarantines(wall time.Time) int {
	n := 0
	for _, p := range c.quarantinedParts() {
		if termLeft(wall, p) > 0 {
			n++
		}
	}
	return n
}

// termLeft returns the time until the quarantine ends; it is not positive afterwards.
func termLeft(wall time.Time, p *sqcommand.QuarantinedPart) time.Duration {
	return time.Unix(0, p.GetUntilUnixNano()).Sub(wall)
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
				c.commitQuarantine(ctx, p)
			}
			for _, p := range d.Release {
				c.commitRelease(ctx, p)
			}
		}
	}
}

func (c *coordinator) commitQuarantine(ctx context.Context, part sqquarantine.Part) {
	wall := sqclock.Wall()
	old := c.quarantinedPart(part)
	if old != nil && termLeft(wall, old) > 0 {
		return
	}
	term := sqquarantine.Term(int(old.GetTimes()))
	p := &sqcommand.QuarantinedPart{
		Service: part.Service, Id: part.ID, Times: old.GetTimes() + 1, UntilUnixNano: wall.Add(term).UnixNano(),
	}
	if c.proposeQuarantine(ctx, &sqcommand.SetQuarantine{Part: p}) {
		c.log.Event(sqevent.PartQuarantined, part.Service, part.ID, p.GetTimes(), term.Milliseconds())
	}
}

func (c *coordinator) commitRelease(ctx context.Context, part sqquarantine.Part) {
	if c.quarantinedPart(part) == nil {
		return
	}
	p := &sqcommand.QuarantinedPart{Service: part.Service, Id: part.ID}
	if c.proposeQuarantine(ctx, &sqcommand.SetQuarantine{Part: p, Remove: true}) {
		c.log.Event(sqevent.PartReleased, part.Service, part.ID)
	}
}

// quarantinedPart returns the committed record of a part, or nil.
func (c *coordinator) quarantinedPart(part sqquarantine.Part) *sqcommand.QuarantinedPart {
	for _, p := range c.quarantinedParts() {
		if p.GetService() == part.Service && p.GetId() == part.ID {
			return p
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
