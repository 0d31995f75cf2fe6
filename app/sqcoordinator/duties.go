package sqcoordinator

import (
	"context"
	"slices"
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
	// listEvery is the period of reading the platform's list, usageEvery that of
	// looking for windows to report.
	listEvery  = 500 * time.Millisecond
	usageEvery = 250 * time.Millisecond
	// listLooks is how often in listEvery the holder looks whether a reading is due.
	listLooks = 10
	// windowsAtOnce bounds the windows that are frozen in one period.
	windowsAtOnce = 8
)

// readList reads the platform's list while this process holds the lease, and at
// once when it has got it.
func (c *coordinator) readList(ctx context.Context) {
	var last time.Time
	var of *tenure
	every(ctx, listEvery/listLooks, func() {
		now := sqclock.Now()
		t, err := c.current(now)
		if err != nil || t == of && now.Sub(last) < listEvery {
			return
		}
		of, last = t, now
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		list, unreadable, err := c.platform.Endpoints(ctx)
		c.noteList(sqclock.Now(), t, list, unreadable, err)
	})
}

// listAge returns how old the platform's list is, or how long this tenure has had
// none.
func (t *tenure) listAge(now time.Time) time.Duration {
	if t.listedAt.IsZero() {
		return now.Sub(t.since)
	}
	return now.Sub(t.listedAt)
}

// noteList takes a reading of the list.
func (c *coordinator) noteList(now time.Time, t *tenure, list []sqplace.Endpoint, unreadable int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		if !t.silent {
			c.log.Event(sqevent.ListUnread, t.listAge(now).Milliseconds(), err.Error())
		}
		t.silent = true
		return
	}
	if t.silent {
		c.log.Event(sqevent.ListReadAgain, len(list))
	}
	t.silent, t.listedAt = false, now
	t.orders.forgetListed(list)
	if t.fleet != nil && slices.Equal(t.fleet, list) {
		return
	}
	t.fleet = append([]sqplace.Endpoint{}, list...)
	t.revision++
	c.log.Event(sqevent.ListChanged, t.revision, len(list), unreadable)
}

// reportUsage freezes windows and reports them while this process holds the
// lease. The figures are committed first, so that whoever reports a window
// reports the same ones.
func (c *coordinator) reportUsage(ctx context.Context) {
	every(ctx, usageEvery, func() {
		now := sqclock.Now()
		t, err := c.current(now)
		if err != nil || !c.mayCall(now, t) {
			return
		}
		c.freezeWindows(ctx, t)
		c.sendWindows(ctx, t)
	})
}

func (c *coordinator) freezeWindows(ctx context.Context, t *tenure) {
	for range windowsAtOnce {
		now := sqclock.Now()
		var last uint64
		c.machine.Read(func(s *sqstate.State) { last = s.LastCountWindow() })
		c.mu.Lock()
		window, due := t.usage.NextDue(now, t.clocks.Time(now), last)
		sums := t.usage.Sum(window)
		c.mu.Unlock()
		if !due {
			return
		}
		freeze := &sqcommand.FreezeCounts{Window: window}
		for _, n := range sums {
			freeze.Counts = append(freeze.Counts, &sqcommand.TeamCount{Team: n.Team, Requests: n.Requests})
		}
		if _, err := c.propose(ctx, &sqcommand.Command{Body: &sqcommand.Command_FreezeCounts{FreezeCounts: freeze}}); err != nil {
			c.log.Event(sqevent.ProposalFailed, "freeze window", err.Error())
			return
		}
		c.log.Event(sqevent.WindowFrozen, window, len(sums))
	}
}

func (c *coordinator) sendWindows(ctx context.Context, t *tenure) {
	var windows []*sqcommand.CountWindow
	c.machine.Read(func(s *sqstate.State) { windows = s.CountWindows() })
	for _, w := range windows {
		if w.GetReported() || t.refused {
			continue
		}
		if err := c.sendWindow(ctx, t, w); err != nil {
			c.log.Event(sqevent.ReportFailed, w.GetWindow(), err.Error())
			t.refused = sqerror.KindOf(err) == sqerror.LostAuthority
			return
		}
		c.log.Event(sqevent.WindowReported, w.GetWindow())
	}
}

func (c *coordinator) sendWindow(ctx context.Context, t *tenure, w *sqcommand.CountWindow) error {
	counts := make([]sqwindow.Count, 0, len(w.GetCounts()))
	for _, n := range w.GetCounts() {
		counts = append(counts, sqwindow.Count{Window: w.GetWindow(), Team: n.GetTeam(), Requests: n.GetRequests()})
	}
	if err := c.platform.ReportUsage(ctx, c.lease(t), w.GetWindow(), counts); err != nil {
		return err
	}
	_, err := c.propose(ctx, &sqcommand.Command{Body: &sqcommand.Command_MarkCounts{
		MarkCounts: &sqcommand.MarkCounts{Window: w.GetWindow()},
	}})
	return err
}
