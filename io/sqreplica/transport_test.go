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

// mutePeer takes envelopes and never answers.
type mutePeer struct {
	mu   sync.Mutex
	seen []time.Time
	most int
	now  int
}

func (p *mutePeer) Deliver(ctx context.Context, _ *sqrpc.Envelope) (*sqrpc.Ack, error) {
	p.mu.Lock()
	p.seen = append(p.seen, time.Now())
	p.now++
	p.most = max(p.most, p.now)
	p.mu.Unlock()
	<-ctx.Done()
	p.mu.Lock()
	p.now--
	p.mu.Unlock()
	return nil, ctx.Err()
}

// TestLostAnswersHoldNothingUp sends to a peer whose answers are all lost: what
// is sent later must not wait for them until a lease is over, and only so many
// exchanges are open at a time.
func TestLostAnswersHoldNothingUp(t *testing.T) {
	p := &mutePeer{}
	s := httptest.NewServer(http.HandlerFunc(sqrpc.NewPeerServer(p).ServeHTTP))
	defer s.Close()
	out := NewPeerTransport(TransportConfig{})
	to := NewMember(MemberConfig{ID: 2, Address: s.Listener.Addr().String()})
	for range 60 {
		out.Send(Identity{}, to, [][]byte{{1}})
		time.Sleep(DefaultHeartbeatInterval / 2)
	}
	out.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	var gap time.Duration
	for i := 1; i < len(p.seen); i++ {
		gap = max(gap, p.seen[i].Sub(p.seen[i-1]))
	}
	t.Logf("%d envelopes, at most %v apart and %d at a time", len(p.seen), gap.Round(time.Millisecond), p.most)
	assert.Assert(t, len(p.seen) > 1 && gap < DefaultLeaseDuration/2)
	assert.Assert(t, p.most <= maxConnsPerPeer)
}
