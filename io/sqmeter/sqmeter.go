// Package sqmeter measures what the process uses of its VM: memory, processor time, and the
// bytes that pass through its connections.
package sqmeter

import (
	"runtime/metrics"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Traffic counts bytes. It is safe for concurrent use, and a nil Traffic counts nothing.
type Traffic struct {
	read, written atomic.Int64
}

// AddRead counts bytes that were read from a connection.
func (t *Traffic) AddRead(n int) {
	if t != nil {
		t.read.Add(int64(n))
	}
}

// AddWritten counts bytes that were written to a connection.
func (t *Traffic) AddWritten(n int) {
	if t != nil {
		t.written.Add(int64(n))
	}
}

// Read returns the bytes that were read.
func (t *Traffic) Read() int64 { return t.read.Load() }

// Written returns the bytes that were written.
func (t *Traffic) Written() int64 { return t.written.Load() }

// ProcessorTime returns the processor time that the process has used since its start.
func ProcessorTime() time.Duration {
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Memory reads the memory that the process uses. It is not safe for concurrent use.
type Memory struct {
	samples []metrics.Sample
}

// NewMemory returns a reader of the memory in use.
func NewMemory() *Memory {
	return &Memory{samples: []metrics.Sample{
		{Name: "/memory/classes/total:bytes"},
		{Name: "/memory/classes/heap/released:bytes"},
		{Name: "/memory/classes/heap/free:bytes"},
		{Name: "/memory/classes/heap/unused:bytes"},
		{Name: "/memory/classes/heap/objects:bytes"},
		{Name: "/gc/heap/live:bytes"},
	}}
}

// InUse returns the bytes that the process needs: what the last garbage collection left of
// the heap, and all memory outside the heap. Garbage is not counted, since the collector's
// limit bounds it.
func (m *Memory) InUse() int64 {
	metrics.Read(m.samples)
	value := func(i int) int64 { return int64(m.samples[i].Value.Uint64()) }
	outsideHeap := value(0) - value(1) - value(2) - value(3) - value(4)
	return outsideHeap + value(5)
}
