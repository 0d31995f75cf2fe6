package sqcoordinator

import (
	"context"
	"time"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqplace"
	"sequoiadock/core/sqstate"
	"sequoiadock/core/sqwindow"
	"sequoiadock/io/sqclock"
)

const (
	// endpointPollInterval is the period of polling the platform's list of endpoints,
	// usageInterval the period of checking for windows to freeze and report.
	endpointPollInterval = 500 * time.Millisecond
	usageInterval        = 250 * time.Millisecond
	// dueChecksPerPoll is how many times per endpointPollInterval the process checks
	// whether a poll is due.
	dueChecksPerPoll = 10
	// maxWindowsPerRound is how many windows at most are frozen per usageInterval.
	maxWindowsPerRound = 8
)

// pollEndpoints polls the platform's list of endpoints while this process holds the
// lease. The first poll of a term does not wait for endpointPollInterval.
func (c *coordinator) pollEndpoints(ctx context.Context) {
	var lastPoll time.Time
	var lastTerm *termState
	every(ctx, endpointPollInterval/dueChecksPerPoll, func() {
		now := sqclock.Now()
		t, err := c.currentTerm(now)
		if err != nil || t == lastTerm && now.Sub(lastPoll) < endpointPollInterval {
			return
		}
		lastTerm, lastPoll = t, now
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		list, unreadable, err := c.platform.Endpoints(ctx)
		c.recordEndpoints(sqclock.Now(), t, list, unreadable, err)
		if err == nil {
			c.mu.Lock()
			t.fleetKnownAt = now
			c.mu.Unlock()
		}
	})
}

// listAgeForGateways returns how old the list is as far as gateways must act on it. While
// the platform cannot be read, it does not grow beyond a poll and its timeout: nobody can
// know then which endpoints are draining, and those that are listed are still used.
func (t *termState) listAgeForGateways(now time.Time) time.Duration {
	age := now.Sub(t.fleetKnownAt)
	if t.fleetReadFailing {
		age = min(age, endpointPollInterval+callTimeout)
	}
	return max(0, age)
}

// listAge returns the time since the platform's list was last read, or the time since
// the term started if the list has not been read yet.
func (t *termState) listAge(now time.Time) time.Duration {
	if t.fleetReadAt.IsZero() {
		return now.Sub(t.startedAt)
	}
	return now.Sub(t.fleetReadAt)
}

// recordEndpoints records the result of one poll of the platform's list.
func (c *coordinator) recordEndpoints(now time.Time, t *termState, list []sqplace.Endpoint, unreadable int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		if !t.fleetReadFailing {
			c.log.Event(sqevent.EndpointListFailed, t.listAge(now).Milliseconds(), err.Error())
		}
		t.fleetReadFailing = true
		return
	}
	if t.fleetReadFailing {
		c.log.Event(sqevent.EndpointListRecovered, len(list))
	}
	t.fleetReadFailing, t.fleetReadAt = false, now
	t.fleet = withSteadyCold(now, t.fleet, list)
	t.recordVersions(now, list)
	t.orders.pruneStageOverrides(list)
	listed := make(map[string]bool, len(list))
	for i := range list {
		listed[list[i].ID()] = true
	}
	c.forgetDepartures(now, t, func(id string) bool { return listed[id] })
	c.forgetLimits(now, t, func(id string) bool { return listed[id] })
	if t.updateListing() {
		c.log.Event(sqevent.EndpointListChanged, t.listing.Revision(), len(list), unreadable)
	}
}

// updateListing makes the list that gateways are sent anew, after a change of what it is
// made from. It returns false if the list is as before. The caller must hold the
// coordinator's mu.
func (t *termState) updateListing() bool {
	return t.fleet != nil && t.listing.Update(t.endpointsForGateways())
}

// withSteadyCold returns a copy of the list in which an endpoint that is still slow after
// its start has the same entry as in the previous list, unless the platform corrected its
// statement. Otherwise, each poll would make all gateways get the whole list anew.
func withSteadyCold(now time.Time, previous, list []sqplace.Endpoint) []sqplace.Endpoint {
	byID := make(map[string]*sqplace.Endpoint, len(previous))
	for i := range previous {
		byID[previous[i].ID()] = &previous[i]
	}
	steady := make([]sqplace.Endpoint, 0, len(list))
	for _, e := range list {
		steady = append(steady, e.WithSteadyCold(now, byID[e.ID()]))
	}
	return steady
}

// reportUsage freezes billing windows and reports them to the platform while this
// process holds the lease. The counts of a window are committed before it is
// reported, so that every lease holder that reports it reports the same counts.
func (c *coordinator) reportUsage(ctx context.Context) {
	every(ctx, usageInterval, func() {
		now := sqclock.Now()
		t, err := c.currentTerm(now)
		if err != nil || !c.mayCallPlatform(now, t) {
			return
		}
		c.freezeWindows(ctx, t)
		c.reportWindows(ctx, t)
	})
}

func (c *coordinator) freezeWindows(ctx context.Context, t *termState) {
	for range maxWindowsPerRound {
		now := sqclock.Now()
		var lastFrozen uint64
		c.stateMachine.Read(func(s *sqstate.State) { lastFrozen = s.LastCountWindow() })
		c.mu.Lock()
		window, due := t.requestCounts.NextDue(now, t.clockOffsets.Time(now), lastFrozen)
		counts := t.requestCounts.Sum(window)
		c.mu.Unlock()
		if !due {
			return
		}
		freeze := &sqcommand.FreezeCounts{Window: window}
		for _, n := range counts {
			freeze.Counts = append(freeze.Counts, &sqcommand.TeamCount{Team: n.Team, Requests: n.Requests})
		}
		if _, err := c.propose(ctx, &sqcommand.Command{Body: &sqcommand.Command_FreezeCounts{FreezeCounts: freeze}}); err != nil {
			c.log.Event(sqevent.ProposalFailed, "freeze window", err.Error())
			return
		}
		c.log.Event(sqevent.WindowFrozen, window, len(counts))
	}
}

func (c *coordinator) reportWindows(ctx context.Context, t *termState) {
	var windows []*sqcommand.CountWindow
	c.stateMachine.Read(func(s *sqstate.State) { windows = s.CountWindows() })
	for _, w := range windows {
		if w.GetReported() || t.usageFenced {
			continue
		}
		if err := c.reportWindow(ctx, t, w); err != nil {
			c.log.Event(sqevent.ReportFailed, w.GetWindow(), err.Error())
			t.usageFenced = sqerror.KindOf(err) == sqerror.LeaseLost
			return
		}
		c.log.Event(sqevent.WindowReported, w.GetWindow())
	}
}

func (c *coordinator) reportWindow(ctx context.Context, t *termState, w *sqcommand.CountWindow) error {
	counts := make([]sqwindow.Count, 0, len(w.GetCounts()))
	for _, n := range w.GetCounts() {
		counts = append(counts, sqwindow.Count{Window: w.GetWindow(), Team: n.GetTeam(), Requests: n.GetRequests()})
	}
	if err := c.platform.ReportUsage(ctx, c.platformLease(t), w.GetWindow(), counts); err != nil {
		return err
	}
	_, err := c.propose(ctx, &sqcommand.Command{Body: &sqcommand.Command_MarkCounts{
		MarkCounts: &sqcommand.MarkCounts{Window: w.GetWindow()},
	}})
	return err
}
