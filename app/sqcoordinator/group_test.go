package sqcoordinator

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqstate"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqrpc"
)

// declare sends a table with the version to the lease holder until it is committed.
func (g *group) declare(version int) {
	g.t.Helper()
	g.waitFor("a table to be committed", func() bool {
		return g.nodes[g.holder()].Declare(context.Background(), tableDocument(version)) == nil
	})
}

// hasTableVersion reports whether the coordinator has applied the table version.
func (n *node) hasTableVersion(version uint64) bool {
	var v uint64
	n.stateMachine.Read(func(s *sqstate.State) { v, _ = s.RoutingTable() })
	return v == version
}

// TestBootstrap checks that the seeds form one cluster in whatever order they start.
func TestBootstrap(t *testing.T) {
	t.Parallel()
	for _, order := range [][]int{{1, 2, 3}, {3, 1, 2}} {
		g := newGroup(t, order...)
		g.holder()
		cluster := g.nodes[1].replica.Identity().Cluster()
		g.waitFor("all seeds to be in one cluster", func() bool {
			cluster = g.nodes[1].replica.Identity().Cluster()
			return cluster != "" && g.nodes[2].replica.Identity().Cluster() == cluster && g.nodes[3].replica.Identity().Cluster() == cluster
		})
		g.declare(4)
		for _, n := range g.nodes {
			g.waitFor("the table on every replica", func() bool { return n.hasTableVersion(4) })
		}
	}
}

// TestOperators checks that only the lease holder accepts and returns tables, that an
// older table is accepted without effect, and that every coordinator rejects an invalid
// one.
func TestOperators(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1, 2, 3)
	g.declare(9)
	ctx := context.Background()
	holder, follower := g.nodes[g.holder()], g.nodes[g.follower()]
	assert.NilError(t, holder.Declare(ctx, tableDocument(5)))
	got, err := holder.Declared(ctx)
	assert.NilError(t, err)
	assert.Equal(t, string(got), string(tableDocument(9)))
	g.waitFor("the follower to know the holder", func() bool {
		var e *sqerror.Error
		err := follower.Declare(ctx, tableDocument(10))
		assert.Equal(t, sqerror.KindOf(err), sqerror.NotHolder)
		return errors.As(err, &e) && e.RedirectAddress() == holder.cfg.OperatorAddress
	})
	_, err = follower.Declared(ctx)
	assert.Equal(t, sqerror.KindOf(err), sqerror.NotHolder)
	assert.Equal(t, sqerror.KindOf(follower.Declare(ctx, []byte("{"))), sqerror.BadRequest)
	assert.Equal(t, sqerror.KindOf(holder.Declare(ctx, tableDocument(0))), sqerror.BadRequest)
}

// TestMemberReplacedAtNewAddress checks that an empty replica at another address
// replaces a member that stopped for good.
func TestMemberReplacedAtNewAddress(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1, 2, 3)
	g.declare(4)
	lost := g.follower()
	lostID := g.nodes[lost].replica.Identity().ID()
	g.stop(lost)
	replacement := g.start(4, t.TempDir(), false)
	g.waitFor("the new replica to vote", func() bool {
		lostIsMember, voters := false, 0
		for _, m := range g.nodes[g.holder()].replica.Members() {
			lostIsMember = lostIsMember || m.ID() == lostID
			if !m.Learner() {
				voters++
			}
		}
		return !lostIsMember && voters == 3 && replacement.hasTableVersion(4)
	})
	// The group can now lose another member.
	for i := range g.nodes {
		if i != 4 && i != g.holder() {
			g.stop(i)
			break
		}
	}
	g.declare(5)
}

// TestWipedDisk checks that a replica whose disk was wiped rejoins at its address as a
// new member, without the loss of an acknowledged table.
func TestWipedDisk(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1, 2, 3)
	g.declare(4)
	lost := g.follower()
	oldID, folder := g.nodes[lost].replica.Identity().ID(), g.nodes[lost].folder
	g.stop(lost)
	clearFolder(t, folder)
	restarted := g.start(lost, folder, false)
	assert.Assert(t, restarted.replica.Identity().ID() != oldID)
	g.waitFor("the replica to vote again", func() bool {
		voters := 0
		for _, m := range restarted.replica.Members() {
			if !m.Learner() {
				voters++
			}
			if m.ID() == oldID {
				return false
			}
		}
		return voters == 3 && restarted.hasTableVersion(4)
	})
}

// TestHolderLost checks that after the lease holder stops, another replica soon holds
// the lease and has the acknowledged table.
func TestHolderLost(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1, 2, 3)
	g.declare(4)
	oldHolder := g.holder()
	g.stop(oldHolder)
	stoppedAt := time.Now()
	newHolder := g.nodes[g.holder()]
	assert.Assert(t, time.Since(stoppedAt) < 4*time.Second)
	document, err := newHolder.Declared(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, string(document), string(tableDocument(4)))
}

// TestLearnerLacksLargeEntries guards against a voter that is removed for a learner that lacks
// few entries, but large ones.
func TestLearnerLacksLargeEntries(t *testing.T) {
	t.Parallel()
	assert.Assert(t, isCaughtUp(100, 100, 0))
	assert.Assert(t, isCaughtUp(50, 100, 50*100))
	assert.Assert(t, !isCaughtUp(50, 100, 50*largeTable))
	assert.Assert(t, !isCaughtUp(50, 200, 150*100))
	assert.Assert(t, !isCaughtUp(0, 10, 0), "it may have answered nothing yet")
}

func newBeatRequest(gateway string, requests uint64) *sqrpc.BeatRequest {
	return &sqrpc.BeatRequest{
		Gateway: gateway, Run: "1", Zone: "z1", Address: "10.0.0.1:1", WallUnixNano: time.Now().UnixNano(),
		Counts: []*sqrpc.WindowCounts{{Window: uint64(time.Now().Unix()), Team: "a", Requests: requests}},
	}
}

// TestBeat checks that the response to a heartbeat has the table, the loads of the other
// gateways and their cache updates if the gateway lacks them, and that only the lease
// holder answers.
func TestBeat(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1, 2, 3)
	g.declare(4)
	ctx := context.Background()
	holder := g.nodes[g.holder()]
	req := newBeatRequest("g1", 1)
	req.Loads = []*sqrpc.InFlight{{Id: "e1", Running: 3, UncachedTokens: 70}}
	req.CacheUpdates = []*sqrpc.CacheUpdate{{Endpoint: "e1", PrefixHash: 7, Tokens: 900}}
	res, err := holder.Beat(ctx, req)
	assert.NilError(t, err)
	assert.Equal(t, string(res.GetTableDocument()), string(tableDocument(4)))
	assert.Equal(t, len(res.GetOthers())+len(res.GetCacheUpdates()), 0)
	// Cache updates are collected for a moment before they are sent.
	time.Sleep(2 * cacheBatchInterval)
	other := newBeatRequest("g2", 1)
	other.TableVersion = 4
	res, err = holder.Beat(ctx, other)
	assert.NilError(t, err)
	assert.Equal(t, len(res.GetTableDocument()), 0, "the gateway already has this version")
	assert.Equal(t, res.GetOthers()[0].GetUncachedTokens(), uint64(70))
	assert.Equal(t, res.GetCacheUpdates()[0].GetPrefixHash(), uint64(7))
	assert.Equal(t, len(res.GetGateways()), 2)
	other.LastCacheUpdate, other.Leaving = res.GetLastCacheUpdate(), true
	res, err = holder.Beat(ctx, other)
	assert.NilError(t, err)
	assert.Equal(t, len(res.GetCacheUpdates()), 0)
	assert.Equal(t, len(res.GetGateways()), 1, "a gateway that leaves must not be in the directory")
	_, err = g.nodes[g.follower()].Beat(ctx, req)
	assert.Equal(t, sqerror.KindOf(sqrpc.FromTwirp(err)), sqerror.NotHolder)
}

// TestUsage checks that every window is reported, and that a repeated report has the same
// counts, when responses of the platform are lost and the lease holder changes.
func TestUsage(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1, 2, 3)
	g.platform.mu.Lock()
	g.platform.lostResponses = 2
	g.platform.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reportedRequests := func() uint64 {
		g.platform.mu.Lock()
		defer g.platform.mu.Unlock()
		n := uint64(0)
		for _, counts := range g.platform.reports {
			for _, c := range counts {
				n += c.Requests
			}
		}
		return n
	}
	window := uint64(time.Now().Unix())
	counts := []*sqrpc.WindowCounts{{Window: window, Team: "a", Requests: 11}}
	send := func() {
		req := newBeatRequest("g1", 0)
		req.Counts = counts
		// The call fails while the lease holder changes; the next heartbeat reaches the new
		// one.
		_, _ = g.nodes[g.holder()].Beat(ctx, req)
	}
	g.waitFor("the first report", func() bool { send(); return reportedRequests() == 11 })
	g.stop(g.holder())
	counts = append(counts, &sqrpc.WindowCounts{Window: uint64(time.Now().Unix()), Team: "b", Requests: 5})
	g.waitFor("the next report", func() bool { send(); return reportedRequests() == 16 })
	newHolder := g.nodes[g.holder()]
	_, _, held := newHolder.replica.Lease(sqclock.Now())
	assert.Assert(t, held)
}
