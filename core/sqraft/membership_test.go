package sqraft

import "time"

// canWipe says whether every membership known to anybody keeps a quorum. More
// lost disks lose availability for good, which is no fault.
func (w *world) canWipe(n *simNode) bool {
	for _, x := range w.nodes {
		log := newEntryLog(x.disk.snapshot, x.disk.entries)
		for _, m := range log.memberships {
			// Learners are counted too: one may be promoted before anybody sees
			// that its disk is lost.
			if !w.quorumWithout(n.id, m.members, false) || !w.quorumWithout(n.id, m.members, true) {
				return false
			}
		}
	}
	return true
}

func (w *world) quorumWithout(id uint64, members []Member, learners bool) bool {
	all, alive := 0, 0
	for _, m := range members {
		if m.Learner() && !learners {
			continue
		}
		all++
		if m.ID() != id && w.exists(m.ID()) {
			alive++
		}
	}
	return alive >= all/2+1
}

func (w *world) exists(id uint64) bool {
	for _, n := range w.nodes {
		if n.id == id {
			return true
		}
	}
	return false
}

// changeMembers does what an operator does after a lost disk.
func (w *world) changeMembers() {
	l := w.leader()
	if l == nil {
		return
	}
	known := map[uint64]bool{}
	for _, m := range l.raft.Members() {
		known[m.ID()] = true
	}
	l.input(func(now time.Time) {
		for _, m := range l.raft.Members() {
			if m.Learner() && w.chance(2) {
				_, _, _ = l.raft.PromoteLearner(now, m.ID())
				return
			}
			if !w.exists(m.ID()) && len(known) > w.size && w.chance(2) {
				_, _, _ = l.raft.RemoveMember(now, m.ID())
				return
			}
		}
		if n := w.pick(); known[n.id] && len(known) == w.size && w.chance(4) && w.canWipe(n) {
			_, _, _ = l.raft.RemoveMember(now, n.id)
			return
		}
		for _, n := range w.nodes {
			if !known[n.id] && len(known) <= w.size {
				_, _, _ = l.raft.AddLearner(now, NewMember(MemberConfig{ID: n.id}))
				return
			}
		}
	})
}

// repair ends all faults; then a write must be committed and all must agree.
func (w *world) repair() {
	clear(w.cut)
	w.plans = nil
	w.calm = true
	for _, n := range w.nodes {
		n.frozen = false
		if !n.up {
			n.start()
		}
	}
	before := w.finished
	end := w.now + repairWithin
	for w.broken == "" && (w.finished == before || !w.agreed()) {
		if w.now > end {
			w.fail("no progress within %v after all faults ended", repairWithin)
			return
		}
		for n := len(w.packets); n > 0 && len(w.packets) > 0; n-- {
			w.deliver(0, false)
		}
		w.advance(repairStep)
		if w.finished == before {
			w.operate()
		}
	}
}

// agreed says whether all members have applied all there is.
func (w *world) agreed() bool {
	l := w.leader()
	if l == nil {
		return false
	}
	for _, m := range l.raft.Members() {
		for _, n := range w.nodes {
			if n.id == m.ID() && n.up && int(n.applied) != len(w.truth) {
				return false
			}
		}
	}
	return true
}
