package sqdecision

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func record(id, sentence string) Record {
	return New(Config{ID: id, At: start, Kind: Request, Sentences: []string{sentence}})
}

func TestLines(t *testing.T) {
	r := New(Config{
		ID: "n1-7", At: start, Kind: EndpointOrder,
		Sentences: []string{"A cheap endpoint is ordered in zone a: 6 are wanted and 5 are here."},
		Alternatives: []Alternative{
			NewAlternative(AlternativeConfig{Name: "a dear endpoint", RejectReason: "it costs 1000 against 300."}),
		},
	})
	golden.Assert(t, strings.Join(r.Lines(), "\n")+"\n", "lines.golden")
}

func TestRingKeepsTheLast(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		capacity := rapid.IntRange(1, 5).Draw(rt, "capacity")
		ring := NewRing(RingConfig{Capacity: capacity})
		var order []string
		latest := make(map[string]string)
		for i := range rapid.IntRange(0, 30).Draw(rt, "records") {
			id := strconv.Itoa(rapid.IntRange(0, 8).Draw(rt, "id"))
			ring.Add(record(id, strconv.Itoa(i)))
			latest[id] = strconv.Itoa(i)
			known := false
			for _, k := range order {
				known = known || k == id
			}
			if !known {
				order = append(order, id)
			}
			order = order[max(0, len(order)-capacity):]
		}
		assert.Equal(rt, ring.Len(), len(order))
		for id := range 9 {
			kept := false
			for _, k := range order {
				kept = kept || k == strconv.Itoa(id)
			}
			r, ok := ring.Find(strconv.Itoa(id))
			assert.Equal(rt, ok, kept)
			if ok {
				assert.Equal(rt, r.Sentences()[0], latest[strconv.Itoa(id)])
			}
		}
	})
}

func BenchmarkAdd(b *testing.B) {
	ring := NewRing(RingConfig{})
	ids := make([]string, 2*DefaultCapacity)
	for i := range ids {
		ids[i] = "n1-" + strconv.Itoa(i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		ring.Add(record(ids[i%len(ids)], "Sent to e1."))
	}
}
