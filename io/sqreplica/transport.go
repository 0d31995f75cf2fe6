package sqreplica

import (
	"context"
	"net/http"
	"sync"
	"time"

	"sequoiadock/core/sqevent"
	"sequoiadock/io/sqhttp"
	"sequoiadock/io/sqlog"
	"sequoiadock/io/sqrpc"
)

// Defaults of a PeerTransport.
const (
	defaultTimeout           = 1000 * time.Millisecond
	defaultMaxQueuedMessages = 4096
	defaultMaxQueuedBytes    = 32 << 20
	idleConnTimeout          = 30 * time.Second
	// maxConnsPerPeer bounds the connections to one address, maxInFlight the
	// concurrent requests to one destination. Two destinations can share one
	// address.
	maxConnsPerPeer = 12
	maxInFlight     = 6
	// responseWaitDivisor divides the timeout of a request to give the time after
	// which the next request no longer waits for its response.
	responseWaitDivisor = 4
	// minBytesPerSecond extends the timeout of a request by its size.
	minBytesPerSecond = 4 << 20
	// maxResponseBytes limits a response, which is empty or an error.
	maxResponseBytes = 64 << 10
)

// TransportConfig configures a PeerTransport. Zero values select the defaults.
type TransportConfig struct {
	// Log may be nil.
	Log *sqlog.Log
	// Timeout bounds one request, not counting the time allowed for its size.
	Timeout time.Duration
	// MaxQueuedMessages and MaxQueuedBytes bound the queue of one destination.
	// Messages beyond them are dropped, and Raft sends them again.
	MaxQueuedMessages int
	MaxQueuedBytes    int
}

// PeerTransport sends messages through the twirp service Peer.
type PeerTransport struct {
	cfg     TransportConfig
	client  *http.Client
	ctx     context.Context
	cancel  context.CancelFunc
	senders sync.WaitGroup

	mu     sync.Mutex
	queues map[destination]*queue
}

// destination is one identity at one address. While a replica that lost its disk is
// being replaced, its old and its new identity are members with the same address.
type destination struct {
	address string
	id      uint64
}

// queue holds the messages that wait for one destination. A goroutine sends them
// and ends when the queue is empty.
type queue struct {
	peer     sqrpc.Peer
	to       Member
	envelope *sqrpc.Envelope
	bytes    int
	// sender is the goroutine that currently empties the queue; nil if there is
	// none.
	sender   *sender
	inFlight int
	failing  bool
}

// sender is one goroutine that empties a queue until another one replaces it or the
// queue is empty.
type sender struct {
	queue *queue
}

// NewPeerTransport returns a transport configured by cfg. The caller must close it.
func NewPeerTransport(cfg TransportConfig) *PeerTransport {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.MaxQueuedMessages == 0 {
		cfg.MaxQueuedMessages = defaultMaxQueuedMessages
	}
	if cfg.MaxQueuedBytes == 0 {
		cfg.MaxQueuedBytes = defaultMaxQueuedBytes
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &PeerTransport{
		cfg: cfg, ctx: ctx, cancel: cancel, queues: map[destination]*queue{},
		client: sqhttp.NewClient(sqhttp.ClientConfig{
			ConnectTimeout: cfg.Timeout, IdleTimeout: idleConnTimeout, MaxConnections: maxConnsPerPeer, MaxBodyBytes: maxResponseBytes,
		}),
	}
}

// Send queues messages for to and drops those that do not fit into the queue.
func (t *PeerTransport) Send(from Identity, to Member, messages [][]byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return
	}
	key := destination{address: to.Address(), id: to.ID()}
	q := t.queues[key]
	if q == nil {
		q = &queue{peer: sqrpc.NewPeerProtobufClient("http://"+to.Address(), t.client)}
		t.queues[key] = q
	}
	envelope := q.envelope
	if envelope == nil || envelope.From != from.ID() || envelope.Cluster != from.Cluster() {
		envelope = &sqrpc.Envelope{Cluster: from.Cluster(), From: from.ID(), To: to.ID()}
		q.envelope, q.bytes, q.to = envelope, 0, to
	}
	for _, m := range messages {
		if len(envelope.Messages) >= t.cfg.MaxQueuedMessages || (q.bytes+len(m) > t.cfg.MaxQueuedBytes && q.bytes > 0) {
			break
		}
		envelope.Messages = append(envelope.Messages, m)
		q.bytes += len(m)
	}
	t.startSender(q)
}

// startSender starts a goroutine that empties q unless one is running. The caller
// holds mu.
func (t *PeerTransport) startSender(q *queue) {
	if q.sender != nil || q.envelope == nil || t.ctx.Err() != nil {
		return
	}
	q.sender = &sender{queue: q}
	t.senders.Add(1)
	go t.runSender(q.sender)
}

// runSender sends the queued messages until the queue is empty or another sender
// replaces s.
func (t *PeerTransport) runSender(s *sender) {
	defer t.senders.Done()
	for {
		e, to, bytes := t.takeQueued(s)
		if e == nil {
			return
		}
		timeout := t.cfg.Timeout + time.Duration(bytes)*time.Second/minBytesPerSecond
		// Raft needs nothing from the response. If responses are lost, messages
		// that wait for them would arrive too late to renew a lease.
		timer := time.AfterFunc(timeout/responseWaitDivisor, func() { t.startNextSender(s) })
		ctx, cancel := context.WithTimeout(t.ctx, timeout)
		_, err := s.queue.peer.Deliver(ctx, e)
		cancel()
		timer.Stop()
		t.finishExchange(s.queue, to, err)
	}
}

// takeQueued removes and returns the queued messages, or returns nil when s must
// end.
func (t *PeerTransport) takeQueued(s *sender) (e *sqrpc.Envelope, to Member, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := s.queue
	if q.sender != s {
		return nil, Member{}, 0
	}
	if q.envelope == nil || t.ctx.Err() != nil {
		q.sender = nil
		return nil, Member{}, 0
	}
	e, to, bytes = q.envelope, q.to, q.bytes
	q.envelope, q.bytes = nil, 0
	q.inFlight++
	return e, to, bytes
}

// startNextSender lets another goroutine empty the queue while s waits for a
// response.
func (t *PeerTransport) startNextSender(s *sender) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.queue.sender != s || s.queue.inFlight >= maxInFlight {
		return
	}
	s.queue.sender = nil
	t.startSender(s.queue)
}

// finishExchange records the end of a request and logs the first failure after a
// success.
func (t *PeerTransport) finishExchange(q *queue, to Member, err error) {
	t.mu.Lock()
	q.inFlight--
	firstFailure := err != nil && !q.failing && t.ctx.Err() == nil
	q.failing = err != nil
	t.mu.Unlock()
	if firstFailure && t.cfg.Log != nil {
		t.cfg.Log.Event(sqevent.ReplicaUnreachable, to.Name(), to.Address(), err.Error())
	}
}

// Close stops sending and waits until all goroutines have ended.
func (t *PeerTransport) Close() {
	t.mu.Lock()
	t.cancel()
	t.mu.Unlock()
	t.senders.Wait()
	t.client.CloseIdleConnections()
}
