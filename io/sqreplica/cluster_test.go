package sqreplica

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqevent"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqlog"
	"sequoiadock/io/sqrpc"
)

// testWait bounds every wait of these tests.
const testWait = 20 * time.Second

// counter is a state machine that counts commands and hashes their order.
type counter struct {
	mu    sync.Mutex
	count uint64
	sum   uint64
	seen  map[string]bool
}

func newCounter() *counter { return &counter{seen: map[string]bool{}} }

func (c *counter) Apply(_ uint64, command []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	c.sum = c.sum*31 + xxhash.Sum64(command)
	if len(c.seen) < 100000 {
		c.seen[string(command)] = true
	}
	return binary.BigEndian.AppendUint64(nil, c.count)
}

func (c *counter) Snapshot() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := binary.BigEndian.AppendUint64(nil, c.count)
	b = binary.BigEndian.AppendUint64(b, c.sum)
	for s := range c.seen {
		b = append(binary.AppendUvarint(b, uint64(len(s))), s...)
	}
	return b
}

func (c *counter) Restore(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count, c.sum, b = binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:]), b[16:]
	c.seen = map[string]bool{}
	for len(b) > 0 {
		n, k := binary.Uvarint(b)
		c.seen[string(b[k:k+int(n)])] = true
		b = b[k+int(n):]
	}
	return nil
}

func (c *counter) state() (uint64, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count, c.sum
}

// node is one replica with its server, which can be stopped and started.
type node struct {
	tb      testing.TB
	cfg     Config
	machine *counter
	replica *Replica
	cancel  context.CancelFunc
	done    chan error
	server  *http.Server
	out     *PeerTransport
}

// nodePort is below the range that the kernel gives to outgoing connections.
const nodePort = "7000"

// nodes counts the nodes of this process; network and subnet are where its
// addresses begin, drawn so that two processes at once do not meet.
var (
	nodes   atomic.Uint32
	network = 10 + rand.Uint32N(200)
	subnet  = rand.Uint32N(250)
)

// ownAddress returns a loopback address that no other node has, so that its port
// cannot be taken while the node is stopped.
func ownAddress() string {
	n := nodes.Add(1)
	host := fmt.Sprintf("127.%d.%d.%d", network, (subnet+n/250)%250, 1+n%250)
	return net.JoinHostPort(host, nodePort)
}

func newNode(tb testing.TB, name, folder string, change func(*Config)) *node {
	address := ownAddress()
	log, err := os.Create(filepath.Join(tb.TempDir(), name+".log"))
	assert.NilError(tb, err)
	cfg := Config{
		Name: name, Zone: "zone-" + name, Address: address, Folder: folder,
		Log: sqlog.New(sqlog.Config{Name: name, Output: log, Level: sqevent.Debug}),
	}
	if change != nil {
		change(&cfg)
	}
	n := &node{tb: tb, cfg: cfg}
	tb.Cleanup(n.stop)
	return n
}

func (n *node) start() { assert.NilError(n.tb, n.tryStart()) }

// tryStart opens the folder and serves it.
func (n *node) tryStart() error {
	n.machine = newCounter()
	n.out = NewPeerTransport(TransportConfig{Log: n.cfg.Log})
	cfg := n.cfg
	cfg.StateMachine, cfg.Transport = n.machine, n.out
	r, err := Open(cfg)
	if err != nil {
		return err
	}
	n.replica = r
	l, err := net.Listen("tcp", cfg.Address)
	assert.NilError(n.tb, err)
	srv := &http.Server{Handler: sqrpc.NewPeerServer(NewPeerServer(r)), ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	n.server, n.cancel, n.done = srv, cancel, done
	return nil
}

func (n *node) stop() {
	if n.cancel == nil {
		return
	}
	_ = n.server.Close()
	n.cancel()
	assert.Check(n.tb, <-n.done == nil)
	n.out.Close()
	n.cancel = nil
}

func (n *node) member() Member {
	i := n.replica.Identity()
	return NewMember(MemberConfig{ID: i.ID(), Name: i.Name(), Address: i.Address(), Zone: i.Zone()})
}

// newCluster returns count running replicas that are set up.
func newCluster(tb testing.TB, count int, change func(*Config)) []*node {
	var nodes []*node
	var members []Member
	for i := range count {
		n := newNode(tb, string(rune('a'+i)), tb.TempDir(), change)
		n.start()
		nodes = append(nodes, n)
		members = append(members, n.member())
	}
	for _, n := range nodes {
		assert.NilError(tb, n.replica.Setup("cluster", "deployment", members))
	}
	return nodes
}

// holder waits until one of the running nodes holds the lease.
func holder(tb testing.TB, nodes []*node) *node {
	tb.Helper()
	var found *node
	eventually(tb, "a holder", func() bool {
		for _, n := range nodes {
			if n.cancel == nil {
				continue
			}
			if _, _, held := n.replica.Lease(sqclock.Now()); held {
				found = n
				return true
			}
		}
		return false
	})
	return found
}

func eventually(tb testing.TB, what string, ok func() bool) {
	tb.Helper()
	if !within(testWait, ok) {
		tb.Fatalf("no %s within %v", what, testWait)
	}
}

func within(wait time.Duration, ok func() bool) bool {
	for end := time.Now().Add(wait); !ok(); {
		if time.Now().After(end) {
			return false
		}
		time.Sleep(5 * time.Millisecond)
	}
	return true
}

// propose commits command through whichever replica leads.
func propose(tb testing.TB, nodes []*node, command string) {
	tb.Helper()
	eventually(tb, "commit of "+command, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), testWait)
		defer cancel()
		_, err := holder(tb, nodes).replica.Propose(ctx, []byte(command))
		if err != nil {
			kind := sqerror.KindOf(err)
			assert.Assert(tb, kind == sqerror.NotHolder || kind == sqerror.OutcomeUnknown, "%v", err)
		}
		return err == nil
	})
}

// converge waits until every running node has the same state.
func converge(tb testing.TB, nodes []*node) {
	tb.Helper()
	eventually(tb, "equal states", func() bool { return equalStates(nodes) })
}

func equalStates(nodes []*node) bool {
	var counts, sums []uint64
	for _, n := range nodes {
		if n.cancel != nil {
			c, s := n.machine.state()
			counts, sums = append(counts, c), append(sums, s)
		}
	}
	for i := range counts {
		if counts[i] != counts[0] || sums[i] != sums[0] {
			return false
		}
	}
	return true
}
