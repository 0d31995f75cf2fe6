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

// memoryBound is what an entry may hold with all of hostileConns open, in bytes.
const memoryBound = 192 << 20

// hostileConns is the number of connections of each sort.
const hostileConns = 700

// TestSlowAndIdleConnections holds many connections of callers that say
// nothing, send headers slowly, or send half a body. Others are unharmed, and
// the entry's memory is bounded.
func TestSlowAndIdleConnections(t *testing.T) {
	c := start(t, sqcluster.Config{})
	entry := c.Entries()[0]
	key := sqcluster.DefaultTeams()[0].Key()
	starts := []string{
		"",
		"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Slow: ",
		"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + key +
			"\r\nContent-Length: 3000000\r\n\r\n{\"model\":\"walks\"," + strings.Repeat(" ", 20_000),
	}
	conns := openAll(t, entry.CallerAddress(), starts)
	defer func() {
		for _, conn := range conns {
			conn.Close()
		}
	}()
	caller := callerOf(c, key)
	for i := range 30 {
		q := chat(fmt.Sprintf("is anybody there %d", i), 20)
		q.Address = entry.CallerAddress()
		a := caller.Chat(context.Background(), q)
		assert.Equal(t, a.Outcome, sqcaller.Complete, "%s %+v", a.Detail, a.Refusal)
		assert.Equal(t, a.Address, entry.CallerAddress())
	}
	bytes, err := entry.ResidentMemory()
	assert.NilError(t, err)
	t.Logf("%d connections, %d MB resident", len(conns), bytes>>20)
	assert.Assert(t, bytes < memoryBound)
}

// openAll opens connections and sends a start on each.
func openAll(t *testing.T, address string, starts []string) []net.Conn {
	t.Helper()
	var mu sync.Mutex
	var conns []net.Conn
	var wg sync.WaitGroup
	for _, s := range starts {
		wg.Go(func() {
			for range hostileConns {
				conn, err := net.DialTimeout("tcp", address, 5*time.Second)
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = conn.Write([]byte(s))
				mu.Lock()
				conns = append(conns, conn)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return conns
}

// TestReusedIdentity sends one identity with two bodies, through two entries:
// only the first runs.
func TestReusedIdentity(t *testing.T) {
	c := start(t, sqcluster.Config{})
	caller := callerOf(c, sqcluster.DefaultTeams()[0].Key())
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
	again := book(2, `{"place":1}`)
	assert.Equal(t, again.Outcome, sqcaller.Complete, "%+v", again.Refusal)
	assert.Equal(t, string(again.Body), string(first.Body))
	calls := []sqmix.BookingResult{{Identity: "same", Outcome: first.Outcome, Body: first.Body}}
	judgeCalls(t, record(t, c), calls)
}

// TestManyResendsAtOnce sends one call through all entries at the same time: it
// runs once, and whoever hears an outcome hears the same.
func TestManyResendsAtOnce(t *testing.T) {
	c := start(t, sqcluster.Config{Fleet: bookingFleet(2000)})
	const callers = 60
	answers := make([]sqcaller.CallResult, callers)
	var wg sync.WaitGroup
	for i := range callers {
		caller := callerOf(c, sqcluster.DefaultTeams()[0].Key())
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
	assert.DeepEqual(t, sqjudge.RunCounts(record(t, c)), map[string]int{"one": 1})
}
