package sqendpoint

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqerror"
)

func newTestClient(t *testing.T) *Client {
	c := New(Config{ConnectTimeout: time.Second, MaxConnections: 4, MaxResponseBytes: 1 << 20})
	t.Cleanup(c.Close)
	return c
}

// counter is a service that counts the requests that it ran.
func counter(t *testing.T) (address string, ran *atomic.Int64) {
	ran = &atomic.Int64{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		ran.Add(1)
		fmt.Fprint(w, "ok")
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), ran
}

func post(c *Client, address string, guard WriteCheck) error {
	return postBody(c, address, "body", guard)
}

func postBody(c *Client, address, body string, guard WriteCheck) error {
	_, err := c.SendPlain(context.Background(), PlainConfig{
		Address: address, Method: http.MethodPost, Path: "/x", Header: http.Header{"Idempotency-Key": {"i"}},
		Body: []byte(body), WriteCheck: guard, MaxResponseBytes: 100,
	})
	return err
}

// TestGuardStopsTheWrite lets the permission end between the choice and the
// write, on new and on kept connections: no byte goes out.
func TestGuardStopsTheWrite(t *testing.T) {
	c := newTestClient(t)
	address, ran := counter(t)
	stale := sqerror.New(sqerror.Config{Kind: sqerror.StaleEntry, Execution: sqerror.NotRun})
	refuse := func(time.Time) (time.Time, error) { return time.Time{}, stale }
	allow := func(now time.Time) (time.Time, error) { return now.Add(time.Second), nil }
	expect := func(guard WriteCheck, kind sqerror.Kind, runs int64) {
		t.Helper()
		assert.Equal(t, sqerror.KindOf(post(c, address, guard)), kind)
		assert.Equal(t, ran.Load(), runs)
	}
	expect(refuse, sqerror.StaleEntry, 0)
	expect(allow, sqerror.None, 1)
	expect(refuse, sqerror.StaleEntry, 1)
	expect(nil, sqerror.None, 2)
}

// TestGuardAfterPause is a process that was paused between the check and the
// write: the permission is over when the write returns. The connection is
// closed and the outcome told as unknown.
func TestGuardAfterPause(t *testing.T) {
	c := newTestClient(t)
	address, _ := counter(t)
	calls := 0
	err := post(c, address, func(now time.Time) (time.Time, error) {
		calls++
		until := now.Add(20 * time.Millisecond)
		time.Sleep(40 * time.Millisecond)
		return until, nil
	})
	assert.Equal(t, calls, 1)
	assert.Assert(t, err != nil)
	var e *sqerror.Error
	assert.Assert(t, errors.As(err, &e))
	assert.Assert(t, e.Kind() == sqerror.StaleEntry || e.Kind() == sqerror.EndpointFailed, err)
	assert.Equal(t, e.Execution(), sqerror.MayHaveRun)
}

// TestNoSilentRepeat closes each kept connection when a request comes in:
// net/http must not send a request with an identity a second time by itself.
func TestNoSilentRepeat(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	var mu sync.Mutex
	requests := 0
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				in := bufio.NewReader(conn)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					mu.Lock()
					requests++
					mu.Unlock()
					if n == 1 {
						return
					}
					fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			}()
		}
	}()
	c := newTestClient(t)
	for i, body := range []string{"body", ""} {
		assert.NilError(t, postBody(c, l.Addr().String(), body, nil))
		var e *sqerror.Error
		assert.Assert(t, errors.As(postBody(c, l.Addr().String(), body, nil), &e))
		assert.Equal(t, e.Execution(), sqerror.MayHaveRun)
		mu.Lock()
		assert.Equal(t, requests, 2*(i+1))
		mu.Unlock()
	}
}

// TestNotRunWhenRefused proves "not run" for an endpoint that is not there.
func TestNotRunWhenRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	l.Close()
	var e *sqerror.Error
	assert.Assert(t, errors.As(post(newTestClient(t), address, nil), &e))
	assert.Equal(t, e.Execution(), sqerror.NotRun)
}

// TestSealedSendingStaysUnsent gives a request up while its connection is being
// made: once "not run" was told, a late write does not go out.
func TestSealedSendingStaysUnsent(t *testing.T) {
	s := &sending{}
	a, b := net.Pipe()
	defer b.Close()
	go func() { _, _ = io.Copy(io.Discard, b) }()
	c := &conn{Conn: a}
	c.sending.Store(s)
	assert.Assert(t, !s.seal())
	_, err := c.Write([]byte("late"))
	assert.Equal(t, err, net.ErrClosed)
}
