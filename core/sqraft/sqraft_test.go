package sqraft

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"sequoiadock/core/sqerror"
)

// settle plays calm time until one replica holds the lease.
func settle(t *testing.T, w *world) *simNode {
	t.Helper()
	w.calm = true
	for range 1000 {
		for len(w.packets) > 0 {
			w.deliver(0, false)
		}
		w.advance(repairStep)
		for _, n := range w.nodes {
			if n.holds(w.now) {
				assert.Equal(t, w.broken, "")
				return n
			}
		}
	}
	t.Fatalf("no holder: %s", w.broken)
	return nil
}

func (w *world) pass(d time.Duration) {
	for end := w.now + d; w.now < end; {
		for n := len(w.packets); n > 0; n-- {
			w.deliver(0, false)
		}
		w.advance(repairStep)
	}
}

// returnDeposes cuts off a follower and says whether its return ends the term.
func returnDeposes(t *testing.T) bool {
	w := newWorld(newSeeded(1), 3)
	h := settle(t, w)
	term := h.raft.Term()
	away := w.nodes[(h.number+1)%3]
	for _, n := range w.nodes {
		w.cut[[2]int{n.number, away.number}] = true
		w.cut[[2]int{away.number, n.number}] = true
	}
	w.pass(10 * time.Second)
	clear(w.cut)
	w.pass(5 * time.Second)
	assert.Equal(t, w.broken, "")
	return settle(t, w).raft.Term() != term
}

func TestReturnOfCutOffReplicaKeepsLeader(t *testing.T) {
	assert.Assert(t, !returnDeposes(t))
}

func TestLeaderStepsDownWithoutQuorum(t *testing.T) {
	w := newWorld(newSeeded(2), 3)
	h := settle(t, w)
	for _, n := range w.nodes {
		w.cut[[2]int{n.number, h.number}] = true
	}
	w.pass(3 * time.Second)
	assert.Assert(t, h.raft.Role() != Leader)
	assert.Assert(t, settle(t, w) != h)
}

func TestHolderWithinFiveSeconds(t *testing.T) {
	cases := map[string]struct{ crash, in, out bool }{
		"kill": {crash: true}, "cut off": {in: true, out: true}, "cannot receive": {in: true}, "cannot send": {out: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			worst := time.Duration(0)
			for seed := range uint64(500) {
				w := newWorld(newSeeded(seed), 3+2*int(seed%2))
				h := settle(t, w)
				if c.crash {
					h.crash()
				}
				for _, n := range w.nodes {
					w.cut[[2]int{n.number, h.number}] = c.in
					w.cut[[2]int{h.number, n.number}] = c.out
				}
				since := w.now
				for settle(t, w) == h {
					w.advance(repairStep)
				}
				worst = max(worst, w.now-since)
			}
			t.Logf("slowest of 500: %v", worst)
			assert.Assert(t, worst < 5*time.Second)
		})
	}
}

// handOverGap returns the longest time without a holder of many hand-overs.
func handOverGap(t *testing.T, cut bool) time.Duration {
	worst := time.Duration(0)
	for seed := range uint64(500) {
		w := newWorld(newSeeded(seed), 3+2*int(seed%2))
		h := settle(t, w)
		for _, n := range w.nodes {
			w.cut[[2]int{h.number, n.number}] = cut
		}
		h.input(func(now time.Time) {
			assert.NilError(t, h.raft.TransferLeadership(now))
			h.claimUntil = now
		})
		assert.Assert(t, !h.holds(w.now))
		since := w.now
		for settle(t, w) == h {
			w.advance(repairStep)
		}
		worst = max(worst, w.now-since)
	}
	return worst
}

func TestHandOver(t *testing.T) {
	worst := handOverGap(t, false)
	t.Logf("slowest of 500: %v", worst)
	assert.Assert(t, worst < modelTiming.HeartbeatInterval)
	// When the request is lost, the ordinary election follows.
	worst = handOverGap(t, true)
	t.Logf("slowest of 500 when nothing gets through: %v", worst)
	assert.Assert(t, worst < 5*time.Second)
}

func TestHandOverEndsProposals(t *testing.T) {
	w := newWorld(newSeeded(1), 3)
	h := settle(t, w)
	now := h.local(w.now)
	assert.NilError(t, h.raft.TransferLeadership(now))
	_, _, err := h.raft.Propose(now, nil)
	assert.Equal(t, sqerror.KindOf(err), sqerror.NotHolder)
	assert.Equal(t, sqerror.KindOf(h.raft.Read(now, 1)), sqerror.NotHolder)
	assert.Equal(t, sqerror.KindOf(h.raft.TransferLeadership(now)), sqerror.NotHolder)
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
		w := newWorld(newSeeded(3), 3)
		n := w.nodes[0]
		m.To = n.id
		// Whatever comes in, what is committed here stays.
		_ = n.raft.Step(n.local(0), m)
		_, _ = n.raft.Ready()
		first, known := n.raft.log.term(1)
		assert.Assert(t, !known || first == 1)
	})
}
