package sqframe

import (
	"bytes"
	"testing"
)

// BenchmarkLongEvent measures an event of the longest size that arrives a little at a time.
func BenchmarkLongEvent(b *testing.B) {
	event := append(bytes.Repeat([]byte("x"), MaxEventBytes-2), "\n\n"...)
	for b.Loop() {
		var f Framer
		for rest := event; len(rest) > 0; rest = rest[min(100, len(rest)):] {
			f.Push(rest[:min(100, len(rest))])
		}
		if len(f.Buffered()) > 0 {
			b.Fatal("the event is not complete")
		}
	}
}
