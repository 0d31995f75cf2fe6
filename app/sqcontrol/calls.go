package sqcontrol

import (
	"context"
	"time"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqstate"
	"sequoiadock/io/sqclock"
)

// trimInterval is the time between two commands that remove old calls.
const trimInterval = time.Minute

// closeLostCalls records an unknown outcome for running calls whose entry can no
// longer finish them, because its freshness lease ended or it restarted. A client
// that sends such a call again then gets "may have run" at once instead of "still
// running" forever.
func (h *holder) closeLostCalls(ctx context.Context, t *termState) {
	var running []*sqcommand.CallRecord
	h.machine.Read(func(s *sqstate.State) { running = s.Calls(sqcommand.CallState_CALL_STATE_RUNNING) })
	lost := h.lostCalls(t, running)
	if len(lost) == 0 {
		return
	}
	f := &sqcommand.FinishCalls{}
	for _, rec := range lost {
		f.Calls = append(f.Calls, &sqcommand.FinishCall{
			Team:     rec.GetCall().GetTeam(),
			Identity: rec.GetCall().GetIdentity(),
			State:    sqcommand.CallState_CALL_STATE_UNKNOWN,
			Attempt:  rec.GetAttempt(),
		})
	}
	if h.commit(ctx, "close lost calls", &sqcommand.Command{Body: &sqcommand.Command_FinishCalls{FinishCalls: f}}) != nil {
		h.log.Event(sqevent.CallsUnknown, lost[0].GetCall().GetEntry(), len(lost))
	}
}

func (h *holder) lostCalls(t *termState, running []*sqcommand.CallRecord) []*sqcommand.CallRecord {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := sqclock.Now()
	var lost []*sqcommand.CallRecord
	for _, rec := range running {
		if t.entries.RunEnded(now, rec.GetCall().GetEntry(), rec.GetCall().GetRun()) {
			lost = append(lost, rec)
		}
	}
	return lost
}

// trimCalls removes finished calls after their retention.
func (h *holder) trimCalls(ctx context.Context, t *termState) {
	now := sqclock.Now()
	if now.Sub(t.callsTrimmedAt) < trimInterval {
		return
	}
	t.callsTrimmedAt = now
	var n int
	h.machine.Read(func(s *sqstate.State) { n = s.CallCount() })
	if n == 0 {
		return
	}
	before := sqclock.Wall().UnixNano()
	h.commit(ctx, "trim calls", &sqcommand.Command{Body: &sqcommand.Command_TrimCalls{TrimCalls: &sqcommand.TrimCalls{BeforeUnixNano: before}}})
}
