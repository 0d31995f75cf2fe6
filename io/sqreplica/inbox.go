package sqreplica

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqraft"
)

// Bounds on what waits for the driver. Messages beyond are lost, which the
// consensus mends; calls beyond are refused.
const (
	maxMessages     = 8192
	maxMessageBytes = 64 << 20
	maxCalls        = 16384
)

// inbox holds what came in since the driver last looked.
type inbox struct {
	wake chan struct{}

	mu       sync.Mutex
	messages []*sqraft.Message
	bytes    int
	calls    []*call
	closed   error
}

func newInbox() *inbox { return &inbox{wake: make(chan struct{}, 1)} }

func (b *inbox) signal() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *inbox) addMessage(m *sqraft.Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	size := proto.Size(m)
	if b.closed != nil || len(b.messages) >= maxMessages || b.bytes+size > maxMessageBytes {
		return
	}
	b.messages = append(b.messages, m)
	b.bytes += size
	b.signal()
}

func (b *inbox) addCall(c *call) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed != nil {
		return b.closed
	}
	if len(b.calls) >= maxCalls {
		return sqerror.New(sqerror.Config{
			Kind: sqerror.Overloaded, Run: sqerror.NotRun, Detail: "too many proposals wait",
			RetryAfter: DefaultHeartbeatInterval,
		})
	}
	b.calls = append(b.calls, c)
	b.signal()
	return nil
}

// take returns all messages and, if wanted, all calls.
func (b *inbox) take(wantCalls bool) ([]*sqraft.Message, []*call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	messages := b.messages
	b.messages, b.bytes = nil, 0
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

// close refuses all further input and ends the calls that nobody has started.
func (b *inbox) close(cause error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = cause
	for _, c := range b.calls {
		c.finish(nil, cause)
	}
	b.calls, b.messages = nil, nil
}
