package sqreplica

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqraft"
)

// Bounds on the input queued for Run. Messages beyond them are dropped, and Raft
// sends them again; calls beyond them are refused.
const (
	maxMessages     = 8192
	maxMessageBytes = 64 << 20
	maxCalls        = 16384
)

// inbox queues the messages and calls that arrived since Run last took them.
type inbox struct {
	wake chan struct{}

	mu           sync.Mutex
	messages     []*sqraft.Message
	messageBytes int
	calls        []*call
	closeErr     error
}

func newInbox() *inbox { return &inbox{wake: make(chan struct{}, 1)} }

func (b *inbox) notify() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *inbox) addMessage(m *sqraft.Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	size := proto.Size(m)
	if b.closeErr != nil || len(b.messages) >= maxMessages || b.messageBytes+size > maxMessageBytes {
		return
	}
	b.messages = append(b.messages, m)
	b.messageBytes += size
	b.notify()
}

func (b *inbox) addCall(c *call) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closeErr != nil {
		return b.closeErr
	}
	if len(b.calls) >= maxCalls {
		return sqerror.New(sqerror.Config{
			Kind: sqerror.Overloaded, Execution: sqerror.NotRun, Detail: "too many proposals wait",
			RetryAfter: DefaultHeartbeatInterval,
		})
	}
	b.calls = append(b.calls, c)
	b.notify()
	return nil
}

// take removes and returns all messages and, if wantCalls is set, all calls.
func (b *inbox) take(wantCalls bool) ([]*sqraft.Message, []*call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	messages := b.messages
	b.messages, b.messageBytes = nil, 0
	if !wantCalls {
		return messages, nil
	}
	calls := b.calls
	b.calls = nil
	return messages, calls
}

func (b *inbox) hasCalls() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.calls) > 0
}

// close refuses all further input and fails the queued calls with cause.
func (b *inbox) close(cause error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closeErr = cause
	for _, c := range b.calls {
		c.finish(nil, cause)
	}
	b.calls, b.messages = nil, nil
}
