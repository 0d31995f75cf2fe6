// Package sqmachine is the replicated state machine of a process. Requests read its
// state while the replica applies commands.
package sqmachine

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqstate"
)

// StateMachine guards the replicated state with a lock: the replica changes the state
// while requests read it. It is safe for concurrent use.
type StateMachine struct {
	mu    sync.RWMutex
	state *sqstate.State
}

// New returns a state machine with an empty state.
func New() *StateMachine {
	return &StateMachine{state: sqstate.New(sqstate.Config{})}
}

// Apply implements sqreplica.StateMachine.
func (m *StateMachine) Apply(_ uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.ApplyBytes(command)
}

// Snapshot implements sqreplica.StateMachine.
func (m *StateMachine) Snapshot() []byte {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return sqstate.Encode(m.state.Snapshot())
}

// Restore implements sqreplica.StateMachine.
func (m *StateMachine) Restore(snapshot []byte) error {
	var s sqcommand.State
	if err := proto.Unmarshal(snapshot, &s); err != nil {
		return sqerror.New(sqerror.Config{Kind: sqerror.DamagedFile, Detail: "undecodable snapshot", Cause: err})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.Restore(&s)
	return nil
}

// Read calls f with the state. f must neither modify the state nor retain it after it
// returns.
func (m *StateMachine) Read(f func(s *sqstate.State)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	f(m.state)
}
