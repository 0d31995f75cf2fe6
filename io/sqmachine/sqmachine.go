// Package sqmachine lets a replica change the replicated state while others read
// it.
package sqmachine

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqstate"
)

// StateMachine lets the replica change the state while requests read it.
type StateMachine struct {
	mu    sync.RWMutex
	state *sqstate.State
}

// New returns the machine of an empty state.
func New() *StateMachine {
	return &StateMachine{state: sqstate.New(sqstate.Config{})}
}

// Apply implements sqreplica.Machine.
func (m *StateMachine) Apply(_ uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.ApplyBytes(command)
}

// Snapshot implements sqreplica.Machine.
func (m *StateMachine) Snapshot() []byte {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return sqstate.Encode(m.state.Snapshot())
}

// Restore implements sqreplica.Machine.
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

// Read calls f with the state, which f must neither change nor keep.
func (m *StateMachine) Read(f func(s *sqstate.State)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	f(m.state)
}
