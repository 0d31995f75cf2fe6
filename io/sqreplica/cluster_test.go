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

// testTimeout bounds every wait of these tests.
const testTimeout = 20 * time.Second

// countingMachine is a state machine that counts commands and hashes their order.
type countingMachine struct {
	mu        sync.Mutex
	count     uint64
	orderHash uint64
	applied   map[string]bool
	// keepsNothing is set if large commands are only counted, bytes is their size in all.
	keepsNothing bool
	bytes        int
}

func newCountingMachine() *countingMachine { return &countingMachine{applied: map[string]bool{}} }

func (c *countingMachine) Apply(_ uint64, command []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	c.orderHash = c.orderHash*31 + xxhash.Sum64(command)
	c.bytes += len(command)
	if len(c.applied) < 100000 && !c.keepsNothing {
		c.applied[string(command)] = true
	}
	return binary.BigEndian.AppendUint64(nil, c.count)
}

func (c *countingMachine) Snapshot() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := binary.BigEndian.AppendUint64(nil, c.count)
	b = binary.BigEndian.AppendUint64(b, c.orderHash)
	for s := range c.applied {
		b = append(binary.AppendUvarint(b, uint64(len(s))), s...)
	}
	return b
}

func (c *countingMachine) Restore(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count, c.orderHash, b = binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:]), b[16:]
	c.applied = map[string]bool{}
	for len(b) > 0 {
		n, k := binary.Uvarint(b)
		c.applied[string(b[k:k+int(n)])] = true
		b = b[k+int(n):]
	}
	return nil
}

func (c *countingMachine) state() (uint64, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count, c.orderHash
}

func (c *countingMachine) keepNothing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keepsNothing = true
}

// appliedBytes returns the size of the commands that were applied since the start, without
// those that a snapshot replaced.
func (c *countingMachine) appliedBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes
}

// node is one replica with its server; both can be stopped and restarted.
type node struct {
	tb        testing.TB
	cfg       Config
	machine   *countingMachine
	replica   *Replica
	cancel    context.CancelFunc
	done      chan error
	server    *http.Server
	transport *PeerTransport
}

// nodePort is below the range of ports that the kernel assigns to outgoing
// connections.
const nodePort = "7000"

// nodeCount counts the nodes of this process. secondOctet and thirdOctet begin its
// range of loopback addresses; they are random so that two processes running at
// the same time use different ranges.
var (
	nodeCount   atomic.Uint32
	secondOctet = 10 + rand.Uint32N(200)
	thirdOctet  = rand.Uint32N(250)
)

// uniqueAddress returns a loopback address that no other node has, so that its port
// cannot be taken while the node is stopped.
func uniqueAddress() string {
	n := nodeCount.Add(1)
	host := fmt.Sprintf("127.%d.%d.%d", secondOctet, (thirdOctet+n/250)%250, 1+n%250)
	return net.JoinHostPort(host, nodePort)
}

func newNode(tb testing.TB, name, folder string, configure func(*Config)) *node {
	address := uniqueAddress()
	log, err := os.Create(filepath.Join(tb.TempDir(), name+".log"))
	assert.NilError(tb, err)
	cfg := Config{
		Name: name, Zone: "zone-" + name, Address: address, DataFolder: folder,
		Log: sqlog.New(sqlog.Config{Name: name, Output: log, Level: sqevent.Debug}),
	}
	if configure != nil {
		configure(&cfg)
	}
	n := &node{tb: tb, cfg: cfg}
	tb.Cleanup(n.stop)
	return n
}

func (n *node) start() { assert.NilError(n.tb, n.tryStart()) }

// tryStart opens the replica and starts its server.
func (n *node) tryStart() error {
	n.machine = newCountingMachine()
	n.transport = NewPeerTransport(TransportConfig{Log: n.cfg.Log})
	cfg := n.cfg
	cfg.StateMachine, cfg.Transport = n.machine, n.transport
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
	n.transport.Close()
	n.cancel = nil
}

func (n *node) member() Member {
	i := n.replica.Identity()
	return NewMember(MemberConfig{ID: i.ID(), Name: i.Name(), Address: i.Address(), Zone: i.Zone()})
}

// newCluster returns count running replicas that form a cluster.
func newCluster(tb testing.TB, count int, configure func(*Config)) []*node {
	var nodes []*node
	var members []Member
	for i := range count {
		n := newNode(tb, string(rune('a'+i)), tb.TempDir(), configure)
		n.start()
		nodes = append(nodes, n)
		members = append(members, n.member())
	}
	for _, n := range nodes {
		assert.NilError(tb, n.replica.Bootstrap("cluster", "deployment", members))
	}
	return nodes
}

// waitLeaseHolder waits until one of the running nodes holds the lease.
func waitLeaseHolder(tb testing.TB, nodes []*node) *node {
	tb.Helper()
	var found *node
	waitFor(tb, "lease holder", func() bool {
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

func waitFor(tb testing.TB, condition string, ok func() bool) {
	tb.Helper()
	if !pollUntil(testTimeout, ok) {
		tb.Fatalf("no %s within %v", condition, testTimeout)
	}
}

func pollUntil(timeout time.Duration, ok func() bool) bool {
	for deadline := time.Now().Add(timeout); !ok(); {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(5 * time.Millisecond)
	}
	return true
}

// propose commits command through whichever replica leads.
func propose(tb testing.TB, nodes []*node, command string) {
	tb.Helper()
	waitFor(tb, "commit of "+command, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		_, err := waitLeaseHolder(tb, nodes).replica.Propose(ctx, []byte(command))
		if err != nil {
			kind := sqerror.KindOf(err)
			assert.Assert(tb, kind == sqerror.NotHolder || kind == sqerror.OutcomeUnknown, "%v", err)
		}
		return err == nil
	})
}

// waitEqualStates waits until every running node has the same state.
func waitEqualStates(tb testing.TB, nodes []*node) {
	tb.Helper()
	waitFor(tb, "equal states", func() bool { return equalStates(nodes) })
}

func equalStates(nodes []*node) bool {
	var counts, hashes []uint64
	for _, n := range nodes {
		if n.cancel != nil {
			c, h := n.machine.state()
			counts, hashes = append(counts, c), append(hashes, h)
		}
	}
	for i := range counts {
		if counts[i] != counts[0] || hashes[i] != hashes[0] {
			return false
		}
	}
	return true
}
