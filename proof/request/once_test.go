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

// onceCalls is the number of calls of each sort in one part of BenchmarkOnceCall.
const onceCalls = 200

// BenchmarkOnceCall counts the commits that a caller of a call that must not be
// repeated waits for: its time, without the service's and the entry's own,
// divided by the time of a commit, which a resend shows.
func BenchmarkOnceCall(b *testing.B) {
	c := startAlone(b, sqcluster.Config{Fleet: sqfleet.Settings{Services: []sqfleet.ServiceSettings{
		{Name: sqcluster.Booking, Count: 1}, {Name: sqcluster.Meetups, Count: 1},
	}}})
	caller := callerOf(c, sqcluster.DefaultTeams()[0].Key())
	entry, service := c.Entries()[0].CallerAddress(), c.Endpoints(sqcluster.Booking)[0].Address
	part := 0
	for b.Loop() {
		once, resend, plain := newLatencies(), newLatencies(), newLatencies()
		straightOnce, straight := newLatencies(), newLatencies()
		for range smallParts {
			part++
			for i := range onceCalls {
				identity := strconv.Itoa(part) + "-" + strconv.Itoa(i)
				timeCall(b, caller, bookingCall(entry, identity), once)
				timeCall(b, caller, places(entry), plain)
				timeCall(b, caller, bookingCall(service, "straight"+identity), straightOnce)
				timeCall(b, caller, places(service), straight)
			}
			for i := range onceCalls {
				timeCall(b, caller, bookingCall(entry, strconv.Itoa(part)+"-"+strconv.Itoa(i)), resend)
			}
		}
		ms := func(h *hdrhistogram.Histogram) float64 { return float64(h.ValueAtQuantile(50)) / 1000 }
		own := ms(plain) - ms(straight)
		commit := ms(resend) - own
		b.ReportMetric(ms(once), "callP50-ms")
		b.ReportMetric(commit, "commitP50-ms")
		b.ReportMetric(ms(straightOnce), "straightP50-ms")
		b.ReportMetric((ms(once)-own-ms(straightOnce))/commit, "commits/call")
	}
}

func bookingCall(address, identity string) sqcaller.CallRequest {
	return sqcaller.CallRequest{
		Method: http.MethodPost, Path: "/booking/places", Body: []byte(`{}`), Identity: identity, Address: address,
	}
}

func places(address string) sqcaller.CallRequest {
	return sqcaller.CallRequest{Method: http.MethodGet, Path: "/booking/places", Address: address}
}

func timeCall(b *testing.B, caller *sqcaller.Caller, call sqcaller.CallRequest, h *hdrhistogram.Histogram) {
	b.Helper()
	a := caller.Call(context.Background(), call)
	assert.Assert(b, a.Outcome == sqcaller.Complete, "%s %+v", a.Detail, a.Refusal)
	_ = h.RecordValue(a.Total.Microseconds())
}
