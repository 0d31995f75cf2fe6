package sqcoordinator

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/io/sqclock"
)

const (
	// fullTime is how long a disk is full.
	fullTime = 2500 * time.Millisecond
	// acknowledgeTime bounds the confirmation of a change once all disks have room, from when
	// the operator first sends it, and recoveryTime the time until then.
	acknowledgeTime = 4 * time.Second
	recoveryTime    = 6 * time.Second
	// changeTimeout bounds one try.
	changeTimeout = time.Second
	// smallRoom is the free space in bytes of a disk on which a small change fits, but no
	// large one.
	smallRoom = 100 << 10
	// largeTable is the size in bytes of a large change. A snapshot is due after some forty.
	largeTable = 400 << 10
	// changesAfter is how many changes follow once all disks have room.
	changesAfter = 20
)

// operator sends changes with rising versions to the coordinators.
type operator struct {
	g       *fullDiskGroup
	mu      sync.Mutex
	version int
}

// fullDiskGroup is a group of three voters and a spare replica on limited disks.
type fullDiskGroup struct {
	*group
	operator *operator
	// mu guards the group's nodes while the operator sends changes.
	mu sync.Mutex
}

func newFullDiskGroup(t *testing.T) *fullDiskGroup {
	g := &fullDiskGroup{group: newStoppedGroup(t)}
	g.operator = &operator{g: g}
	for i := 1; i <= 4; i++ {
		g.disks[i] = newLimitedDisk()
		g.start(i, "", i < 4)
	}
	g.holder()
	return g
}

// document returns a table of about the size.
func document(version, size int) []byte {
	return fmt.Appendf(nil, `{"Version":%d,"padding":"%s"}`, version, strings.Repeat("x", size))
}

// coordinators returns those that run.
func (g *fullDiskGroup) coordinators() map[int]*coordinator {
	g.mu.Lock()
	defer g.mu.Unlock()
	running := map[int]*coordinator{}
	for i, n := range g.nodes {
		if c := n.current.Load(); c != nil {
			running[i] = c
		}
	}
	return running
}

// currentHolder returns the number of the coordinator that holds the lease, or 0.
func (g *fullDiskGroup) currentHolder() int {
	for i, c := range g.coordinators() {
		if _, _, held := c.replica.Lease(sqclock.Now()); held {
			return i
		}
	}
	return 0
}

// holder returns the number of the coordinator that holds the lease.
func (g *fullDiskGroup) holder() int {
	g.t.Helper()
	found := 0
	g.waitFor("a holder", func() bool {
		found = g.currentHolder()
		return found != 0
	})
	return found
}

// change sends the next change to each coordinator in turn until it is confirmed or the time
// is over, and reports whether it was.
func (o *operator) change(size int, within time.Duration) bool {
	o.mu.Lock()
	o.version++
	doc := document(o.version, size)
	o.mu.Unlock()
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		for _, c := range o.g.coordinators() {
			ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
			err := c.Declare(ctx, doc)
			cancel()
			if err == nil {
				return true
			}
		}
	}
	return false
}

// sendWhile sends changes of the size while f runs.
func (o *operator) sendWhile(size int, f func()) {
	stop := make(chan struct{})
	var sender sync.WaitGroup
	sender.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				o.change(size, changeTimeout)
			}
		}
	})
	defer sender.Wait()
	defer close(stop)
	f()
}

// restart stops a coordinator and starts it again.
func (g *fullDiskGroup) restart(i int) {
	g.mu.Lock()
	g.stop(i)
	g.mu.Unlock()
	g.relaunch(i)
}

func (g *fullDiskGroup) relaunch(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.launch(i, "", false)
}

// voters returns the coordinators with a vote, as the holder knows them, by name.
func (g *fullDiskGroup) voters() map[string]*coordinator {
	running := g.coordinators()
	voters := map[string]*coordinator{}
	holder := running[g.currentHolder()]
	if holder == nil {
		return voters
	}
	for _, m := range holder.replica.Members() {
		if m.Learner() {
			continue
		}
		voters[m.Name()] = nil
		for _, c := range running {
			// A replica that has lost its disk is no voter, though its name is that of one.
			if c.replica.Identity().ID() == m.ID() {
				voters[m.Name()] = c
			}
		}
	}
	return voters
}

// isVoter reports whether the coordinator has a vote.
func (g *fullDiskGroup) isVoter(i int) bool { return g.voters()["c"+strconv.Itoa(i)] != nil }

// waitForFullDisk waits until a write finds too little room.
func (g *fullDiskGroup) waitForFullDisk(i int) {
	g.t.Helper()
	g.waitFor("the disk to be full", g.disks[i].wasFull)
}

// waitForVoters waits until the group has three voters with the last change. A voter whose disk
// is full for long may have been replaced by the spare replica.
func (g *fullDiskGroup) waitForVoters() {
	g.t.Helper()
	g.waitFor("three voters with the last change", func() bool {
		voters, holder := g.voters(), g.coordinators()[g.currentHolder()]
		if holder == nil || len(voters) != 3 {
			return false
		}
		for _, c := range voters {
			if c == nil || c.replica.Status().AppliedIndex() < holder.replica.Status().CommitIndex() {
				return false
			}
		}
		return true
	})
}

// checkChanges checks that each change is confirmed now that all disks have room, and that all
// coordinators have the last one in the end.
func (g *fullDiskGroup) checkChanges() {
	g.t.Helper()
	deadline := time.Now().Add(recoveryTime)
	for !g.operator.change(0, time.Second) {
		assert.Assert(g.t, time.Now().Before(deadline), "no change is confirmed %v after all disks have room", recoveryTime)
	}
	for i := range changesAfter {
		size := i % 2 * largeTable
		assert.Assert(g.t, g.operator.change(size, acknowledgeTime), "change %d after all disks have room is not confirmed", i)
	}
	g.waitFor("the last change at three voters", func() bool {
		voters := g.voters()
		for _, c := range voters {
			if c == nil || !(&node{coordinator: c}).hasTableVersion(uint64(g.operator.version)) {
				return false
			}
		}
		return len(voters) == 3
	})
}

// TestFullDisksOneAfterAnother guards against a group that refuses or does not answer changes
// although each disk that was full has room again: the disk of each voter in turn, first that of
// the holder, is full for some seconds while changes are sent.
func TestFullDisksOneAfterAnother(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		// size is that of the changes that are sent meanwhile, freeBytes the room on the disk.
		size, freeBytes int
		// while is called with the number of the coordinator whose disk is full.
		while func(g *fullDiskGroup, i int)
	}{
		"smallChanges":     {},
		"largeChanges":     {size: largeTable, freeBytes: smallRoom},
		"roomForPartOfLog": {size: largeTable, freeBytes: 3 * largeTable / 2},
		"restart": {size: 1000, while: func(g *fullDiskGroup, i int) {
			time.Sleep(fullTime / 4)
			g.restart(i)
		}},
		"diskLostWhileFull": {size: 1000, while: func(g *fullDiskGroup, i int) {
			g.mu.Lock()
			g.stop(i)
			g.mu.Unlock()
			g.disks[i].wipe()
			g.relaunch(i)
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newFullDiskGroup(t)
			assert.Assert(t, g.operator.change(0, recoveryTime))
			for range 3 {
				i := g.holder()
				g.fillDisk(i, tc.freeBytes, tc.size, tc.while)
			}
			for i := 1; i <= 4; i++ {
				g.fillDisk(i, tc.freeBytes, tc.size, tc.while)
			}
			g.checkChanges()
		})
	}
}

// fillDisk fills a disk for fullTime while changes of the size are sent, and waits until the
// group has all its voters.
func (g *fullDiskGroup) fillDisk(i, freeBytes, size int, while func(g *fullDiskGroup, i int)) {
	g.t.Helper()
	g.disks[i].setFree(freeBytes)
	g.operator.sendWhile(size, func() {
		if g.isVoter(i) {
			g.waitForFullDisk(i)
		}
		if while != nil {
			while(g, i)
		}
		time.Sleep(fullTime)
	})
	g.disks[i].setFree(unlimited)
	g.waitForVoters()
}

// TestDiskFullAtSnapshot guards against the same while snapshots are taken: more changes are
// sent than one snapshot covers.
func TestDiskFullAtSnapshot(t *testing.T) {
	t.Parallel()
	g := newFullDiskGroup(t)
	assert.Assert(t, g.operator.change(0, recoveryTime))
	for round := range 4 {
		i := g.holder()
		for round%2 == 1 && (i == g.holder() || !g.isVoter(i)) {
			i = i%4 + 1
		}
		// Some changes fit, until a snapshot or a change does not.
		g.disks[i].setFree((10 + 9*round) * largeTable)
		g.operator.sendWhile(largeTable, func() {
			g.waitForFullDisk(i)
			time.Sleep(fullTime)
		})
		g.disks[i].setFree(unlimited)
		g.waitForVoters()
	}
	g.checkChanges()
}

// TestDiskFullInChangeOfMembers guards against the same while a voter that is gone is replaced:
// the disk of the spare replica is full when it joins, and the holder's when the voter is back.
func TestDiskFullInChangeOfMembers(t *testing.T) {
	t.Parallel()
	g := newFullDiskGroup(t)
	assert.Assert(t, g.operator.change(0, recoveryTime))
	gone := g.holder()%3 + 1
	g.disks[4].setFree(0)
	g.operator.sendWhile(1000, func() {
		g.mu.Lock()
		g.stop(gone)
		g.mu.Unlock()
		g.waitForFullDisk(4)
		time.Sleep(fullTime)
	})
	g.disks[4].setFree(unlimited)
	g.operator.sendWhile(largeTable, func() {
		g.waitFor("the spare replica to vote", func() bool { return g.voters()["c4"] != nil })
		g.waitFor("the voter that is gone to be removed", func() bool { return len(g.voters()) == 3 })
	})
	full := g.holder()
	g.disks[full].setFree(0)
	g.operator.sendWhile(1000, func() {
		g.relaunch(gone)
		g.waitForFullDisk(full)
		time.Sleep(fullTime)
	})
	g.disks[full].setFree(unlimited)
	g.checkChanges()
}
