package sqgateway

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqplace"
	"sequoiadock/io/sqrpc"
)

// TestRequestsWaitForRoom fails if an endpoint is sent more bytes of bodies than it may hold,
// if a request that has time left is refused, or if one that has none left waits.
func TestRequestsWaitForRoom(t *testing.T) {
	release := make(chan struct{})
	freeRoom := sync.OnceFunc(func() { close(release) })
	defer freeRoom()
	e := newFakeEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		signedHandler("done")(w, r)
	})
	entry := e.fleetEntry("i1", "ledger", sqplace.AnyStage)
	s := newTestSystem(t, entry)
	s.gateway.mu.Lock()
	s.gateway.placer = sqplace.New(sqplace.Config{Zone: "a", LimitedMemory: true, MaxEndpointBodyBytes: 1000})
	s.gateway.placer.SetEndpoints([]sqplace.Endpoint{entry})
	s.gateway.mu.Unlock()
	body := strings.Repeat("x", 600)
	statuses := make(chan int, 2)
	send := func() {
		res, _, _ := s.call(t, http.MethodPost, "/read/x", body)
		statuses <- res.StatusCode
	}
	go send()
	waitFor(t, func() bool { return len(e.requests()) == 1 })
	res, _, _ := s.call(t, http.MethodPost, "/read/x", body, "X-Wait", "130")
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	wait, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	assert.Assert(t, err == nil && wait > 0 && wait < 1, "%v %v", wait, err)
	waits := s.gateway.metrics.roomWaits.Get()
	go send()
	waitFor(t, func() bool { return s.gateway.metrics.roomWaits.Get() > waits })
	assert.Equal(t, len(e.requests()), 1)
	freeRoom()
	assert.Equal(t, <-statuses, http.StatusOK)
	assert.Equal(t, <-statuses, http.StatusOK)
	waitFor(t, func() bool {
		s.gateway.mu.Lock()
		defer s.gateway.mu.Unlock()
		return len(s.gateway.placer.OwnLoads()) == 0
	})
}

// TestUnitsExpireWhileWaitingForRoom fails if a request is sent with units of its team's quota
// that were granted so long before that they count in no window in which it runs.
func TestUnitsExpireWhileWaitingForRoom(t *testing.T) {
	release := make(chan struct{})
	freeRoom := sync.OnceFunc(func() { close(release) })
	defer freeRoom()
	e := newFakeEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		signedHandler("done")(w, r)
	})
	entry := e.fleetEntry("i1", "ledger", sqplace.AnyStage)
	var calls atomic.Int64
	s := newQuotaSystem(t, func(*sqrpc.GrantQuotaRequest) (*sqrpc.GrantQuotaResponse, error) {
		return &sqrpc.GrantQuotaResponse{Granted: calls.Add(1) <= 2, RetryAfterMillis: 300, Term: 2}, nil
	}, entry)
	s.gateway.mu.Lock()
	s.gateway.placer = sqplace.New(sqplace.Config{Zone: "a", LimitedMemory: true, MaxEndpointBodyBytes: 1000})
	s.gateway.placer.SetEndpoints([]sqplace.Endpoint{entry})
	s.gateway.mu.Unlock()
	body := strings.Repeat("x", 600)
	statuses := make(chan int, 2)
	send := func() {
		res, _, _ := s.call(t, http.MethodPost, "/read/x", body)
		statuses <- res.StatusCode
	}
	go send()
	waitFor(t, func() bool { return len(e.requests()) == 1 })
	go send()
	waitFor(t, func() bool { return s.gateway.metrics.roomWaits.Get() > 0 })
	time.Sleep(600 * time.Millisecond)
	freeRoom()
	got := []int{<-statuses, <-statuses}
	slices.Sort(got)
	assert.DeepEqual(t, got, []int{http.StatusOK, http.StatusTooManyRequests})
	assert.Equal(t, len(e.requests()), 1)
}
