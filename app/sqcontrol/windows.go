package sqcontrol

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqstate"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqplatform"
)

// windowGrace is the time between the end of a window and its freezing, so that it
// includes the last batches of the entries. Later batches count in the next window.
const windowGrace = 2 * time.Second

// reportWindows freezes the billing window that has ended and reports every frozen
// one that the platform has not accepted, oldest first.
func (h *holder) reportWindows(ctx context.Context, t *termState) {
	h.freezeWindow(ctx, sqclock.Wall())
	var windows []*sqcommand.UsageWindow
	h.machine.Read(func(s *sqstate.State) { windows = s.UsageWindows() })
	for _, w := range windows {
		if !w.GetReported() && !h.reportWindow(ctx, t, w) {
			return
		}
	}
}

// freezeWindow commits the usage of the window that ended before wall. If several
// windows ended without being frozen, they become one.
func (h *holder) freezeWindow(ctx context.Context, wall time.Time) {
	var length time.Duration
	var lastWindow uint64
	var from int64
	h.machine.Read(func(s *sqstate.State) {
		length = time.Duration(s.Configuration().GetFleet().GetBillingWindowSeconds()) * time.Second
		lastWindow = s.LastUsageWindow()
		from = s.OpenUsageStart()
	})
	if length <= 0 {
		return
	}
	window := uint64(wall.Add(-windowGrace).UnixNano() / int64(length))
	to := int64(window) * int64(length)
	if window <= lastWindow || to <= from {
		return
	}
	f := &sqcommand.FreezeWindow{Window: window, FromUnixNano: from, ToUnixNano: to}
	c := &sqcommand.Command{
		OperationId: "freeze-" + strconv.FormatUint(window, 10),
		Body:        &sqcommand.Command_FreezeWindow{FreezeWindow: f},
	}
	if res := h.commit(ctx, "freeze window", c); res != nil {
		h.log.Event(sqevent.WindowFrozen, window, len(res.GetWindow().GetLines()))
	}
}

// reportWindow sends a frozen window to the platform and commits that the platform
// accepted it. It returns false if either failed. A report that was sent but not
// recorded is sent again with the same figures.
func (h *holder) reportWindow(ctx context.Context, t *termState, w *sqcommand.UsageWindow) bool {
	if h.cfg.PlatformAddress == "" {
		return false
	}
	a, err := sqplatform.ReportUsage(ctx, h.guardedClient(t.term), h.cfg.PlatformAddress, h.usageReport(t, w))
	if err != nil || a.Status != http.StatusOK {
		h.log.Event(sqevent.ReportFailed, w.GetWindow(), reportError(a, err))
		return false
	}
	c := &sqcommand.Command{Body: &sqcommand.Command_MarkReported{MarkReported: &sqcommand.MarkReported{Window: w.GetWindow()}}}
	if h.commit(ctx, "mark window reported", c) == nil {
		return false
	}
	h.log.Event(sqevent.WindowReported, w.GetWindow())
	return true
}

func reportError(a sqplatform.OrderResponse, err error) string {
	if err != nil {
		return err.Error()
	}
	return "status " + strconv.Itoa(a.Status) + " " + a.Error
}

func (h *holder) usageReport(t *termState, w *sqcommand.UsageWindow) sqplatform.UsageReport {
	r := sqplatform.UsageReport{
		Window:       w.GetWindow(),
		FromUnixNano: w.GetFromUnixNano(),
		ToUnixNano:   w.GetToUnixNano(),
		Lines:        make([]sqplatform.UsageLine, 0, len(w.GetLines())),
		FencingToken: h.nextFencing(t),
	}
	for _, l := range w.GetLines() {
		r.Lines = append(r.Lines, sqplatform.UsageLine{
			Team: l.GetTeam(), Service: l.GetService(), Model: l.GetModel(),
			PromptTokens: l.GetPromptTokens(), OutputTokens: l.GetOutputTokens(), Requests: l.GetRequests(),
		})
	}
	return r
}
