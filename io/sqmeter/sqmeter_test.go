package sqmeter

import (
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestTrafficCountsBothDirections fails if bytes of accepted connections are not counted, or
// a connection loses its half-close or linger options.
func TestTrafficCountsBothDirections(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	traffic := &Traffic{}
	counted := traffic.Listener(ln)
	defer counted.Close()
	caller, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	defer caller.Close()
	c, err := counted.Accept()
	assert.NilError(t, err)
	defer c.Close()
	_, err = caller.Write([]byte("hello"))
	assert.NilError(t, err)
	_, err = io.ReadFull(c, make([]byte, 5))
	assert.NilError(t, err)
	_, err = c.Write([]byte("goodbye"))
	assert.NilError(t, err)
	assert.Equal(t, traffic.Read(), int64(5))
	assert.Equal(t, traffic.Written(), int64(7))
	assert.NilError(t, c.(*conn).SetLinger(0))
	assert.NilError(t, c.(*conn).CloseWrite())
}

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
