package sqreplica

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	// largeChange is the size in bytes of a change of a large configuration, and
	// largeChanges how many are made: 80 MB in all.
	largeChange  = 400 << 10
	largeChanges = 200
	// maxLogBytes is what the log may take: what is applied until the next snapshot and
	// what is kept before the last one.
	maxLogBytes = snapshotThresholdBytes + 8<<20
)

// TestLogOfLargeChangesStaysSmall guards against replicas that keep large changes in memory by
// their number until they are killed for it, and against one with an empty disk that has to
// read all of them before it can vote.
func TestLogOfLargeChangesStaysSmall(t *testing.T) {
	nodes := newCluster(t, 3, nil)
	for _, n := range nodes {
		n.machine.keepNothing()
	}
	for i := range largeChanges {
		propose(t, nodes, largeCommand(i))
		for _, n := range nodes {
			size := n.replica.Status().LogBytes()
			assert.Assert(t, size <= maxLogBytes, "%d bytes in the log after change %d", size, i)
		}
	}
	h := waitLeaseHolder(t, nodes)
	lost := anyOtherNode(nodes, h)
	oldID := lost.replica.Identity().ID()
	lost.stop()
	replacement := newNode(t, lost.cfg.Name, t.TempDir(), nil)
	replacement.cfg.Address = lost.cfg.Address
	replacement.start()
	replaceMember(t, h, oldID, replacement)
	waitEqualStates(t, []*node{h, replacement})
	received := replacement.machine.appliedBytes()
	assert.Assert(t, received <= maxLogBytes, "%d bytes of changes were sent to the empty replica", received)
}

func largeCommand(i int) string { return fmt.Sprintf("%d-%s", i, strings.Repeat("x", largeChange)) }
