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
	// smallRate is in requests a second, smallTime the length of one part.
	smallRate = 1000
	smallTime = 3 * time.Second
	// smallParts is how often each way takes its turn.
	smallParts = 3
)

// BenchmarkSmallRequest compares small requests through an entry with the same
// requests straight to the service, at a fixed rate and in turns.
func BenchmarkSmallRequest(b *testing.B) {
	c := startAlone(b, sqcluster.Config{Fleet: sqfleet.Settings{Services: []sqfleet.ServiceSettings{
		{Name: sqcluster.Booking, Count: 1}, {Name: sqcluster.Meetups, Count: 1},
	}}})
	client := sqcaller.NewClient()
	caller := sqcaller.New(sqcaller.Config{
		Addresses: sqcaller.NewAddresses(sqcaller.AddressesConfig{Entries: seeds(c)}), Client: client, MaxAttempts: 1,
	})
	for b.Loop() {
		straight, through := newLatencies(), newLatencies()
		for range smallParts {
			smallRun(b, caller, c.Endpoints(sqcluster.Meetups)[0].Address, straight)
			smallRun(b, caller, c.Entries()[0].CallerAddress(), through)
		}
		more := func(q float64) float64 {
			return float64(through.ValueAtQuantile(q)-straight.ValueAtQuantile(q)) / 1000
		}
		b.ReportMetric(float64(straight.ValueAtQuantile(50))/1000, "straightP50-ms")
		b.ReportMetric(more(50), "moreP50-ms")
		b.ReportMetric(more(99), "moreP99-ms")
	}
}

// newLatencies returns a histogram of microseconds.
func newLatencies() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}

// smallRun sends requests at their times, whether or not earlier ones were
// answered.
func smallRun(b *testing.B, caller *sqcaller.Caller, address string, h *hdrhistogram.Histogram) {
	b.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	begun := time.Now()
	for i := range int(smallTime.Seconds() * smallRate) {
		at := begun.Add(time.Duration(i) * time.Second / smallRate)
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
