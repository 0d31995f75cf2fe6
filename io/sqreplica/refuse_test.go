package sqreplica

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqraft"
	"sequoiadock/io/sqclock"
)

func expectKind(t *testing.T, err error, kind sqerror.Kind) {
	t.Helper()
	assert.Equal(t, sqerror.KindOf(err), kind, "%v", err)
}

// shortTimings shortens the timing for tests that do not measure it.
func shortTimings(cfg *Config) {
	cfg.HeartbeatInterval, cfg.ElectionTimeout, cfg.LeaseDuration = 30*time.Millisecond, 300*time.Millisecond, 250*time.Millisecond
}

func TestSetup(t *testing.T) {
	n := newNode(t, "a", t.TempDir(), func(cfg *Config) {
		cfg.Deployment = "deployment"
		shortTimings(cfg)
	})
	n.start()
	own := []Member{n.member()}
	two := append(own, NewMember(MemberConfig{ID: 5, Name: "b", Address: "127.0.0.1:1"}))
	_, err := n.replica.Propose(context.Background(), []byte("early"))
	expectKind(t, err, sqerror.NotBootstrapped)
	expectKind(t, n.replica.Bootstrap("", "deployment", own), sqerror.BadSetting)
	expectKind(t, n.replica.Bootstrap("c", "other", own), sqerror.WrongCluster)
	expectKind(t, n.replica.Bootstrap("c", "deployment", two[1:]), sqerror.WrongCluster)
	expectKind(t, n.replica.Bootstrap("c", "deployment", append(own, own...)), sqerror.BadSetting)
	assert.NilError(t, n.replica.Bootstrap("c", "deployment", own))
	assert.NilError(t, n.replica.Bootstrap("c", "deployment", own))
	expectKind(t, n.replica.Bootstrap("c", "deployment", two), sqerror.AlreadyBootstrapped)
	expectKind(t, n.replica.Bootstrap("d", "deployment", own), sqerror.AlreadyBootstrapped)
	propose(t, []*node{n}, "x")
	id := n.replica.Identity().ID()
	n.stop()
	n.start()
	assert.Equal(t, n.replica.Identity().ID(), id)
	expectKind(t, n.replica.Bootstrap("d", "deployment", own), sqerror.AlreadyBootstrapped)
	n.stop()
	n.cfg.Deployment = "other"
	cfg := n.cfg
	cfg.StateMachine = newCountingMachine()
	_, err = Open(cfg)
	expectKind(t, err, sqerror.WrongCluster)
}

// TestSetupAfterInterruptedSetup repeats a bootstrap that was interrupted after the
// identity was stored.
func TestSetupAfterInterruptedSetup(t *testing.T) {
	n := newNode(t, "a", t.TempDir(), shortTimings)
	n.start()
	own := []Member{n.member()}
	n.replica.mu.Lock()
	assert.NilError(t, n.replica.joinCluster("c", "deployment", hashBootstrap("c", "deployment", own)))
	n.replica.mu.Unlock()
	n.stop()
	n.start()
	expectKind(t, n.replica.Bootstrap("d", "deployment", own), sqerror.AlreadyBootstrapped)
	assert.NilError(t, n.replica.Bootstrap("c", "deployment", own))
	propose(t, []*node{n}, "x")
}

func TestForeignMessagesAreRefused(t *testing.T) {
	nodes := newCluster(t, 3, shortTimings)
	h := waitLeaseHolder(t, nodes)
	empty := newNode(t, "empty", t.TempDir(), shortTimings)
	empty.start()
	cases := map[string]struct {
		to      *node
		cluster string
		change  func(m *sqraft.Message)
	}{
		"other cluster":                      {h, "elsewhere", func(*sqraft.Message) {}},
		"other set-up":                       {h, "cluster", func(m *sqraft.Message) { m.Founding++ }},
		"other timing":                       {h, "cluster", func(m *sqraft.Message) { m.Timing++ }},
		"other identity":                     {h, "cluster", func(m *sqraft.Message) { m.To++ }},
		"vote to an empty replica":           {empty, "cluster", func(m *sqraft.Message) { m.Kind = sqraft.MessageKind_VOTE }},
		"other identity to an empty replica": {empty, "cluster", func(m *sqraft.Message) { m.To = h.replica.Identity().ID() }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			m := &sqraft.Message{
				Kind: sqraft.MessageKind_HEARTBEAT, From: 99, To: c.to.replica.Identity().ID(), Term: 1 << 40,
				Founding: h.replica.Identity().cfg.setupHash, Deployment: "deployment", Timing: h.replica.timingHash,
			}
			c.change(m)
			b, err := proto.Marshal(m)
			assert.NilError(t, err)
			expectKind(t, c.to.replica.Deliver(c.cluster, m.GetFrom(), m.GetTo(), [][]byte{b}), sqerror.WrongCluster)
		})
	}
	propose(t, nodes, "still working")
	assert.Assert(t, h.replica.Status().Term() < 1<<40)
	assert.Equal(t, empty.replica.Status().Role(), Empty)
}

func TestNoLeaseWithoutQuorum(t *testing.T) {
	nodes := newCluster(t, 3, shortTimings)
	propose(t, nodes, "x")
	h := waitLeaseHolder(t, nodes)
	for _, n := range nodes {
		if n != h {
			n.stop()
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err := h.replica.Propose(ctx, []byte("y"))
	expectKind(t, err, sqerror.OutcomeUnknown)
	expectKind(t, h.replica.ReadBarrier(ctx), sqerror.NotHolder)
	_, _, held := h.replica.Lease(sqclock.Now())
	assert.Assert(t, !held)
	_, err = h.replica.Propose(ctx, []byte("z"))
	expectKind(t, err, sqerror.NotHolder)
}

func TestFailedDiskStopsReplica(t *testing.T) {
	n := newNode(t, "a", t.TempDir(), shortTimings)
	n.start()
	assert.NilError(t, n.replica.Bootstrap("c", "deployment", []Member{n.member()}))
	propose(t, []*node{n}, "before")
	n.replica.mu.Lock()
	n.replica.disk.Close()
	n.replica.mu.Unlock()
	_, err := n.replica.Propose(context.Background(), []byte("lost"))
	expectKind(t, err, sqerror.OutcomeUnknown)
	expectKind(t, <-n.done, sqerror.DiskFailed)
	_, _, held := n.replica.Lease(sqclock.Now())
	assert.Assert(t, !held)
	_, err = n.replica.Propose(context.Background(), []byte("after"))
	expectKind(t, err, sqerror.DiskFailed)
	n.done <- nil
}

func TestDamagedLogErrorNamesOffset(t *testing.T) {
	n := newNode(t, "a", t.TempDir(), shortTimings)
	n.start()
	assert.NilError(t, n.replica.Bootstrap("c", "deployment", []Member{n.member()}))
	for range 5 {
		propose(t, []*node{n}, "x")
	}
	n.stop()
	path := filepath.Join(n.cfg.DataFolder, "log-0000000000000001")
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	data[len(data)/2] ^= 1
	assert.NilError(t, os.WriteFile(path, data, 0o600))
	_, err = Open(n.cfg)
	expectKind(t, err, sqerror.DamagedFile)
	assert.ErrorContains(t, err, path+" at byte ")
}

func TestLeaseExpiresWithoutRenewal(t *testing.T) {
	h := waitLeaseHolder(t, newCluster(t, 1, shortTimings))
	// A process that was stopped for a whole lease reads this time when it
	// continues.
	_, _, held := h.replica.Lease(sqclock.Now().Add(DefaultLeaseDuration))
	assert.Assert(t, !held)
}
