package sqgateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sequoiadock/core/sqdirectory"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqmeter"
	"sequoiadock/io/sqrpc"
)

// utilizationInterval is the time between two readings of what the gateway uses of its VM.
const utilizationInterval = time.Second

// utilization measures what the gateway uses of its VM. Only measure changes it.
type utilization struct {
	vm      sqdirectory.VM
	traffic *sqmeter.Traffic
	memory  *sqmeter.Memory
	meter   *sqdirectory.Meter
	current atomic.Pointer[sqdirectory.Utilization]
}

func newUtilization(vm sqdirectory.VM) *utilization {
	u := &utilization{vm: vm, traffic: &sqmeter.Traffic{}, memory: sqmeter.NewMemory(), meter: sqdirectory.NewMeter(vm)}
	u.current.Store(&sqdirectory.Utilization{})
	return u
}

// record takes a reading at now.
func (u *utilization) record(now time.Time) {
	current := u.meter.Record(sqdirectory.Reading{
		At: now, MemoryBytes: u.memory.InUse(), BytesRead: u.traffic.Read(), BytesWritten: u.traffic.Written(),
		ProcessorTime: sqmeter.ProcessorTime(),
	})
	u.current.Store(&current)
}

// measure takes a reading at each utilizationInterval until ctx ends.
func (u *utilization) measure(ctx context.Context) {
	if !u.vm.Measured() {
		return
	}
	u.record(sqclock.Now())
	for sqclock.Sleep(ctx, utilizationInterval) {
		u.record(sqclock.Now())
	}
}

// register registers the gauges of the utilization.
func (u *utilization) register(set *metrics.Set) {
	set.NewGauge(`sequoiadock_gateway_utilization_percent{resource="memory"}`, func() float64 { return float64(u.current.Load().MemoryPercent) })
	set.NewGauge(`sequoiadock_gateway_utilization_percent{resource="link"}`, func() float64 { return float64(u.current.Load().LinkPercent) })
	set.NewGauge(`sequoiadock_gateway_utilization_percent{resource="processor"}`, func() float64 { return float64(u.current.Load().ProcessorPercent) })
}

// toProto returns the message for the lease holder, or nil if nothing is measured.
func (u *utilization) toProto() *sqrpc.Utilization {
	if !u.vm.Measured() {
		return nil
	}
	c := u.current.Load()
	return &sqrpc.Utilization{
		MemoryPercent: c.MemoryPercent, LinkPercent: c.LinkPercent, ProcessorPercent: c.ProcessorPercent, Weight: u.vm.Weight(),
	}
}
