package sqraft

import "time"

// canLoseDisk reports whether every membership known to any replica keeps a
// quorum if n loses its disk. Losing more disks ends availability for good,
// which is allowed.
func (c *simCluster) canLoseDisk(n *simNode) bool {
	for _, node := range c.nodes {
		log := newEntryLog(node.disk.snapshot, node.disk.entries)
		for _, m := range log.memberships {
			// Learners are counted too: one may be promoted before any replica
			// sees that its disk is lost.
			if !c.quorumSurvivesWithout(n.id, m.members, false) || !c.quorumSurvivesWithout(n.id, m.members, true) {
				return false
			}
		}
	}
	return true
}

func (c *simCluster) quorumSurvivesWithout(id uint64, members []Member, countLearners bool) bool {
	total, alive := 0, 0
	for _, m := range members {
		if m.Learner() && !countLearners {
			continue
		}
		total++
		if m.ID() != id && c.hasNode(m.ID()) {
			alive++
		}
	}
	return alive >= total/2+1
}

func (c *simCluster) hasNode(id uint64) bool {
	for _, n := range c.nodes {
		if n.id == id {
			return true
		}
	}
	return false
}

// changeMembership changes the membership as an operator does after a lost
// disk.
func (c *simCluster) changeMembership() {
	leader := c.leader()
	if leader == nil {
		return
	}
	memberIDs := map[uint64]bool{}
	for _, m := range leader.raft.Members() {
		memberIDs[m.ID()] = true
	}
	leader.input(func(now time.Time) {
		for _, m := range leader.raft.Members() {
			if m.Learner() && c.randomOneIn(2) {
				_, _, _ = leader.raft.PromoteLearner(now, m.ID())
				return
			}
			if !c.hasNode(m.ID()) && len(memberIDs) > c.size && c.randomOneIn(2) {
				_, _, _ = leader.raft.RemoveMember(now, m.ID())
				return
			}
		}
		if n := c.randomNode(); memberIDs[n.id] && len(memberIDs) == c.size && c.randomOneIn(4) && c.canLoseDisk(n) {
			_, _, _ = leader.raft.RemoveMember(now, n.id)
			return
		}
		for _, n := range c.nodes {
			if !memberIDs[n.id] && len(memberIDs) <= c.size {
				_, _, _ = leader.raft.AddLearner(now, NewMember(MemberConfig{ID: n.id}))
				return
			}
		}
	})
}

// checkRecovery ends all faults. After that, a write must be committed and all
// members must reach the same state within recoveryTimeout.
func (c *simCluster) checkRecovery() {
	clear(c.blockedLinks)
	c.scheduledEvents = nil
	c.crashesDisabled = true
	for _, n := range c.nodes {
		n.frozen = false
		if !n.up {
			n.start()
		}
	}
	completedBefore := c.completedOps
	end := c.now + recoveryTimeout
	for c.violation == "" && (c.completedOps == completedBefore || !c.allCaughtUp()) {
		if c.now > end {
			c.fail("no progress within %v after all faults ended", recoveryTimeout)
			return
		}
		for n := len(c.packets); n > 0 && len(c.packets) > 0; n-- {
			c.deliver(0, false)
		}
		c.advance(simTick)
		if c.completedOps == completedBefore {
			c.startOperation()
		}
	}
}

// allCaughtUp reports whether all running members have applied the whole
// reference log.
func (c *simCluster) allCaughtUp() bool {
	leader := c.leader()
	if leader == nil {
		return false
	}
	for _, m := range leader.raft.Members() {
		for _, n := range c.nodes {
			if n.id == m.ID() && n.up && int(n.applied) != len(c.referenceLog) {
				return false
			}
		}
	}
	return true
}
