package sqstate

import (
	"bytes"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
)

// DefaultCallRetention is how long a finished call is kept if its service does
// not set a retention.
const DefaultCallRetention = 24 * time.Hour

func callKey(team, identity string) string {
	return team + "\x00" + identity
}

// beginCalls records calls before they are sent. A call gets the state STARTED
// only if no earlier attempt can have run; the entry may then send it once.
func (s *State) beginCalls(atUnixNano int64, b *sqcommand.BeginCalls) *sqcommand.Result {
	res := &sqcommand.Result{Version: s.configVersion}
	for _, c := range b.GetCalls() {
		res.Calls = append(res.Calls, s.beginCall(atUnixNano, c))
	}
	return res
}

func (s *State) beginCall(atUnixNano int64, c *sqcommand.Call) *sqcommand.CallResult {
	key := callKey(c.GetTeam(), c.GetIdentity())
	rec := s.calls[key]
	if rec == nil {
		rec = &sqcommand.CallRecord{}
		s.calls[key] = rec
	} else if res := resultOfRepeat(rec, c); res != nil {
		return res
	}
	rec.Call = proto.CloneOf(c)
	rec.State = sqcommand.CallState_CALL_STATE_RUNNING
	rec.BegunUnixNano = atUnixNano
	rec.EndedUnixNano = 0
	rec.Outcome = nil
	rec.Attempt++
	return &sqcommand.CallResult{State: sqcommand.CallState_CALL_STATE_STARTED, Attempt: rec.Attempt, Endpoint: c.GetEndpoint()}
}

// resultOfRepeat returns the result for an identity that is already recorded,
// or nil if the call may begin again because it is known not to have run.
func resultOfRepeat(rec *sqcommand.CallRecord, c *sqcommand.Call) *sqcommand.CallResult {
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

func (s *State) finishCalls(atUnixNano int64, f *sqcommand.FinishCalls) *sqcommand.Result {
	res := &sqcommand.Result{Version: s.configVersion}
	for _, c := range f.GetCalls() {
		res.Calls = append(res.Calls, s.finishCall(atUnixNano, c))
	}
	return res
}

// finishCall records the result of an attempt. Only a call that is running or
// of unknown outcome can finish, and only through its latest attempt: a late
// resend of an earlier finish must not finish the new attempt of a call that
// has begun again.
func (s *State) finishCall(atUnixNano int64, f *sqcommand.FinishCall) *sqcommand.CallResult {
	rec := s.calls[callKey(f.GetTeam(), f.GetIdentity())]
	if rec == nil {
		return &sqcommand.CallResult{}
	}
	if !isLatestAttempt(rec, f) || !isUnfinished(rec.GetState()) || !isFinishState(f.GetState()) {
		return callResult(rec)
	}
	rec.State = f.GetState()
	rec.EndedUnixNano = atUnixNano
	if f.GetState() == sqcommand.CallState_CALL_STATE_DONE {
		rec.Outcome = proto.CloneOf(f.GetOutcome())
	}
	return callResult(rec)
}

func isLatestAttempt(rec *sqcommand.CallRecord, f *sqcommand.FinishCall) bool {
	attempt := f.GetAttempt()
	if attempt == 0 {
		attempt = 1
	}
	return attempt == rec.GetAttempt()
}

// isUnfinished reports whether the outcome of a call in this state is still
// open.
func isUnfinished(st sqcommand.CallState) bool {
	return st == sqcommand.CallState_CALL_STATE_RUNNING || st == sqcommand.CallState_CALL_STATE_UNKNOWN
}

// isFinishState reports whether an attempt may finish with this state.
func isFinishState(st sqcommand.CallState) bool {
	switch st {
	case sqcommand.CallState_CALL_STATE_DONE, sqcommand.CallState_CALL_STATE_NOT_RUN, sqcommand.CallState_CALL_STATE_UNKNOWN:
		return true
	default:
		return false
	}
}

// settleCall resolves a call of unknown outcome as done or not run, as
// determined by an operator.
func (s *State) settleCall(atUnixNano int64, c *sqcommand.SettleCall) *sqcommand.Result {
	rec := s.calls[callKey(c.GetTeam(), c.GetIdentity())]
	if rec == nil {
		return errorResult(sqerror.UnknownCall, "no call "+c.GetIdentity()+" of team "+c.GetTeam())
	}
	switch rec.GetState() {
	case sqcommand.CallState_CALL_STATE_UNKNOWN:
	case sqcommand.CallState_CALL_STATE_RUNNING:
		return errorResult(sqerror.CallRunning, "the call may still be running")
	default:
		return errorResult(sqerror.CallSettled, "the call has an outcome")
	}
	rec.State = sqcommand.CallState_CALL_STATE_NOT_RUN
	if c.GetRan() {
		rec.State = sqcommand.CallState_CALL_STATE_DONE
	}
	rec.EndedUnixNano = atUnixNano
	rec.SettledNote = c.GetNote()
	return &sqcommand.Result{Version: s.configVersion, Calls: []*sqcommand.CallResult{callResult(rec)}}
}

// trimCalls drops finished calls that are older than the retention of their
// service. Calls that are running or of unknown outcome are kept: without the
// record, a resend could run the call a second time.
func (s *State) trimCalls(t *sqcommand.TrimCalls) *sqcommand.Result {
	for key, rec := range s.calls {
		if isUnfinished(rec.GetState()) {
			continue
		}
		retention := s.callRetention(rec.GetCall().GetService())
		if rec.GetEndedUnixNano()+int64(retention) <= t.GetBeforeUnixNano() {
			delete(s.calls, key)
		}
	}
	return &sqcommand.Result{Version: s.configVersion}
}

func (s *State) callRetention(service string) time.Duration {
	for _, svc := range s.configuration.GetServices() {
		if svc.GetName() == service && svc.GetRetainCallsSeconds() > 0 {
			return time.Duration(svc.GetRetainCallsSeconds()) * time.Second
		}
	}
	return DefaultCallRetention
}

// Calls returns the calls that are in any of the given states, sorted by team
// and identity.
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

// CallCount returns the number of retained calls.
func (s *State) CallCount() int { return len(s.calls) }

func sortCalls(recs []*sqcommand.CallRecord) {
	sort.Slice(recs, func(i, j int) bool {
		a, b := recs[i].GetCall(), recs[j].GetCall()
		return callKey(a.GetTeam(), a.GetIdentity()) < callKey(b.GetTeam(), b.GetIdentity())
	})
}
