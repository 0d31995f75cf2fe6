package request

import (
	"context"
	"net/http"
	"strconv"
	"testing"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
	"sequoiadock/standin/sqcaller"
	"sequoiadock/standin/sqfleet"
)

// callsPerRound is the number of calls of each kind in one round of BenchmarkOnceCall.
const callsPerRound = 200

// BenchmarkOnceCall estimates for how many commits the caller of a call that must not
// be repeated waits: the latency of the call, less that of the service and of the
// entry, divided by the latency of a commit. The latter is that of a resend, less
// that of the entry.
func BenchmarkOnceCall(b *testing.B) {
	c := startWithoutLimit(b, sqcluster.Config{Fleet: sqfleet.Settings{Services: []sqfleet.ServiceSettings{
		{Name: sqcluster.Booking, Count: 1}, {Name: sqcluster.Meetups, Count: 1},
	}}})
	caller := newCaller(c, sqcluster.DefaultTeams()[0].Key())
	entry, service := c.Entries()[0].CallerAddress(), c.Endpoints(sqcluster.Booking)[0].Address
	round := 0
	for b.Loop() {
		once, resend, plain := newLatencies(), newLatencies(), newLatencies()
		directOnce, direct := newLatencies(), newLatencies()
		for range rounds {
			round++
			for i := range callsPerRound {
				identity := strconv.Itoa(round) + "-" + strconv.Itoa(i)
				timeCall(b, caller, bookingCall(entry, identity), once)
				timeCall(b, caller, readCall(entry), plain)
				timeCall(b, caller, bookingCall(service, "straight"+identity), directOnce)
				timeCall(b, caller, readCall(service), direct)
			}
			for i := range callsPerRound {
				timeCall(b, caller, bookingCall(entry, strconv.Itoa(round)+"-"+strconv.Itoa(i)), resend)
			}
		}
		medianMillis := func(h *hdrhistogram.Histogram) float64 { return float64(h.ValueAtQuantile(50)) / 1000 }
		entryMillis := medianMillis(plain) - medianMillis(direct)
		commitMillis := medianMillis(resend) - entryMillis
		b.ReportMetric(medianMillis(once), "callP50-ms")
		b.ReportMetric(commitMillis, "commitP50-ms")
		b.ReportMetric(medianMillis(directOnce), "straightP50-ms")
		b.ReportMetric((medianMillis(once)-entryMillis-medianMillis(directOnce))/commitMillis, "commits/call")
	}
}

func bookingCall(address, identity string) sqcaller.CallRequest {
	return sqcaller.CallRequest{
		Method: http.MethodPost, Path: "/booking/places", Body: []byte(`{}`), Identity: identity, Address: address,
	}
}

func readCall(address string) sqcaller.CallRequest {
	return sqcaller.CallRequest{Method: http.MethodGet, Path: "/booking/places", Address: address}
}

func timeCall(b *testing.B, caller *sqcaller.Caller, call sqcaller.CallRequest, h *hdrhistogram.Histogram) {
	b.Helper()
	a := caller.Call(context.Background(), call)
	assert.Assert(b, a.Outcome == sqcaller.Complete, "%s %+v", a.Detail, a.Refusal)
	_ = h.RecordValue(a.Total.Microseconds())
}
