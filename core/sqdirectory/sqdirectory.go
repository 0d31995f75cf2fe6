// Package sqdirectory decides which gateways callers are directed to: how many of them a
// gateway can take by the size of its VM, and which gateways are left out for a while
// because their VMs are close to a limit.
package sqdirectory

import "time"

// VM holds the resources of a gateway's VM. A resource of size 0 is not considered.
type VM struct {
	MemoryBytes    int64
	LinkMegabits   float64
	ProcessorShare float64
}

// The reference VM is the smallest in use; its weight is referenceWeight.
const (
	referenceMemoryBytes    = 144 << 20
	referenceLinkMegabits   = 7.5
	referenceProcessorShare = 0.144
	referenceWeight         = 100
)

// Measured reports whether the utilization of the VM is measured: the settings name its
// link or its processor share. Its memory alone has a default and says nothing.
func (v VM) Measured() bool { return v.LinkMegabits > 0 || v.ProcessorShare > 0 }

// Weight returns the share of callers that a gateway on the VM can take, relative to
// others, or 0 if it is not known. The scarcest resource decides.
func (v VM) Weight() uint32 {
	if !v.Measured() {
		return 0
	}
	weight := -1.0
	for _, ratio := range []float64{
		float64(v.MemoryBytes) / referenceMemoryBytes, v.LinkMegabits / referenceLinkMegabits, v.ProcessorShare / referenceProcessorShare,
	} {
		if ratio > 0 && (weight < 0 || ratio < weight) {
			weight = ratio
		}
	}
	return uint32(min(max(1, weight*referenceWeight+0.5), maxWeight))
}

// maxWeight bounds the weight of a VM, so that sums of weights do not overflow.
const maxWeight = 1 << 20

// Reading is what a process has used at a time: memory at the moment, and the other
// resources since it started.
type Reading struct {
	At            time.Time
	MemoryBytes   int64
	BytesRead     int64
	BytesWritten  int64
	ProcessorTime time.Duration
}

// Utilization is the share of each resource of a VM that a process uses, in percent. It is
// 0 where the size of the resource is not known.
type Utilization struct {
	MemoryPercent, LinkPercent, ProcessorPercent uint32
}

// minMeterInterval is the shortest time over which a rate is computed. The processor time
// of a VM with a share of a core comes in slices of about 0.1 s.
const minMeterInterval = 500 * time.Millisecond

// Meter computes the utilization of a VM from readings. It is not safe for concurrent use.
type Meter struct {
	vm      VM
	last    Reading
	current Utilization
	// hasRate is set once a rate was computed.
	hasRate bool
}

// NewMeter returns a meter that has no utilization before its second reading.
func NewMeter(vm VM) *Meter { return &Meter{vm: vm} }

// Record records a reading and returns the utilization. That of link and processor is the
// mean of the rate since the reading before and the value before, so that a short peak, such
// as that of a new routing table, does not look like overload. A reading that follows sooner
// than minMeterInterval changes nothing.
func (m *Meter) Record(r Reading) Utilization {
	elapsed := r.At.Sub(m.last.At)
	if !m.vm.Measured() || !m.last.At.IsZero() && elapsed < minMeterInterval {
		return m.current
	}
	previous := m.last
	m.last = r
	m.current.MemoryPercent = percent(float64(r.MemoryBytes), float64(m.vm.MemoryBytes))
	if previous.At.IsZero() {
		return m.current
	}
	const bitsPerByte, mega = 8, 1e6
	seconds := elapsed.Seconds()
	// A link carries as much in one direction as in the other at the same time.
	bytes := max(r.BytesRead-previous.BytesRead, r.BytesWritten-previous.BytesWritten)
	link := percent(float64(bytes)*bitsPerByte/mega, m.vm.LinkMegabits*seconds)
	processor := percent((r.ProcessorTime - previous.ProcessorTime).Seconds(), m.vm.ProcessorShare*seconds)
	if m.hasRate {
		link, processor = (m.current.LinkPercent+link)/2, (m.current.ProcessorPercent+processor)/2
	}
	m.current.LinkPercent, m.current.ProcessorPercent, m.hasRate = link, processor, true
	return m.current
}

// maxPercent bounds a utilization. A process may use more than its share for a moment.
const maxPercent = 1000

// percent returns the percentage that used is of size, or 0 if the size is not known.
func percent(used, size float64) uint32 {
	if size <= 0 || used <= 0 {
		return 0
	}
	return uint32(min(used/size*100+0.5, maxPercent))
}
