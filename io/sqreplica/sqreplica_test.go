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
		h := holder(t, nodes)
		h.stop()
		killed := time.Now()
		holder(t, nodes)
		t.Logf("new holder after %v", time.Since(killed))
		propose(t, nodes, fmt.Sprintf("%d-after", round))
		h.start()
		converge(t, nodes)
	}
	for _, n := range nodes {
		n.stop()
	}
	for _, n := range nodes {
		n.start()
	}
	propose(t, nodes, "last")
	converge(t, nodes)
	for _, n := range nodes {
		expectSeen(t, n, "0-0", "1-99", "2-after", "last")
	}
}

// TestHandOver hands over while proposals come in: none that was acknowledged is
// lost, and the lease is gone before another replica holds one.
func TestHandOver(t *testing.T) {
	nodes := newCluster(t, 3, nil)
	for i := range 5 {
		propose(t, nodes, fmt.Sprint("before-", i))
		h := holder(t, nodes)
		ctx, cancel := context.WithTimeout(t.Context(), testWait)
		defer cancel()
		began := time.Now()
		assert.NilError(t, h.replica.TransferLeadership(ctx))
		_, _, held := h.replica.Lease(sqclock.Now())
		assert.Assert(t, !held)
		next := holder(t, nodes)
		t.Logf("new holder after %v", time.Since(began))
		assert.Assert(t, next != h)
		assert.Equal(t, h.replica.Status().LeaderAddress(), next.cfg.Address)
		assert.Equal(t, sqerror.KindOf(h.replica.TransferLeadership(ctx)), sqerror.NotHolder)
	}
	converge(t, nodes)
	expectSeen(t, nodes[0], "before-0", "before-4")
}

// TestHandOverToNobody: without a quorum the authority is gone all the same.
func TestHandOverToNobody(t *testing.T) {
	nodes := newCluster(t, 3, nil)
	h := holder(t, nodes)
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

func expectSeen(t *testing.T, n *node, commands ...string) {
	t.Helper()
	n.machine.mu.Lock()
	defer n.machine.mu.Unlock()
	for _, c := range commands {
		assert.Assert(t, n.machine.seen[c], "%s lost %s", n.cfg.Name, c)
	}
}

func TestReplaceLostDiskThenKillSecond(t *testing.T) {
	nodes := newCluster(t, 3, func(cfg *Config) { cfg.SnapshotEntries = 50 })
	for i := range 120 {
		propose(t, nodes, fmt.Sprint("before-", i))
	}
	h := holder(t, nodes)
	lost := other(nodes, h)
	old := lost.replica.Identity().ID()
	lost.stop()
	fresh := newNode(t, lost.cfg.Name, t.TempDir(), nil)
	fresh.cfg.SnapshotEntries = lost.cfg.SnapshotEntries
	fresh.cfg.Address = lost.cfg.Address
	fresh.start()
	assert.Assert(t, fresh.replica.Identity().ID() != old)
	assert.Equal(t, fresh.replica.Identity().Cluster(), "")

	replace(t, h, old, fresh)
	live := []*node{fresh}
	for _, n := range nodes {
		if n != lost {
			live = append(live, n)
		}
	}
	propose(t, live, "after repair")
	h.stop()
	propose(t, live, "after second kill")
	converge(t, live)
	expectSeen(t, fresh, "before-0", "before-119", "after repair", "after second kill")
	assert.Equal(t, len(fresh.replica.Members()), 3)
	assert.Equal(t, fresh.replica.Identity().Cluster(), "cluster")
}

func other(nodes []*node, h *node) *node {
	for _, n := range nodes {
		if n != h {
			return n
		}
	}
	return nil
}

// replace swaps the member old for the empty replica of fresh.
func replace(t *testing.T, h *node, old uint64, fresh *node) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testWait)
	defer cancel()
	id := fresh.replica.Identity().ID()
	assert.NilError(t, h.replica.AddLearner(ctx, fresh.member()))
	retryChange(t, func() error { return h.replica.PromoteLearner(ctx, id) })
	retryChange(t, func() error { return h.replica.RemoveMember(ctx, old) })
}

func retryChange(t *testing.T, change func() error) {
	t.Helper()
	eventually(t, "member change", func() bool {
		err := change()
		if err != nil {
			assert.Equal(t, sqerror.KindOf(err), sqerror.MemberChange, "%v", err)
		}
		return err == nil
	})
}
