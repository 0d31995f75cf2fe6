package sqraft

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

// modelTiming has a drift bound far above the default, so that errors in it show.
var modelTiming = Timing{
	HeartbeatInterval: 150 * time.Millisecond, ElectionTimeout: time.Second,
	LeaseDuration: 900 * time.Millisecond, MaxClockDriftPercent: 5,
}

// trusting is modelTiming with leaders that do not wait and with close elections.
var trusting = func() Timing {
	t := modelTiming
	t.SkipLeaseWait, t.ElectionJitter = true, t.ElectionTimeout/3
	return t
}()

// world is a set of replicas with clocks, disks and a network, together with
// the naive single copy that judges them.
type world struct {
	src     seeded
	timing  Timing
	now     time.Duration
	nodes   []*simNode
	packets []packet
	cut     map[[2]int]bool
	plans   []plan
	truth   []fact
	dead    map[uint64]bool
	floor   uint64
	nextOp  uint64
	nextID  uint64
	size    int
	// unrest is how many steps in 1000 are faults.
	unrest int
	// handOvers is how many steps in 1000 are hand-overs.
	handOvers int
	// disorder is how many packets may overtake each other.
	disorder int
	noSync   bool
	// onlyHolders leaves out what leaders say of earlier leases. It rests on the
	// followers' promises alone, so the judge would see no other fault beside it.
	onlyHolders bool
	keepID      bool
	calm        bool
	spared      [faultHeal + 1]bool
	broken      string
	elected     map[uint64]uint64
	finished    int
	// handed counts the leaders that were elected by a hand-over.
	handed int
}

type packet struct {
	from, to int
	toID     uint64
	data     []byte
}

// plan is an event to come.
type plan struct {
	at time.Duration
	do func()
}

// fact is one entry of the naive single copy and its state after it.
type fact struct {
	term  uint64
	op    uint64
	count uint64
	sum   uint64
}

func (w *world) fail(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf(format, args...)
	}
}

// learn compares an applied entry with the single copy.
func (w *world) learn(n *simNode, e *Entry) {
	op := opOf(e)
	if int(e.GetIndex()) <= len(w.truth) {
		f := w.truth[e.GetIndex()-1]
		if f.term != e.GetTerm() || f.op != op {
			w.fail("replica %d applies another entry at %d than was committed", n.number, e.GetIndex())
		}
	} else {
		f := fact{term: e.GetTerm(), op: op}
		if k := len(w.truth); k > 0 {
			f.count, f.sum = w.truth[k-1].count, w.truth[k-1].sum
		}
		if int(e.GetIndex()) != len(w.truth)+1 {
			w.fail("replica %d applies %d after %d", n.number, e.GetIndex(), len(w.truth))
		}
		if w.dead[op] {
			w.fail("operation %d was refused and is committed", op)
		}
		f.count, f.sum = applyOp(f.count, f.sum, e)
		w.truth = append(w.truth, f)
	}
	n.count, n.sum = applyOp(n.count, n.sum, e)
	f := w.truth[e.GetIndex()-1]
	if n.count != f.count || n.sum != f.sum {
		w.fail("replica %d is in another state at %d than the single copy", n.number, e.GetIndex())
	}
}

func applyOp(count, sum uint64, e *Entry) (uint64, uint64) {
	if e.GetKind() != EntryKind_COMMAND {
		return count, sum
	}
	return count + 1, sum*31 + xxhash.Sum64(e.GetCommand())
}

func opOf(e *Entry) uint64 {
	if e.GetKind() != EntryKind_COMMAND {
		return 0
	}
	return binary.BigEndian.Uint64(e.GetCommand())
}

// finish judges an operation that ended: one that began after another had
// ended must come after it.
func (w *world) finish(o *op, index uint64) {
	if o.write && index <= o.floor || index < o.floor {
		w.fail("operation %d at %d is not linearizable: %d was over before", o.id, index, o.floor)
	}
	w.floor = max(w.floor, index)
	w.finished++
}

// judgeLeases looks for two holders. A claim outlives its holder's process:
// a write that it allowed may be on its way until the end of the lease.
func (w *world) judgeLeases() {
	for _, n := range w.nodes {
		if !n.holds(w.now) {
			continue
		}
		for _, other := range w.nodes {
			if other != n && other.local(w.now).Before(other.claimUntil) {
				w.fail("replicas %d and %d hold the lease at once", n.number, other.number)
			}
		}
		for _, x := range w.nodes {
			x.noteHeld(n.lease.Term())
		}
		if !w.onlyHolders && n.lease.PreviousLeasesEnd().Before(n.olderHeldAt) {
			w.fail("replica %d takes an earlier lease for over while it was held", n.number)
		}
		n.claimUntil, n.claimTerm = n.lease.ValidUntil(), n.lease.Term()
	}
}

// send puts encoded messages on the network.
func (w *world) send(from *simNode, m *Message) {
	for _, to := range w.nodes {
		if to.id != m.GetTo() {
			continue
		}
		data, err := proto.Marshal(m)
		if err != nil {
			w.fail("a message cannot be encoded: %v", err)
		}
		w.packets = append(w.packets, packet{from.number, to.number, to.id, data})
	}
}

// deliver takes packet i off the network, or a copy of it with keep.
func (w *world) deliver(i int, keep bool) {
	p := w.packets[i]
	n := w.nodes[p.to]
	if !keep {
		w.packets = append(w.packets[:i:i], w.packets[i+1:]...)
	}
	if !keep && n.frozen {
		// What reaches a stopped process waits in its sockets.
		w.packets = append(w.packets, p)
	}
	if !n.up || n.frozen || n.id != p.toID || w.cut[[2]int{p.from, p.to}] {
		return
	}
	m := &Message{}
	if err := proto.Unmarshal(p.data, m); err != nil {
		w.fail("a message cannot be decoded: %v", err)
	}
	n.receive(m)
}

// advance lets true time pass.
func (w *world) advance(d time.Duration) {
	w.now += d
	w.runPlans()
	for _, n := range w.nodes {
		n.input(func(now time.Time) { n.raft.Tick(now) })
	}
	w.judgeLeases()
}

func (w *world) leader() *simNode {
	var found *simNode
	for _, n := range w.nodes {
		if n.running() && n.raft.Role() == Leader && (found == nil || n.raft.Term() > found.raft.Term()) {
			found = n
		}
	}
	return found
}
