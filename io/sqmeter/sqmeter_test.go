package sqmeter

import (
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestMemoryCountsLiveHeap fails if what the process keeps is not counted, or garbage is.
func TestMemoryCountsLiveHeap(t *testing.T) {
	const size = 32 << 20
	m := NewMemory()
	runtime.GC()
	before := m.InUse()
	assert.Assert(t, before > 0)
	kept := make([]byte, size)
	runtime.GC()
	assert.Assert(t, m.InUse()-before > size*9/10)
	runtime.KeepAlive(kept)
	runtime.GC()
	assert.Assert(t, m.InUse()-before < size/2)
}

// TestProcessorTimeGrows fails if the processor time of the process cannot be read.
func TestProcessorTimeGrows(t *testing.T) {
	before := ProcessorTime()
	for start := time.Now(); ProcessorTime() == before && time.Since(start) < 10*time.Second; {
		continue
	}
	assert.Assert(t, ProcessorTime() > before)
}

// BenchmarkReading measures one reading of memory and processor time.
func BenchmarkReading(b *testing.B) {
	m := NewMemory()
	for b.Loop() {
		if m.InUse()+int64(ProcessorTime()) == 0 {
			b.Fatal("nothing was measured")
		}
	}
}
