package sqraft

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

// modelTiming has a clock drift bound far above the default, so that errors in
// its use show.
var modelTiming = Timing{
	HeartbeatInterval: 150 * time.Millisecond, ElectionTimeout: time.Second,
	LeaseDuration: 900 * time.Millisecond, MaxClockDriftPercent: 5,
}

// noWaitTiming is modelTiming without the lease wait of new leaders and with
// less jitter, so that election timeouts lie close together.
var noWaitTiming = func() Timing {
	t := modelTiming
	t.SkipLeaseWait, t.ElectionJitter = true, t.ElectionTimeout/3
	return t
}()

// simCluster is a set of replicas with simulated clocks, disks and network. Its
// safety checks, called the judge in test names, compare the replicas with a
// reference log, which is a single copy of everything applied.
type simCluster struct {
	random          randomSource
	timing          Timing
	now             time.Duration
	nodes           []*simNode
	packets         []packet
	blockedLinks    map[[2]int]bool
	scheduledEvents []scheduledEvent
	referenceLog    []referenceEntry
	discardedOps    map[uint64]bool
	completedIndex  uint64
	lastOpID        uint64
	lastNodeID      uint64
	size            int
	// faultsPerMille is how many steps in 1000 are faults.
	faultsPerMille int
	// transfersPerMille is how many steps in 1000 are leadership transfers.
	transfersPerMille int
	// reorderWindow is among how many of the oldest packets the next one
	// delivered is chosen.
	reorderWindow int
	syncDisabled  bool
	// skipPreviousLeaseCheck turns off the check of Lease.PreviousLeasesEnd.
	// That time rests on the followers' vote promises alone, so with an
	// injected fault in them this check would fail first and hide what the
	// other checks find.
	skipPreviousLeaseCheck bool
	keepIDAfterDiskLoss    bool
	crashesDisabled        bool
	disabledFaults         [recoveryHealPartition + 1]bool
	violation              string
	leaderByTerm           map[uint64]uint64
	completedOps           int
	// transferredLeaders counts the leaders that were elected by a leadership
	// transfer.
	transferredLeaders int
}

type packet struct {
	from, to int
	toID     uint64
	data     []byte
}

// scheduledEvent is a function to run at a later simulated time.
type scheduledEvent struct {
	at  time.Duration
	run func()
}

// referenceEntry is one entry of the reference log and the state after it.
type referenceEntry struct {
	term         uint64
	opID         uint64
	commandCount uint64
	checksum     uint64
}

func (c *simCluster) fail(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, args...)
	}
}

// checkApplied compares an applied entry and the state after it with the
// reference log. The first replica to apply an index extends the log.
func (c *simCluster) checkApplied(n *simNode, e *Entry) {
	opID := opIDOf(e)
	if int(e.GetIndex()) <= len(c.referenceLog) {
		reference := c.referenceLog[e.GetIndex()-1]
		if reference.term != e.GetTerm() || reference.opID != opID {
			c.fail("replica %d applies an entry at index %d that differs from the committed one", n.nodeIndex, e.GetIndex())
		}
	} else {
		reference := referenceEntry{term: e.GetTerm(), opID: opID}
		if k := len(c.referenceLog); k > 0 {
			reference.commandCount, reference.checksum = c.referenceLog[k-1].commandCount, c.referenceLog[k-1].checksum
		}
		if int(e.GetIndex()) != len(c.referenceLog)+1 {
			c.fail("replica %d applies index %d after index %d", n.nodeIndex, e.GetIndex(), len(c.referenceLog))
		}
		if c.discardedOps[opID] {
			c.fail("operation %d was discarded but is committed", opID)
		}
		reference.commandCount, reference.checksum = applyCommand(reference.commandCount, reference.checksum, e)
		c.referenceLog = append(c.referenceLog, reference)
	}
	n.commandCount, n.checksum = applyCommand(n.commandCount, n.checksum, e)
	reference := c.referenceLog[e.GetIndex()-1]
	if n.commandCount != reference.commandCount || n.checksum != reference.checksum {
		c.fail("replica %d has a state at index %d that differs from the reference log", n.nodeIndex, e.GetIndex())
	}
}

func applyCommand(commandCount, checksum uint64, e *Entry) (uint64, uint64) {
	if e.GetKind() != EntryKind_COMMAND {
		return commandCount, checksum
	}
	return commandCount + 1, checksum*31 + xxhash.Sum64(e.GetCommand())
}

func opIDOf(e *Entry) uint64 {
	if e.GetKind() != EntryKind_COMMAND {
		return 0
	}
	return binary.BigEndian.Uint64(e.GetCommand())
}

// completeOp checks that a completed operation is linearizable: one that began
// after another was completed must come after it.
func (c *simCluster) completeOp(op *clientOp, index uint64) {
	if op.write && index <= op.minIndex || index < op.minIndex {
		c.fail("operation %d at index %d is not linearizable: index %d was completed before", op.id, index, op.minIndex)
	}
	c.completedIndex = max(c.completedIndex, index)
	c.completedOps++
}

// checkLeases fails if two replicas hold the lease at once. A claim to the
// lease outlives its holder's process: a write that it allowed may be in flight
// until the end of the lease.
func (c *simCluster) checkLeases() {
	for _, n := range c.nodes {
		if !n.holdsLease(c.now) {
			continue
		}
		for _, other := range c.nodes {
			if other != n && other.localTime(c.now).Before(other.leaseClaimUntil) {
				c.fail("replicas %d and %d hold the lease at once", n.nodeIndex, other.nodeIndex)
			}
		}
		for _, x := range c.nodes {
			x.recordLeaseHeld(n.lease.Term())
		}
		if !c.skipPreviousLeaseCheck && n.lease.PreviousLeasesEnd().Before(n.olderLeaseHeldAt) {
			c.fail("replica %d reports an end of previous leases at which one was still held", n.nodeIndex)
		}
		n.leaseClaimUntil, n.leaseClaimTerm = n.lease.ValidUntil(), n.lease.Term()
	}
}

// send puts an encoded message on the network.
func (c *simCluster) send(from *simNode, m *Message) {
	for _, to := range c.nodes {
		if to.id != m.GetTo() {
			continue
		}
		data, err := proto.Marshal(m)
		if err != nil {
			c.fail("a message cannot be encoded: %v", err)
		}
		c.packets = append(c.packets, packet{from.nodeIndex, to.nodeIndex, to.id, data})
	}
}

// deliver takes packet i off the network, or delivers a copy and leaves the
// packet there if duplicate is set.
func (c *simCluster) deliver(i int, duplicate bool) {
	p := c.packets[i]
	n := c.nodes[p.to]
	if !duplicate {
		c.packets = append(c.packets[:i:i], c.packets[i+1:]...)
	}
	if !duplicate && n.frozen {
		// Packets for a frozen process wait in its sockets.
		c.packets = append(c.packets, p)
	}
	if !n.up || n.frozen || n.id != p.toID || c.blockedLinks[[2]int{p.from, p.to}] {
		return
	}
	m := &Message{}
	if err := proto.Unmarshal(p.data, m); err != nil {
		c.fail("a message cannot be decoded: %v", err)
	}
	n.receive(m)
}

// advance moves true time forward by d and ticks every replica.
func (c *simCluster) advance(d time.Duration) {
	c.now += d
	c.runScheduledEvents()
	for _, n := range c.nodes {
		n.input(func(now time.Time) { n.raft.Tick(now) })
	}
	c.checkLeases()
}

func (c *simCluster) leader() *simNode {
	var found *simNode
	for _, n := range c.nodes {
		if n.isRunning() && n.raft.Role() == Leader && (found == nil || n.raft.Term() > found.raft.Term()) {
			found = n
		}
	}
	return found
}
