package sqraft

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"sequoiadock/core/sqerror"
)

// runUntilHolder delivers packets and lets time pass without crashes until a
// replica holds the lease, and returns that replica.
func runUntilHolder(t *testing.T, c *simCluster) *simNode {
	t.Helper()
	c.crashesDisabled = true
	for range 1000 {
		for len(c.packets) > 0 {
			c.deliver(0, false)
		}
		c.advance(simTick)
		for _, n := range c.nodes {
			if n.holdsLease(c.now) {
				assert.Equal(t, c.violation, "")
				return n
			}
		}
	}
	t.Fatalf("no replica holds the lease: %s", c.violation)
	return nil
}

func (c *simCluster) runFor(d time.Duration) {
	for end := c.now + d; c.now < end; {
		for n := len(c.packets); n > 0; n-- {
			c.deliver(0, false)
		}
		c.advance(simTick)
	}
}

// reconnectEndsTerm cuts off a follower and reports whether its return ends the
// leader's term.
func reconnectEndsTerm(t *testing.T) bool {
	c := newCluster(newRandomSource(1), 3)
	holder := runUntilHolder(t, c)
	term := holder.raft.Term()
	isolated := c.nodes[(holder.nodeIndex+1)%3]
	for _, n := range c.nodes {
		c.blockedLinks[[2]int{n.nodeIndex, isolated.nodeIndex}] = true
		c.blockedLinks[[2]int{isolated.nodeIndex, n.nodeIndex}] = true
	}
	c.runFor(10 * time.Second)
	clear(c.blockedLinks)
	c.runFor(5 * time.Second)
	assert.Equal(t, c.violation, "")
	return runUntilHolder(t, c).raft.Term() != term
}

func TestReconnectedReplicaKeepsLeader(t *testing.T) {
	assert.Assert(t, !reconnectEndsTerm(t))
}

func TestLeaderStepsDownWithoutQuorum(t *testing.T) {
	c := newCluster(newRandomSource(2), 3)
	holder := runUntilHolder(t, c)
	for _, n := range c.nodes {
		c.blockedLinks[[2]int{n.nodeIndex, holder.nodeIndex}] = true
	}
	c.runFor(3 * time.Second)
	assert.Assert(t, holder.raft.Role() != Leader)
	assert.Assert(t, runUntilHolder(t, c) != holder)
}

func TestHolderWithinFiveSeconds(t *testing.T) {
	cases := map[string]struct{ crash, in, out bool }{
		"kill": {crash: true}, "cut off": {in: true, out: true}, "cannot receive": {in: true}, "cannot send": {out: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			longest := time.Duration(0)
			for seed := range uint64(500) {
				c := newCluster(newRandomSource(seed), 3+2*int(seed%2))
				holder := runUntilHolder(t, c)
				if tc.crash {
					holder.crash()
				}
				for _, n := range c.nodes {
					c.blockedLinks[[2]int{n.nodeIndex, holder.nodeIndex}] = tc.in
					c.blockedLinks[[2]int{holder.nodeIndex, n.nodeIndex}] = tc.out
				}
				since := c.now
				for runUntilHolder(t, c) == holder {
					c.advance(simTick)
				}
				longest = max(longest, c.now-since)
			}
			t.Logf("longest time without a holder in 500 runs: %v", longest)
			assert.Assert(t, longest < 5*time.Second)
		})
	}
}

// longestTransferGap returns the longest time without a lease holder in 500
// leadership transfers. With blockOutgoing, no message from the leader arrives.
func longestTransferGap(t *testing.T, blockOutgoing bool) time.Duration {
	longest := time.Duration(0)
	for seed := range uint64(500) {
		c := newCluster(newRandomSource(seed), 3+2*int(seed%2))
		holder := runUntilHolder(t, c)
		for _, n := range c.nodes {
			c.blockedLinks[[2]int{holder.nodeIndex, n.nodeIndex}] = blockOutgoing
		}
		holder.input(func(now time.Time) {
			assert.NilError(t, holder.raft.TransferLeadership(now))
			holder.leaseClaimUntil = now
		})
		assert.Assert(t, !holder.holdsLease(c.now))
		since := c.now
		for runUntilHolder(t, c) == holder {
			c.advance(simTick)
		}
		longest = max(longest, c.now-since)
	}
	return longest
}

func TestHandOver(t *testing.T) {
	longest := longestTransferGap(t, false)
	t.Logf("longest time without a holder in 500 runs: %v", longest)
	assert.Assert(t, longest < modelTiming.HeartbeatInterval)
	// If the transfer request is lost, an ordinary election follows.
	longest = longestTransferGap(t, true)
	t.Logf("longest time without a holder in 500 runs without messages from the old leader: %v", longest)
	assert.Assert(t, longest < 5*time.Second)
}

func TestHandOverRejectsProposals(t *testing.T) {
	c := newCluster(newRandomSource(1), 3)
	holder := runUntilHolder(t, c)
	now := holder.localTime(c.now)
	assert.NilError(t, holder.raft.TransferLeadership(now))
	_, _, err := holder.raft.Propose(now, nil)
	assert.Equal(t, sqerror.KindOf(err), sqerror.NotHolder)
	assert.Equal(t, sqerror.KindOf(holder.raft.Read(now, 1)), sqerror.NotHolder)
	assert.Equal(t, sqerror.KindOf(holder.raft.TransferLeadership(now)), sqerror.NotHolder)
}

func FuzzMessage(f *testing.F) {
	seed, err := proto.Marshal(&Message{
		Kind: MessageKind_APPEND, From: 2, To: 1, Term: 2, Index: 1, LogTerm: 1, Commit: 2,
		Entries: []*Entry{{Index: 2, Term: 2, Command: []byte("x")}},
	})
	assert.NilError(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		m := &Message{}
		if proto.Unmarshal(data, m) != nil {
			return
		}
		c := newCluster(newRandomSource(3), 3)
		n := c.nodes[0]
		m.To = n.id
		// No message may change an entry that is committed on this replica.
		_ = n.raft.Step(n.localTime(0), m)
		_, _ = n.raft.Ready()
		first, known := n.raft.log.termAt(1)
		assert.Assert(t, !known || first == 1)
	})
}
