package request

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
	"sequoiadock/standin/sqcaller"
	"sequoiadock/standin/sqfleet"
)

const (
	// smallRequestRate is in requests per second, roundDuration the length of one
	// round.
	smallRequestRate = 1000
	roundDuration    = 3 * time.Second
	// rounds is how many times each path is measured, in turns with the other.
	rounds = 3
)

// BenchmarkSmallRequest compares the latency of small requests through an entry with
// that of the same requests sent directly to the service, at a fixed rate and in
// turns.
func BenchmarkSmallRequest(b *testing.B) {
	c := startWithoutLimit(b, sqcluster.Config{Fleet: sqfleet.Settings{Services: []sqfleet.ServiceSettings{
		{Name: sqcluster.Booking, Count: 1}, {Name: sqcluster.Meetups, Count: 1},
	}}})
	client := sqcaller.NewClient()
	caller := sqcaller.New(sqcaller.Config{
		Addresses: sqcaller.NewAddresses(sqcaller.AddressesConfig{Entries: entryAddresses(c)}), Client: client, MaxAttempts: 1,
	})
	for b.Loop() {
		direct, viaEntry := newLatencies(), newLatencies()
		for range rounds {
			sendSmallRequests(b, caller, c.Endpoints(sqcluster.Meetups)[0].Address, direct)
			sendSmallRequests(b, caller, c.Entries()[0].CallerAddress(), viaEntry)
		}
		addedMillis := func(q float64) float64 {
			return float64(viaEntry.ValueAtQuantile(q)-direct.ValueAtQuantile(q)) / 1000
		}
		b.ReportMetric(float64(direct.ValueAtQuantile(50))/1000, "straightP50-ms")
		b.ReportMetric(addedMillis(50), "moreP50-ms")
		b.ReportMetric(addedMillis(99), "moreP99-ms")
	}
}

// newLatencies returns a histogram of latencies in microseconds.
func newLatencies() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}

// sendSmallRequests sends requests at a fixed rate, whether or not earlier ones were
// answered, and records their latencies in h.
func sendSmallRequests(b *testing.B, caller *sqcaller.Caller, address string, h *hdrhistogram.Histogram) {
	b.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	startedAt := time.Now()
	for i := range int(roundDuration.Seconds() * smallRequestRate) {
		at := startedAt.Add(time.Duration(i) * time.Second / smallRequestRate)
		time.Sleep(time.Until(at))
		wg.Go(func() {
			a := caller.Call(context.Background(), sqcaller.CallRequest{Method: http.MethodGet, Path: "/meetups/today", Address: address})
			mu.Lock()
			defer mu.Unlock()
			assert.Check(b, a.Outcome == sqcaller.Complete, "%s", a.Detail)
			_ = h.RecordValue(a.Total.Microseconds())
		})
	}
	wg.Wait()
}
