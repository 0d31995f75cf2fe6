package request

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
	"sequoiadock/proof/sqjudge"
	"sequoiadock/standin/sqcaller"
	"sequoiadock/standin/sqmix"
)

// maxResidentBytes is the limit of an entry's resident memory while connsPerKind
// connections of each kind are open.
const maxResidentBytes = 192 << 20

// connsPerKind is the number of connections of each kind.
const connsPerKind = 700

// TestSlowAndIdleConnections holds many open connections of callers that send
// nothing, an unfinished header or a part of a body. Other callers must still get
// their answers, and the entry's memory stays bounded.
func TestSlowAndIdleConnections(t *testing.T) {
	c := start(t, sqcluster.Config{})
	entry := c.Entries()[0]
	key := sqcluster.DefaultTeams()[0].Key()
	prefixes := []string{
		"",
		"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Slow: ",
		"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + key +
			"\r\nContent-Length: 3000000\r\n\r\n{\"model\":\"walks\"," + strings.Repeat(" ", 20_000),
	}
	conns := openConns(t, entry.CallerAddress(), prefixes)
	defer func() {
		for _, conn := range conns {
			conn.Close()
		}
	}()
	caller := newCaller(c, key)
	for i := range 30 {
		q := newChat(fmt.Sprintf("is anybody there %d", i), 20)
		q.Address = entry.CallerAddress()
		a := caller.Chat(context.Background(), q)
		assert.Equal(t, a.Outcome, sqcaller.Complete, "%s %+v", a.Detail, a.Refusal)
		assert.Equal(t, a.Address, entry.CallerAddress())
	}
	bytes, err := entry.ResidentMemory()
	assert.NilError(t, err)
	t.Logf("%d connections, %d MB resident", len(conns), bytes>>20)
	assert.Assert(t, bytes < maxResidentBytes)
}

// openConns opens connsPerKind connections for each prefix and sends the prefix on
// each.
func openConns(t *testing.T, address string, prefixes []string) []net.Conn {
	t.Helper()
	var mu sync.Mutex
	var conns []net.Conn
	var wg sync.WaitGroup
	for _, prefix := range prefixes {
		wg.Go(func() {
			for range connsPerKind {
				conn, err := net.DialTimeout("tcp", address, 5*time.Second)
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = conn.Write([]byte(prefix))
				mu.Lock()
				conns = append(conns, conn)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return conns
}

// TestReusedIdentity sends two calls with the same identity and different bodies
// through two entries: only the first runs.
func TestReusedIdentity(t *testing.T) {
	c := start(t, sqcluster.Config{})
	caller := newCaller(c, sqcluster.DefaultTeams()[0].Key())
	book := func(entry int, body string) sqcaller.CallResult {
		return caller.Call(context.Background(), sqcaller.CallRequest{
			Method: http.MethodPost, Path: "/booking/places", Identity: "same", Body: []byte(body),
			Address: c.Entries()[entry].CallerAddress(), Deadline: 5 * time.Second,
		})
	}
	first := book(0, `{"place":1}`)
	assert.Equal(t, first.Outcome, sqcaller.Complete, "%+v", first.Refusal)
	other := book(1, `{"place":2}`)
	assert.Assert(t, other.Refusal != nil)
	assert.Equal(t, other.Refusal.Kind, "identityReused")
	resent := book(2, `{"place":1}`)
	assert.Equal(t, resent.Outcome, sqcaller.Complete, "%+v", resent.Refusal)
	assert.Equal(t, string(resent.Body), string(first.Body))
	calls := []sqmix.BookingResult{{Identity: "same", Outcome: first.Outcome, Body: first.Body}}
	assertCallsConsistent(t, records(t, c), calls)
}

// TestConcurrentResends sends one call through all entries at the same time. It
// runs once, and every caller gets the same answer.
func TestConcurrentResends(t *testing.T) {
	c := start(t, sqcluster.Config{Fleet: bookingFleet(2000)})
	const callers = 60
	answers := make([]sqcaller.CallResult, callers)
	var wg sync.WaitGroup
	for i := range callers {
		caller := newCaller(c, sqcluster.DefaultTeams()[0].Key())
		wg.Go(func() {
			answers[i] = caller.Call(context.Background(), sqcaller.CallRequest{
				Method: http.MethodPost, Path: "/booking/places", Identity: "one", Body: []byte(`{"place":1}`),
				Address: c.Entries()[i%3].CallerAddress(), Deadline: 10 * time.Second,
			})
		})
	}
	wg.Wait()
	for _, a := range answers {
		assert.Equal(t, a.Outcome, sqcaller.Complete, "%+v", a.Refusal)
		assert.Equal(t, string(a.Body), string(answers[0].Body))
	}
	assert.DeepEqual(t, sqjudge.RunCounts(records(t, c)), map[string]int{"one": 1})
}
