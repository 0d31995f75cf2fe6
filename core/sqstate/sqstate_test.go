package sqstate

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
)

func key(id, team, sum string) *sqcommand.Key {
	return &sqcommand.Key{Id: id, Team: team, Sha256: []byte(sum)}
}

func publish(base uint64, keys ...*sqcommand.Key) *sqcommand.Command {
	cfg := &sqcommand.Configuration{Teams: []*sqcommand.Team{{Name: "a"}, {Name: "b"}}, Keys: keys}
	return &sqcommand.Command{Body: &sqcommand.Command_Publish{Publish: &sqcommand.Publish{BaseVersion: base, Configuration: cfg}}}
}

func grant(k *sqcommand.Key) *sqcommand.Command {
	return &sqcommand.Command{Body: &sqcommand.Command_GrantKey{GrantKey: &sqcommand.GrantKey{Key: k}}}
}

func withdraw(id string) *sqcommand.Command {
	return &sqcommand.Command{Body: &sqcommand.Command_WithdrawKey{WithdrawKey: &sqcommand.WithdrawKey{KeyId: id}}}
}

func begin(team, id, body string) *sqcommand.Command {
	c := &sqcommand.Call{Team: team, Identity: id, BodySha256: []byte(body)}
	return &sqcommand.Command{Body: &sqcommand.Command_BeginCalls{BeginCalls: &sqcommand.BeginCalls{Calls: []*sqcommand.Call{c}}}}
}

func finish(team, id string, st sqcommand.CallState, attempt uint32) *sqcommand.Command {
	f := &sqcommand.FinishCall{Team: team, Identity: id, State: st, Attempt: attempt}
	return &sqcommand.Command{Body: &sqcommand.Command_FinishCalls{FinishCalls: &sqcommand.FinishCalls{Calls: []*sqcommand.FinishCall{f}}}}
}

func settle(team, id string, ran bool) *sqcommand.Command {
	return &sqcommand.Command{Body: &sqcommand.Command_SettleCall{SettleCall: &sqcommand.SettleCall{Team: team, Identity: id, Ran: ran}}}
}

func openOrder(id, target string, k sqcommand.OrderKind) *sqcommand.Command {
	o := &sqcommand.Order{Id: id, Target: target, Kind: k}
	return &sqcommand.Command{Body: &sqcommand.Command_OpenOrder{OpenOrder: &sqcommand.OpenOrder{Order: o}}}
}

func closeOrder(id string) *sqcommand.Command {
	return &sqcommand.Command{Body: &sqcommand.Command_CloseOrder{CloseOrder: &sqcommand.CloseOrder{Id: id, Done: true}}}
}

func batch(run string, n, tokens uint64) *sqcommand.Command {
	b := &sqcommand.UsageBatch{Run: run, Number: n, Lines: []*sqcommand.UsageLine{{Team: "a", OutputTokens: tokens}}}
	return &sqcommand.Command{Body: &sqcommand.Command_RecordUsage{RecordUsage: &sqcommand.RecordUsage{Batch: b}}}
}

func freeze(n uint64) *sqcommand.Command {
	return &sqcommand.Command{Body: &sqcommand.Command_FreezeWindow{FreezeWindow: &sqcommand.FreezeWindow{Window: n}}}
}

// step is a command and the error kind that it is expected to return.
type step struct {
	command *sqcommand.Command
	want    sqerror.Kind
}

func expectSteps(t *testing.T, s *State, steps []step) {
	t.Helper()
	for i, st := range steps {
		got := sqerror.Kind(s.Apply(st.command).GetError())
		assert.Equal(t, got, st.want, "step %d", i)
	}
}

func TestErrors(t *testing.T) {
	k1 := key("k1", "a", "1")
	role := sqcommand.OrderKind_ORDER_KIND_ROLE
	load := sqcommand.OrderKind_ORDER_KIND_LOAD_MODEL
	tests := []struct {
		name  string
		steps []step
	}{
		{"publish requires the current version", []step{
			{publish(0), sqerror.None}, {publish(0), sqerror.Conflict}, {publish(1), sqerror.None}, {publish(7), sqerror.Conflict},
		}},
		{"a configuration with a withdrawn key is rejected", []step{
			{publish(0, k1), sqerror.None}, {withdraw("k1"), sqerror.None},
			{publish(1, k1), sqerror.KeyWithdrawn},
			{publish(1, key("other", "a", "1")), sqerror.KeyWithdrawn},
			{publish(1), sqerror.None}, {publish(2, k1), sqerror.KeyWithdrawn},
		}},
		{"a withdrawn key cannot be granted again", []step{
			{publish(0, k1), sqerror.None}, {withdraw("k1"), sqerror.None}, {withdraw("k1"), sqerror.None},
			{grant(k1), sqerror.KeyWithdrawn}, {withdraw("k2"), sqerror.UnknownKey},
		}},
		{"a configuration must match keys granted by command", []step{
			{publish(0), sqerror.None}, {grant(key("k2", "a", "2")), sqerror.None},
			{publish(1, key("k2", "b", "2")), sqerror.Conflict},
			{publish(1, key("k2", "a", "2")), sqerror.None},
			{grant(key("k3", "nobody", "3")), sqerror.NotFound},
		}},
		{"a target has at most one open order", []step{
			{openOrder("o1", "e1", role), sqerror.None}, {openOrder("o2", "e1", load), sqerror.OrderOpen},
			{openOrder("o1", "e1", role), sqerror.None}, {openOrder("o3", "e2", role), sqerror.None},
			{closeOrder("o1"), sqerror.None}, {closeOrder("o1"), sqerror.UnknownOrder}, {openOrder("o2", "e1", load), sqerror.None},
		}},
		{"usage batches are sequential and windows freeze once", []step{
			{batch("r", 1, 5), sqerror.None}, {batch("r", 1, 5), sqerror.None}, {batch("r", 3, 5), sqerror.Conflict},
			{freeze(4), sqerror.None}, {freeze(4), sqerror.WindowFrozen}, {freeze(3), sqerror.WindowFrozen},
		}},
		{"only calls of unknown outcome can be settled", []step{
			{settle("a", "c", true), sqerror.UnknownCall}, {begin("a", "c", "x"), sqerror.None},
			{settle("a", "c", true), sqerror.CallRunning},
			{finish("a", "c", sqcommand.CallState_CALL_STATE_UNKNOWN, 1), sqerror.None},
			{settle("a", "c", true), sqerror.None}, {settle("a", "c", false), sqerror.CallSettled},
		}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) { expectSteps(t, New(Config{}), tc.steps) })
	}
}

func TestResendGetsFirstAnswer(t *testing.T) {
	s := New(Config{MaxOperations: 2})
	c := publish(0)
	c.OperationId = "op"
	first := s.Apply(c)
	assert.Equal(t, first.GetVersion(), uint64(1))
	assert.Assert(t, proto.Equal(s.Apply(c), first))
	assert.Equal(t, s.Version(), uint64(1))
	for i := range 10 {
		s.Apply(&sqcommand.Command{OperationId: fmt.Sprint(i)})
	}
	assert.Equal(t, len(s.operations.resultByID), 2)
}

func TestLateUsageGoesToNextWindow(t *testing.T) {
	s := New(Config{})
	s.Apply(batch("r", 1, 5))
	s.Apply(freeze(1))
	s.Apply(batch("r", 2, 7))
	s.Apply(freeze(2))
	w := s.UsageWindows()
	assert.Equal(t, w[0].GetLines()[0].GetOutputTokens(), uint64(5))
	assert.Equal(t, w[1].GetLines()[0].GetOutputTokens(), uint64(7))
}

// callModel is a reference model of calls that must not be repeated: a call may
// be sent if it never began or if its latest attempt is known not to have run,
// and only its latest attempt can finish it.
type callModel struct {
	attempts map[string][]sqcommand.CallState
}

func (m *callModel) begin(id string) bool {
	states := m.attempts[id]
	if len(states) > 0 && states[len(states)-1] != sqcommand.CallState_CALL_STATE_NOT_RUN {
		return false
	}
	m.attempts[id] = append(states, sqcommand.CallState_CALL_STATE_RUNNING)
	return true
}

func (m *callModel) finish(id string, st sqcommand.CallState, attempt int) {
	states := m.attempts[id]
	if attempt < 1 || attempt != len(states) {
		return
	}
	last := states[len(states)-1]
	if last == sqcommand.CallState_CALL_STATE_RUNNING || last == sqcommand.CallState_CALL_STATE_UNKNOWN {
		states[len(states)-1] = st
	}
}

// TestCallsMatchReference checks that the state allows the same calls to be
// sent as the reference model, also after a restore from a snapshot at any
// step.
func TestCallsMatchReference(t *testing.T) {
	finishStates := []sqcommand.CallState{
		sqcommand.CallState_CALL_STATE_DONE, sqcommand.CallState_CALL_STATE_NOT_RUN, sqcommand.CallState_CALL_STATE_UNKNOWN,
	}
	rapid.Check(t, func(t *rapid.T) {
		s := New(Config{})
		model := &callModel{attempts: make(map[string][]sqcommand.CallState)}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "id")
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				got := s.Apply(begin("a", id, "body")).GetCalls()[0].GetState()
				assert.Equal(t, got == sqcommand.CallState_CALL_STATE_STARTED, model.begin(id))
			case 1:
				st := rapid.SampledFrom(finishStates).Draw(t, "end")
				attempt := rapid.IntRange(1, 4).Draw(t, "attempt")
				s.Apply(finish("a", id, st, uint32(attempt)))
				model.finish(id, st, attempt)
			case 2:
				s = restoreFromSnapshot(t, s)
			}
		}
	})
}

func restoreFromSnapshot(t assert.TestingT, s *State) *State {
	b := Encode(s.Snapshot())
	var snap sqcommand.State
	assert.NilError(t, proto.Unmarshal(b, &snap))
	c := New(Config{})
	c.Restore(&snap)
	assert.DeepEqual(t, Encode(c.Snapshot()), b)
	return c
}

func TestSnapshotRoundTrip(t *testing.T) {
	s := New(Config{})
	for _, c := range []*sqcommand.Command{
		publish(0, key("k1", "a", "1")), grant(key("k2", "b", "2")), withdraw("k1"), begin("a", "c", "x"),
		openOrder("o1", "e1", sqcommand.OrderKind_ORDER_KIND_ROLE), openOrder("o2", "e2", sqcommand.OrderKind_ORDER_KIND_ROLE),
		closeOrder("o1"), batch("r", 1, 5), freeze(2), batch("r", 2, 6),
		{OperationId: "d", Body: &sqcommand.Command_SetDrain{SetDrain: &sqcommand.SetDrain{Endpoint: "e9", Draining: true}}},
	} {
		s.Apply(c)
	}
	restored := restoreFromSnapshot(t, s)
	assert.Assert(t, restored.IsDraining("e9"))
	assert.Equal(t, len(restored.Keys()), 1)
	assert.Equal(t, len(restored.OpenOrders()), 1)
	assert.Equal(t, restored.LastUsageWindow(), uint64(2))
}
