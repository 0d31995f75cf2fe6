package sqcoordinator

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqevent"
	"sequoiadock/io/sqlog"
	"sequoiadock/io/sqrpc"
)

// overloadTest is a registry of gateways of one zone that have sent heartbeats.
type overloadTest struct {
	*gatewayRegistry
	now time.Time
}

// beat sends a heartbeat of a gateway that uses so much of its processor, and returns the
// revision of the directory.
func (o *overloadTest) beat(name string, processorPercent uint32) uint64 {
	req := registryBeat(name)
	req.Zone = "a"
	req.Utilization = &sqrpc.Utilization{Weight: 100, ProcessorPercent: processorPercent}
	o.record(o.now, req, nil)
	o.checkedAt = time.Time{}
	o.checkSilence(o.now)
	return o.directoryRevision
}

// TestOverloadChangesRevisionOnce fails if a gateway that is close to a limit stays in the
// answers, each reading makes gateways fetch the list again, or an entry that a response
// holds is changed.
func TestOverloadChangesRevisionOnce(t *testing.T) {
	var logs bytes.Buffer
	o := &overloadTest{newGatewayRegistry(sqlog.New(sqlog.Config{Output: &logs, Level: sqevent.Info}), 2), time.Unix(1000, 0)}
	for i := range 3 {
		o.beat(fmt.Sprint("g", i), 10)
	}
	first, sent := o.directoryRevision, o.directory
	assert.Equal(t, o.beat("g0", 20), first)
	assert.Equal(t, o.beat("g1", 95), first+1)
	assert.Assert(t, !sent[1].GetOverloaded(), "a response that is being encoded must not change")
	assert.Equal(t, o.beat("g1", 99), first+1)
	assert.Assert(t, o.directory[1].GetOverloaded() && !o.directory[2].GetOverloaded())
	for range 10 {
		o.now = o.now.Add(time.Second)
		for i := range 3 {
			o.beat(fmt.Sprint("g", i), 10)
		}
	}
	assert.Equal(t, o.directoryRevision, first+2)
	assert.Equal(t, bytes.Count(logs.Bytes(), []byte(sqevent.GatewayOverloaded.Text)), 1)
	assert.Equal(t, bytes.Count(logs.Bytes(), []byte(sqevent.GatewayRecovered.Text)), 1)
}

// TestNewHolderLearnsOverloads fails if a new lease holder, or one that lost the other
// gateways, directs callers to an overloaded gateway for longer than a heartbeat, or leaves
// out the last gateways of a zone.
func TestNewHolderLearnsOverloads(t *testing.T) {
	o := &overloadTest{newGatewayRegistry(testLog(), 3), time.Unix(1000, 0)}
	o.beat("g1", 95)
	assert.Assert(t, !o.directory[0].GetOverloaded(), "it is the only one that the holder knows")
	o.beat("g0", 10)
	o.beat("g2", 10)
	assert.Assert(t, o.directory[1].GetOverloaded())
	o.now = o.now.Add(gatewayListedTimeout + 1)
	o.beat("g0", 10)
	o.beat("g1", 95)
	assert.Equal(t, len(o.directory), 2, "g2 is silent")
	assert.Assert(t, !o.directory[1].GetOverloaded())
}

// BenchmarkCheckSilence measures the check of all gateways, ten times a second, with none
// and a fifth of them overloaded.
func BenchmarkCheckSilence(b *testing.B) {
	for _, percent := range []uint32{20, 90} {
		b.Run(fmt.Sprint("340Gateways/highest=", percent), func(b *testing.B) {
			o := &overloadTest{newGatewayRegistry(testLog(), 2), time.Unix(1000, 0)}
			for i := range 340 {
				o.beat(fmt.Sprint("g", i), uint32(i%5)*percent/4)
			}
			for b.Loop() {
				o.changed = true
				o.checkSilence(o.now)
			}
		})
	}
}
