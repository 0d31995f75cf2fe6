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

func publishOf(base uint64, keys ...*sqcommand.Key) *sqcommand.Command {
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

// step is one command and the kind of error that it must give.
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
		{"publishing compares versions", []step{
			{publishOf(0), sqerror.None}, {publishOf(0), sqerror.Conflict}, {publishOf(1), sqerror.None}, {publishOf(7), sqerror.Conflict},
		}},
		{"files that grant a withdrawn key are refused", []step{
			{publishOf(0, k1), sqerror.None}, {withdraw("k1"), sqerror.None},
			{publishOf(1, k1), sqerror.KeyWithdrawn},
			{publishOf(1, key("other", "a", "1")), sqerror.KeyWithdrawn},
			{publishOf(1), sqerror.None}, {publishOf(2, k1), sqerror.KeyWithdrawn},
		}},
		{"a withdrawn key is not granted again", []step{
			{publishOf(0, k1), sqerror.None}, {withdraw("k1"), sqerror.None}, {withdraw("k1"), sqerror.None},
			{grant(k1), sqerror.KeyWithdrawn}, {withdraw("k2"), sqerror.UnknownKey},
		}},
		{"files must agree with keys granted by command", []step{
			{publishOf(0), sqerror.None}, {grant(key("k2", "a", "2")), sqerror.None},
			{publishOf(1, key("k2", "b", "2")), sqerror.Conflict},
			{publishOf(1, key("k2", "a", "2")), sqerror.None},
			{grant(key("k3", "nobody", "3")), sqerror.NotFound},
		}},
		{"a target has one open order", []step{
			{openOrder("o1", "e1", role), sqerror.None}, {openOrder("o2", "e1", load), sqerror.OrderOpen},
			{openOrder("o1", "e1", role), sqerror.None}, {openOrder("o3", "e2", role), sqerror.None},
			{closeOrder("o1"), sqerror.None}, {closeOrder("o1"), sqerror.UnknownOrder}, {openOrder("o2", "e1", load), sqerror.None},
		}},
		{"usage batches come in order and windows freeze once", []step{
			{batch("r", 1, 5), sqerror.None}, {batch("r", 1, 5), sqerror.None}, {batch("r", 3, 5), sqerror.Conflict},
			{freeze(4), sqerror.None}, {freeze(4), sqerror.WindowFrozen}, {freeze(3), sqerror.WindowFrozen},
		}},
		{"only unknown calls are settled", []step{
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
	c := publishOf(0)
	c.OperationId = "op"
	first := s.Apply(c)
	assert.Equal(t, first.GetVersion(), uint64(1))
	assert.Assert(t, proto.Equal(s.Apply(c), first))
	assert.Equal(t, s.Version(), uint64(1))
	for i := range 10 {
		s.Apply(&sqcommand.Command{OperationId: fmt.Sprint(i)})
	}
	assert.Equal(t, len(s.operations.first), 2)
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

// naiveCalls is the plain rule of calls that must not be repeated: a call may
// be sent when it was never begun or its latest attempt is known not to have
// run, and only its latest attempt ends it.
type naiveCalls struct {
	attempts map[string][]sqcommand.CallState
}

func (n *naiveCalls) begin(id string) bool {
	all := n.attempts[id]
	if len(all) > 0 && all[len(all)-1] != sqcommand.CallState_CALL_STATE_NOT_RUN {
		return false
	}
	n.attempts[id] = append(all, sqcommand.CallState_CALL_STATE_RUNNING)
	return true
}

func (n *naiveCalls) finish(id string, st sqcommand.CallState, attempt int) {
	all := n.attempts[id]
	if attempt < 1 || attempt != len(all) {
		return
	}
	last := all[len(all)-1]
	if last == sqcommand.CallState_CALL_STATE_RUNNING || last == sqcommand.CallState_CALL_STATE_UNKNOWN {
		all[len(all)-1] = st
	}
}

// The record of calls agrees with the naive rule, and a copy restored from a
// snapshot at any point goes on in the same way.
func TestCallsAgainstNaive(t *testing.T) {
	ends := []sqcommand.CallState{
		sqcommand.CallState_CALL_STATE_DONE, sqcommand.CallState_CALL_STATE_NOT_RUN, sqcommand.CallState_CALL_STATE_UNKNOWN,
	}
	rapid.Check(t, func(t *rapid.T) {
		s := New(Config{})
		n := &naiveCalls{attempts: make(map[string][]sqcommand.CallState)}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "id")
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				got := s.Apply(begin("a", id, "body")).GetCalls()[0].GetState()
				assert.Equal(t, got == sqcommand.CallState_CALL_STATE_STARTED, n.begin(id))
			case 1:
				st := rapid.SampledFrom(ends).Draw(t, "end")
				attempt := rapid.IntRange(1, 4).Draw(t, "attempt")
				s.Apply(finish("a", id, st, uint32(attempt)))
				n.finish(id, st, attempt)
			case 2:
				s = restored(t, s)
			}
		}
	})
}

func restored(t assert.TestingT, s *State) *State {
	b := Encode(s.Snapshot())
	var snap sqcommand.State
	assert.NilError(t, proto.Unmarshal(b, &snap))
	c := New(Config{})
	c.Restore(&snap)
	assert.DeepEqual(t, Encode(c.Snapshot()), b)
	return c
}

func TestSnapshotKeepsEverything(t *testing.T) {
	s := New(Config{})
	for _, c := range []*sqcommand.Command{
		publishOf(0, key("k1", "a", "1")), grant(key("k2", "b", "2")), withdraw("k1"), begin("a", "c", "x"),
		openOrder("o1", "e1", sqcommand.OrderKind_ORDER_KIND_ROLE), openOrder("o2", "e2", sqcommand.OrderKind_ORDER_KIND_ROLE),
		closeOrder("o1"), batch("r", 1, 5), freeze(2), batch("r", 2, 6),
		{OperationId: "d", Body: &sqcommand.Command_SetDrain{SetDrain: &sqcommand.SetDrain{Endpoint: "e9", Draining: true}}},
	} {
		s.Apply(c)
	}
	c := restored(t, s)
	assert.Assert(t, c.IsDraining("e9"))
	assert.Equal(t, len(c.Keys()), 1)
	assert.Equal(t, len(c.OpenOrders()), 1)
	assert.Equal(t, c.LastUsageWindow(), uint64(2))
}
