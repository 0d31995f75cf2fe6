package sqreplica

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"sequoiadock/core/sqevent"
	"sequoiadock/io/sqlog"
	"sequoiadock/io/sqrpc"
)

// Defaults of a PeerTransport.
const (
	defaultCallTimeout   = 1000 * time.Millisecond
	defaultQueueMessages = 4096
	defaultQueueBytes    = 32 << 20
	idleConnTimeout      = 30 * time.Second
	// maxConnsPerPeer bounds the connections to one address, maxInFlight the
	// exchanges with one destination. Two may be at one address.
	maxConnsPerPeer = 12
	maxInFlight     = 6
	// patienceDivisor gives the part of an exchange's time after which the next
	// one does not wait for its answer.
	patienceDivisor = 4
	// minBytesPerSecond gives a call with much to carry more time.
	minBytesPerSecond = 4 << 20
)

// TransportConfig configures a PeerTransport. Zero values mean the defaults.
type TransportConfig struct {
	// Log may be nil.
	Log *sqlog.Log
	// Timeout bounds one call without its bytes.
	Timeout time.Duration
	// MaxQueuedMessages and QueueBytes bound what waits for one peer; what comes
	// beyond is lost, and consensus sends it again.
	MaxQueuedMessages int
	MaxQueuedBytes    int
}

// PeerTransport sends messages by the twirp service Peer.
type PeerTransport struct {
	cfg    TransportConfig
	client *http.Client
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu     sync.Mutex
	queues map[destination]*queue
}

// destination is one identity at one address: while a replica with a lost disk
// is replaced, the old identity and the new one are members at one address.
type destination struct {
	address string
	id      uint64
}

// queue is what waits for one destination. A goroutine empties it and ends.
type queue struct {
	peer     sqrpc.Peer
	to       Member
	envelope *sqrpc.Envelope
	bytes    int
	// runner empties the queue at present; nil when none does.
	runner   *runner
	inFlight int
	failing  bool
}

// runner is one goroutine that empties a queue until another one takes its
// place, or nothing is left.
type runner struct {
	queue *queue
}

// NewPeerTransport returns a transport as cfg describes. Close ends it.
func NewPeerTransport(cfg TransportConfig) *PeerTransport {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultCallTimeout
	}
	if cfg.MaxQueuedMessages == 0 {
		cfg.MaxQueuedMessages = defaultQueueMessages
	}
	if cfg.MaxQueuedBytes == 0 {
		cfg.MaxQueuedBytes = defaultQueueBytes
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &PeerTransport{
		cfg: cfg, ctx: ctx, cancel: cancel, queues: map[destination]*queue{},
		client: &http.Client{Transport: &http.Transport{
			DialContext:     (&net.Dialer{Timeout: cfg.Timeout}).DialContext,
			MaxConnsPerHost: maxConnsPerPeer,
			IdleConnTimeout: idleConnTimeout,
		}},
	}
}

// Send queues messages for to, and loses them when its queue is full.
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
	e := q.envelope
	if e == nil || e.From != from.ID() || e.Cluster != from.Cluster() {
		e = &sqrpc.Envelope{Cluster: from.Cluster(), From: from.ID(), To: to.ID()}
		q.envelope, q.bytes, q.to = e, 0, to
	}
	for _, m := range messages {
		if len(e.Messages) >= t.cfg.MaxQueuedMessages || (q.bytes+len(m) > t.cfg.MaxQueuedBytes && q.bytes > 0) {
			break
		}
		e.Messages = append(e.Messages, m)
		q.bytes += len(m)
	}
	t.start(q)
}

// start lets a goroutine empty q unless one does. The caller holds mu.
func (t *PeerTransport) start(q *queue) {
	if q.runner != nil || q.envelope == nil || t.ctx.Err() != nil {
		return
	}
	q.runner = &runner{queue: q}
	t.done.Add(1)
	go t.run(q.runner)
}

// run sends what waits in the queue until there is nothing.
func (t *PeerTransport) run(r *runner) {
	defer t.done.Done()
	for {
		e, to, bytes := t.take(r)
		if e == nil {
			return
		}
		limit := t.cfg.Timeout + time.Duration(bytes)*time.Second/minBytesPerSecond
		// An answer says nothing that consensus needs. If answers are lost, what
		// waits for them would come too late to keep a lease.
		timer := time.AfterFunc(limit/patienceDivisor, func() { t.pass(r) })
		ctx, cancel := context.WithTimeout(t.ctx, limit)
		_, err := r.queue.peer.Deliver(ctx, e)
		cancel()
		timer.Stop()
		t.note(r.queue, to, err)
	}
}

// take returns what waits, or nil when the runner has to end.
func (t *PeerTransport) take(r *runner) (e *sqrpc.Envelope, to Member, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := r.queue
	if q.runner != r {
		return nil, Member{}, 0
	}
	if q.envelope == nil || t.ctx.Err() != nil {
		q.runner = nil
		return nil, Member{}, 0
	}
	e, to, bytes = q.envelope, q.to, q.bytes
	q.envelope, q.bytes = nil, 0
	q.inFlight++
	return e, to, bytes
}

// pass lets another goroutine empty the queue while r waits for an answer.
func (t *PeerTransport) pass(r *runner) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.queue.runner != r || r.queue.inFlight >= maxInFlight {
		return
	}
	r.queue.runner = nil
	t.start(r.queue)
}

// note ends an exchange and logs the first failure in a row.
func (t *PeerTransport) note(q *queue, to Member, err error) {
	t.mu.Lock()
	q.inFlight--
	first := err != nil && !q.failing && t.ctx.Err() == nil
	q.failing = err != nil
	t.mu.Unlock()
	if first && t.cfg.Log != nil {
		t.cfg.Log.Event(sqevent.ReplicaUnreachable, to.Name(), to.Address(), err.Error())
	}
}

// Close stops sending and waits until nothing runs any more.
func (t *PeerTransport) Close() {
	t.mu.Lock()
	t.cancel()
	t.mu.Unlock()
	t.done.Wait()
	t.client.CloseIdleConnections()
}
