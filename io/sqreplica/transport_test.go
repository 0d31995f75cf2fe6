package sqreplica

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/io/sqrpc"
)

// unresponsivePeer receives envelopes and never responds.
type unresponsivePeer struct {
	mu         sync.Mutex
	receivedAt []time.Time
	maxOpen    int
	open       int
}

func (p *unresponsivePeer) Deliver(ctx context.Context, _ *sqrpc.Envelope) (*sqrpc.Ack, error) {
	p.mu.Lock()
	p.receivedAt = append(p.receivedAt, time.Now())
	p.open++
	p.maxOpen = max(p.maxOpen, p.open)
	p.mu.Unlock()
	<-ctx.Done()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
	return nil, ctx.Err()
}

// TestLostResponsesDoNotDelaySends sends to a peer whose responses are all lost:
// later messages must not wait for the responses so long that a lease expires, and
// the number of concurrent requests must stay bounded.
func TestLostResponsesDoNotDelaySends(t *testing.T) {
	p := &unresponsivePeer{}
	s := httptest.NewServer(http.HandlerFunc(sqrpc.NewPeerServer(p).ServeHTTP))
	defer s.Close()
	transport := NewPeerTransport(TransportConfig{})
	to := NewMember(MemberConfig{ID: 2, Address: s.Listener.Addr().String()})
	for range 60 {
		transport.Send(Identity{}, to, [][]byte{{1}})
		time.Sleep(DefaultHeartbeatInterval / 2)
	}
	transport.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	var maxGap time.Duration
	for i := 1; i < len(p.receivedAt); i++ {
		maxGap = max(maxGap, p.receivedAt[i].Sub(p.receivedAt[i-1]))
	}
	t.Logf("%d envelopes, at most %v apart and %d at a time", len(p.receivedAt), maxGap.Round(time.Millisecond), p.maxOpen)
	assert.Assert(t, len(p.receivedAt) > 1 && maxGap < DefaultLeaseDuration/2)
	assert.Assert(t, p.maxOpen <= maxConnsPerPeer)
}
