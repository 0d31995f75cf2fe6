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

// declareAt sends a table to one coordinator, and to the holder if that is another.
func (g *group) declare(version int) {
	g.t.Helper()
	g.wait("a table committed", func() bool {
		return g.nodes[g.holder()].Declare(context.Background(), table(version)) == nil
	})
}

// has reports whether the coordinator has applied the version.
func (n *node) has(version uint64) bool {
	var v uint64
	n.machine.Read(func(s *sqstate.State) { v, _ = s.RoutingTable() })
	return v == version
}

// TestFounding wants one group made by seeds that start in any order.
func TestFounding(t *testing.T) {
	t.Parallel()
	for _, order := range [][]int{{1, 2, 3}, {3, 1, 2}} {
		g := newGroup(t, order...)
		g.holder()
		cluster := g.nodes[1].replica.Identity().Cluster()
		g.wait("one cluster", func() bool {
			cluster = g.nodes[1].replica.Identity().Cluster()
			return cluster != "" && g.nodes[2].replica.Identity().Cluster() == cluster && g.nodes[3].replica.Identity().Cluster() == cluster
		})
		g.declare(4)
		for _, n := range g.nodes {
			g.wait("the table everywhere", func() bool { return n.has(4) })
		}
	}
}

// TestOperators wants a table taken by the holder alone, an older one taken
// without effect, a bad one refused anywhere, and reads at the holder alone.
func TestOperators(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1, 2, 3)
	g.declare(9)
	ctx := context.Background()
	h, f := g.nodes[g.holder()], g.nodes[g.follower()]
	assert.NilError(t, h.Declare(ctx, table(5)))
	document, err := h.Declared(ctx)
	assert.NilError(t, err)
	assert.Equal(t, string(document), string(table(9)))
	g.wait("the follower knows the holder", func() bool {
		var e *sqerror.Error
		err := f.Declare(ctx, table(10))
		assert.Equal(t, sqerror.KindOf(err), sqerror.NotHolder)
		return errors.As(err, &e) && e.Elsewhere() == h.cfg.OperatorAddress
	})
	_, err = f.Declared(ctx)
	assert.Equal(t, sqerror.KindOf(err), sqerror.NotHolder)
	assert.Equal(t, sqerror.KindOf(f.Declare(ctx, []byte("{"))), sqerror.BadRequest)
	assert.Equal(t, sqerror.KindOf(h.Declare(ctx, table(0))), sqerror.BadRequest)
}

// TestReplacedElsewhere wants an empty replica at another address to take the
// place of one that is gone for good.
func TestReplacedElsewhere(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1, 2, 3)
	g.declare(4)
	lost := g.follower()
	id := g.nodes[lost].replica.Identity().ID()
	g.stop(lost)
	n := g.start(4, t.TempDir(), false)
	g.wait("the new replica to vote", func() bool {
		old, voters := false, 0
		for _, m := range g.nodes[g.holder()].replica.Members() {
			old = old || m.ID() == id
			if !m.Learner() {
				voters++
			}
		}
		return !old && voters == 3 && n.has(4)
	})
	// The group now bears the loss of another one.
	for i := range g.nodes {
		if i != 4 && i != g.holder() {
			g.stop(i)
			break
		}
	}
	g.declare(5)
}

// TestWipedDisk wants a replica that lost its disk back at its address as a new
// member, and nothing that was acknowledged lost.
func TestWipedDisk(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1, 2, 3)
	g.declare(4)
	lost := g.follower()
	id, folder := g.nodes[lost].replica.Identity().ID(), g.nodes[lost].folder
	g.stop(lost)
	wipe(t, folder)
	n := g.start(lost, folder, false)
	assert.Assert(t, n.replica.Identity().ID() != id)
	g.wait("the replica to vote again", func() bool {
		voters := 0
		for _, m := range n.replica.Members() {
			if !m.Learner() {
				voters++
			}
			if m.ID() == id {
				return false
			}
		}
		return voters == 3 && n.has(4)
	})
}

// TestHolderLost wants another holder, with all that was acknowledged, when the
// holder is stopped.
func TestHolderLost(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1, 2, 3)
	g.declare(4)
	old := g.holder()
	g.stop(old)
	begun := time.Now()
	h := g.nodes[g.holder()]
	assert.Assert(t, time.Since(begun) < 4*time.Second)
	document, err := h.Declared(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, string(document), string(table(4)))
}

func beat(gateway string, requests uint64) *sqrpc.BeatRequest {
	return &sqrpc.BeatRequest{
		Gateway: gateway, Run: "1", Zone: "z1", Address: "10.0.0.1:1", WallUnixNano: time.Now().UnixNano(),
		Counts: []*sqrpc.WindowCounts{{Window: uint64(time.Now().Unix()), Team: "a", Requests: requests}},
	}
}

// TestBeat wants a gateway told what is new to it, of the others, and by nobody
// but the holder.
func TestBeat(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1, 2, 3)
	g.declare(4)
	ctx := context.Background()
	h := g.nodes[g.holder()]
	req := beat("g1", 1)
	req.Loads = []*sqrpc.InFlight{{Id: "e1", Running: 3, UnreadTokens: 70}}
	req.Reads = []*sqrpc.PromptRead{{Endpoint: "e1", Beginning: 7, Tokens: 900}}
	res, err := h.Beat(ctx, req)
	assert.NilError(t, err)
	assert.Equal(t, string(res.GetTableDocument()), string(table(4)))
	assert.Equal(t, len(res.GetOthers())+len(res.GetReads()), 0)
	other := beat("g2", 1)
	other.TableVersion = 4
	res, err = h.Beat(ctx, other)
	assert.NilError(t, err)
	assert.Equal(t, len(res.GetTableDocument()), 0, "it has the version")
	assert.Equal(t, res.GetOthers()[0].GetUnreadTokens(), uint64(70))
	assert.Equal(t, res.GetReads()[0].GetBeginning(), uint64(7))
	assert.Equal(t, len(res.GetGateways()), 2)
	other.ReadsSeen, other.Leaving = res.GetReadsSeen(), true
	res, err = h.Beat(ctx, other)
	assert.NilError(t, err)
	assert.Equal(t, len(res.GetReads()), 0)
	assert.Equal(t, len(res.GetGateways()), 1, "a gateway that leaves is not in the directory")
	_, err = g.nodes[g.follower()].Beat(ctx, req)
	assert.Equal(t, sqerror.KindOf(sqrpc.FromTwirp(err)), sqerror.NotHolder)
}

// TestUsage wants every window reported, with the same figures when an answer is
// lost and the holder changes.
func TestUsage(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1, 2, 3)
	g.platform.mu.Lock()
	g.platform.lost = 2
	g.platform.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reported := func() uint64 {
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
		req := beat("g1", 0)
		req.Counts = counts
		// The holder may be changing; the next beat finds the new one.
		_, _ = g.nodes[g.holder()].Beat(ctx, req)
	}
	g.wait("the first report", func() bool { send(); return reported() == 11 })
	g.stop(g.holder())
	counts = append(counts, &sqrpc.WindowCounts{Window: uint64(time.Now().Unix()), Team: "b", Requests: 5})
	g.wait("the next report", func() bool { send(); return reported() == 16 })
	h := g.nodes[g.holder()]
	_, _, held := h.replica.Authority(sqclock.Now())
	assert.Assert(t, held)
}
