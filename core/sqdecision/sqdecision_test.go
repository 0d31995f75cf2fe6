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

func newRecord(id, sentence string) Record {
	return New(Config{ID: id, At: start, Kind: Request, Explanation: []string{sentence}})
}

func TestLines(t *testing.T) {
	r := New(Config{
		ID: "n1-7", At: start, Kind: EndpointOrder,
		Explanation: []string{"A cheap endpoint is ordered in zone a: 6 are wanted and 5 are here."},
		Alternatives: []Alternative{
			NewAlternative(AlternativeConfig{Name: "a dear endpoint", RejectReason: "it costs 1000 against 300."}),
		},
	})
	golden.Assert(t, strings.Join(r.Lines(), "\n")+"\n", "lines.golden")
}

func TestRingKeepsLatestRecords(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		capacity := rapid.IntRange(1, 5).Draw(rt, "capacity")
		ring := NewRing(RingConfig{Capacity: capacity})
		var keptIDs []string
		latestSentence := make(map[string]string)
		for i := range rapid.IntRange(0, 30).Draw(rt, "records") {
			id := strconv.Itoa(rapid.IntRange(0, 8).Draw(rt, "id"))
			ring.Add(newRecord(id, strconv.Itoa(i)))
			latestSentence[id] = strconv.Itoa(i)
			present := false
			for _, keptID := range keptIDs {
				present = present || keptID == id
			}
			if !present {
				keptIDs = append(keptIDs, id)
			}
			keptIDs = keptIDs[max(0, len(keptIDs)-capacity):]
		}
		assert.Equal(rt, ring.Len(), len(keptIDs))
		for id := range 9 {
			kept := false
			for _, keptID := range keptIDs {
				kept = kept || keptID == strconv.Itoa(id)
			}
			r, ok := ring.Find(strconv.Itoa(id))
			assert.Equal(rt, ok, kept)
			if ok {
				assert.Equal(rt, r.Explanation()[0], latestSentence[strconv.Itoa(id)])
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
		ring.Add(newRecord(ids[i%len(ids)], "Sent to e1."))
	}
}
