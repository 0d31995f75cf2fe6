package sqreplica

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqclock"
)

func TestKillAndRestart(t *testing.T) {
	nodes := newCluster(t, 3, func(cfg *Config) { cfg.SnapshotEntries = 50 })
	for round := range 3 {
		for i := range 100 {
			propose(t, nodes, fmt.Sprintf("%d-%d", round, i))
		}
		h := waitLeaseHolder(t, nodes)
		h.stop()
		killed := time.Now()
		waitLeaseHolder(t, nodes)
		t.Logf("new lease holder after %v", time.Since(killed))
		propose(t, nodes, fmt.Sprintf("%d-after", round))
		h.start()
		waitEqualStates(t, nodes)
	}
	for _, n := range nodes {
		n.stop()
	}
	for _, n := range nodes {
		n.start()
	}
	propose(t, nodes, "last")
	waitEqualStates(t, nodes)
	for _, n := range nodes {
		expectApplied(t, n, "0-0", "1-99", "2-after", "last")
	}
}

// TestHandOver transfers the leadership repeatedly: no acknowledged proposal is lost,
// and the old leader holds no lease after the transfer.
func TestHandOver(t *testing.T) {
	nodes := newCluster(t, 3, nil)
	for i := range 5 {
		propose(t, nodes, fmt.Sprint("before-", i))
		h := waitLeaseHolder(t, nodes)
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		began := time.Now()
		assert.NilError(t, h.replica.TransferLeadership(ctx))
		_, _, held := h.replica.Lease(sqclock.Now())
		assert.Assert(t, !held)
		next := waitLeaseHolder(t, nodes)
		t.Logf("new lease holder after %v", time.Since(began))
		assert.Assert(t, next != h)
		assert.Equal(t, h.replica.Status().LeaderAddress(), next.cfg.Address)
		assert.Equal(t, sqerror.KindOf(h.replica.TransferLeadership(ctx)), sqerror.NotHolder)
	}
	waitEqualStates(t, nodes)
	expectApplied(t, nodes[0], "before-0", "before-4")
}

// TestHandOverWithoutQuorum checks that a transfer without a quorum fails but still
// gives up the lease.
func TestHandOverWithoutQuorum(t *testing.T) {
	nodes := newCluster(t, 3, nil)
	h := waitLeaseHolder(t, nodes)
	for _, n := range nodes {
		if n != h {
			n.stop()
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), DefaultElectionTimeout)
	defer cancel()
	err := h.replica.TransferLeadership(ctx)
	assert.Equal(t, sqerror.KindOf(err), sqerror.NotHolder, "%v", err)
	_, _, held := h.replica.Lease(sqclock.Now())
	assert.Assert(t, !held)
}

func expectApplied(t *testing.T, n *node, commands ...string) {
	t.Helper()
	n.machine.mu.Lock()
	defer n.machine.mu.Unlock()
	for _, c := range commands {
		assert.Assert(t, n.machine.applied[c], "%s lost %s", n.cfg.Name, c)
	}
}

func TestReplaceLostDiskThenKillSecond(t *testing.T) {
	nodes := newCluster(t, 3, func(cfg *Config) { cfg.SnapshotEntries = 50 })
	for i := range 120 {
		propose(t, nodes, fmt.Sprint("before-", i))
	}
	h := waitLeaseHolder(t, nodes)
	lost := anyOtherNode(nodes, h)
	oldID := lost.replica.Identity().ID()
	lost.stop()
	replacement := newNode(t, lost.cfg.Name, t.TempDir(), nil)
	replacement.cfg.SnapshotEntries = lost.cfg.SnapshotEntries
	replacement.cfg.Address = lost.cfg.Address
	replacement.start()
	assert.Assert(t, replacement.replica.Identity().ID() != oldID)
	assert.Equal(t, replacement.replica.Identity().Cluster(), "")

	replaceMember(t, h, oldID, replacement)
	live := []*node{replacement}
	for _, n := range nodes {
		if n != lost {
			live = append(live, n)
		}
	}
	propose(t, live, "after repair")
	h.stop()
	propose(t, live, "after second kill")
	waitEqualStates(t, live)
	expectApplied(t, replacement, "before-0", "before-119", "after repair", "after second kill")
	assert.Equal(t, len(replacement.replica.Members()), 3)
	assert.Equal(t, replacement.replica.Identity().Cluster(), "cluster")
}

func anyOtherNode(nodes []*node, h *node) *node {
	for _, n := range nodes {
		if n != h {
			return n
		}
	}
	return nil
}

// replaceMember replaces the member oldID by the empty replica of replacement.
func replaceMember(t *testing.T, h *node, oldID uint64, replacement *node) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	id := replacement.replica.Identity().ID()
	assert.NilError(t, h.replica.AddLearner(ctx, replacement.member()))
	retryMemberChange(t, func() error { return h.replica.PromoteLearner(ctx, id) })
	retryMemberChange(t, func() error { return h.replica.RemoveMember(ctx, oldID) })
}

func retryMemberChange(t *testing.T, change func() error) {
	t.Helper()
	waitFor(t, "member change", func() bool {
		err := change()
		if err != nil {
			assert.Equal(t, sqerror.KindOf(err), sqerror.MemberChange, "%v", err)
		}
		return err == nil
	})
}
