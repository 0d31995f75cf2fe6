package sqstate

import (
	"bytes"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
)

// DefaultCallRetention is how long an ended call is kept when its service does
// not say.
const DefaultCallRetention = 24 * time.Hour

func callKey(team, identity string) string {
	return team + "\x00" + identity
}

// beginCalls records the intent to send calls. A call gets STARTED only when
// no attempt of it can have run; the entry may then send it once.
func (s *State) beginCalls(at int64, b *sqcommand.BeginCalls) *sqcommand.Result {
	res := &sqcommand.Result{Version: s.version}
	for _, c := range b.GetCalls() {
		res.Calls = append(res.Calls, s.beginCall(at, c))
	}
	return res
}

func (s *State) beginCall(at int64, c *sqcommand.Call) *sqcommand.CallResult {
	key := callKey(c.GetTeam(), c.GetIdentity())
	rec := s.calls[key]
	if rec == nil {
		rec = &sqcommand.CallRecord{}
		s.calls[key] = rec
	} else if res := existingCall(rec, c); res != nil {
		return res
	}
	rec.Call = proto.CloneOf(c)
	rec.State = sqcommand.CallState_CALL_STATE_RUNNING
	rec.BegunUnixNano = at
	rec.EndedUnixNano = 0
	rec.Outcome = nil
	rec.Attempt++
	return &sqcommand.CallResult{State: sqcommand.CallState_CALL_STATE_STARTED, Attempt: rec.Attempt, Endpoint: c.GetEndpoint()}
}

// existingCall answers a repeated identity, or returns nil when the call may
// begin again because it is known not to have run.
func existingCall(rec *sqcommand.CallRecord, c *sqcommand.Call) *sqcommand.CallResult {
	if !bytes.Equal(rec.GetCall().GetBodySha256(), c.GetBodySha256()) || rec.GetCall().GetService() != c.GetService() {
		return &sqcommand.CallResult{State: sqcommand.CallState_CALL_STATE_MISMATCH}
	}
	if rec.GetState() == sqcommand.CallState_CALL_STATE_NOT_RUN {
		return nil
	}
	return callResult(rec)
}

func callResult(rec *sqcommand.CallRecord) *sqcommand.CallResult {
	return &sqcommand.CallResult{
		State:    rec.GetState(),
		Outcome:  proto.CloneOf(rec.GetOutcome()),
		Attempt:  rec.GetAttempt(),
		Endpoint: rec.GetCall().GetEndpoint(),
	}
}

func (s *State) finishCalls(at int64, f *sqcommand.FinishCalls) *sqcommand.Result {
	res := &sqcommand.Result{Version: s.version}
	for _, c := range f.GetCalls() {
		res.Calls = append(res.Calls, s.finishCall(at, c))
	}
	return res
}

// finishCall records the end of an attempt. Only a running or unknown call can
// end, and only by its latest attempt: a finish that was resent late, after the
// call had begun anew, must not end the new attempt.
func (s *State) finishCall(at int64, f *sqcommand.FinishCall) *sqcommand.CallResult {
	rec := s.calls[callKey(f.GetTeam(), f.GetIdentity())]
	if rec == nil {
		return &sqcommand.CallResult{}
	}
	if !sameAttempt(rec, f) || !mayEnd(rec.GetState()) || !isEnd(f.GetState()) {
		return callResult(rec)
	}
	rec.State = f.GetState()
	rec.EndedUnixNano = at
	if f.GetState() == sqcommand.CallState_CALL_STATE_DONE {
		rec.Outcome = proto.CloneOf(f.GetOutcome())
	}
	return callResult(rec)
}

func sameAttempt(rec *sqcommand.CallRecord, f *sqcommand.FinishCall) bool {
	attempt := f.GetAttempt()
	if attempt == 0 {
		attempt = 1
	}
	return attempt == rec.GetAttempt()
}

func mayEnd(st sqcommand.CallState) bool {
	return st == sqcommand.CallState_CALL_STATE_RUNNING || st == sqcommand.CallState_CALL_STATE_UNKNOWN
}

func isEnd(st sqcommand.CallState) bool {
	switch st {
	case sqcommand.CallState_CALL_STATE_DONE, sqcommand.CallState_CALL_STATE_NOT_RUN, sqcommand.CallState_CALL_STATE_UNKNOWN:
		return true
	default:
		return false
	}
}

// settleCall ends a call of unknown outcome by an operator's finding.
func (s *State) settleCall(at int64, c *sqcommand.SettleCall) *sqcommand.Result {
	rec := s.calls[callKey(c.GetTeam(), c.GetIdentity())]
	if rec == nil {
		return failure(sqerror.UnknownCall, "no call "+c.GetIdentity()+" of team "+c.GetTeam())
	}
	switch rec.GetState() {
	case sqcommand.CallState_CALL_STATE_UNKNOWN:
	case sqcommand.CallState_CALL_STATE_RUNNING:
		return failure(sqerror.CallRunning, "the call may still be running")
	default:
		return failure(sqerror.CallSettled, "the call has an outcome")
	}
	rec.State = sqcommand.CallState_CALL_STATE_NOT_RUN
	if c.GetRan() {
		rec.State = sqcommand.CallState_CALL_STATE_DONE
	}
	rec.EndedUnixNano = at
	rec.SettledNote = c.GetNote()
	return &sqcommand.Result{Version: s.version, Calls: []*sqcommand.CallResult{callResult(rec)}}
}

// trimCalls forgets ended calls whose service's retention has passed. Running
// and unknown calls stay: to forget one would let a resend run it twice.
func (s *State) trimCalls(t *sqcommand.TrimCalls) *sqcommand.Result {
	for key, rec := range s.calls {
		if mayEnd(rec.GetState()) {
			continue
		}
		retain := s.retainCalls(rec.GetCall().GetService())
		if rec.GetEndedUnixNano()+int64(retain) <= t.GetBeforeUnixNano() {
			delete(s.calls, key)
		}
	}
	return &sqcommand.Result{Version: s.version}
}

func (s *State) retainCalls(service string) time.Duration {
	for _, svc := range s.config.GetServices() {
		if svc.GetName() == service && svc.GetRetainCallsSeconds() > 0 {
			return time.Duration(svc.GetRetainCallsSeconds()) * time.Second
		}
	}
	return DefaultCallRetention
}

// Calls returns the calls in one of the states, by team and identity.
func (s *State) Calls(states ...sqcommand.CallState) []*sqcommand.CallRecord {
	var found []*sqcommand.CallRecord
	for _, rec := range s.calls {
		for _, st := range states {
			if rec.GetState() == st {
				found = append(found, proto.CloneOf(rec))
			}
		}
	}
	sortCalls(found)
	return found
}

// CallCount returns how many calls are kept.
func (s *State) CallCount() int { return len(s.calls) }

func sortCalls(recs []*sqcommand.CallRecord) {
	sort.Slice(recs, func(i, j int) bool {
		a, b := recs[i].GetCall(), recs[j].GetCall()
		return callKey(a.GetTeam(), a.GetIdentity()) < callKey(b.GetTeam(), b.GetIdentity())
	})
}
