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

// newCountingServer starts a service that counts the requests that it has run.
func newCountingServer(t *testing.T) (address string, ran *atomic.Int64) {
	ran = &atomic.Int64{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		ran.Add(1)
		fmt.Fprint(w, "ok")
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), ran
}

func post(c *Client, address string, check WriteCheck) error {
	return postBody(c, address, "body", check)
}

func postBody(c *Client, address, body string, check WriteCheck) error {
	_, err := c.SendPlain(context.Background(), PlainConfig{
		Address: address, Method: http.MethodPost, Path: "/x", Header: http.Header{"Idempotency-Key": {"i"}},
		Body: []byte(body), WriteCheck: check, MaxResponseBytes: 100,
	})
	return err
}

// TestWriteCheckStopsWrite checks that no byte is sent on a new or reused
// connection if the permission ends after the endpoint was chosen and before the
// write.
func TestWriteCheckStopsWrite(t *testing.T) {
	c := newTestClient(t)
	address, ran := newCountingServer(t)
	stale := sqerror.New(sqerror.Config{Kind: sqerror.StaleEntry, Execution: sqerror.NotRun})
	refuse := func(time.Time) (time.Time, error) { return time.Time{}, stale }
	allow := func(now time.Time) (time.Time, error) { return now.Add(time.Second), nil }
	assertPost := func(check WriteCheck, kind sqerror.Kind, runs int64) {
		t.Helper()
		assert.Equal(t, sqerror.KindOf(post(c, address, check)), kind)
		assert.Equal(t, ran.Load(), runs)
	}
	assertPost(refuse, sqerror.StaleEntry, 0)
	assertPost(allow, sqerror.None, 1)
	assertPost(refuse, sqerror.StaleEntry, 1)
	assertPost(nil, sqerror.None, 2)
}

// TestWriteCheckAfterPause covers a process that is paused between the check and
// the write, so that the permission has expired when the write returns. The
// connection must be closed and the error must say that the request may have run.
func TestWriteCheckAfterPause(t *testing.T) {
	c := newTestClient(t)
	address, _ := newCountingServer(t)
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

// TestNoAutomaticRetry closes each reused connection when a request arrives:
// net/http must not resend a request with an Idempotency-Key on its own.
func TestNoAutomaticRetry(t *testing.T) {
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

// TestRefusedConnectionIsNotRun checks that a refused connection is reported as
// NotRun.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	l.Close()
	var e *sqerror.Error
	assert.Assert(t, errors.As(post(newTestClient(t), address, nil), &e))
	assert.Equal(t, e.Execution(), sqerror.NotRun)
}

// TestClosedTrackerBlocksWrite covers a request that is abandoned while its
// connection is being opened: after close has reported that nothing was sent, a
// late write must send nothing.
func TestClosedTrackerBlocksWrite(t *testing.T) {
	s := &writeTracker{}
	a, b := net.Pipe()
	defer b.Close()
	go func() { _, _ = io.Copy(io.Discard, b) }()
	c := &conn{Conn: a}
	c.tracker.Store(s)
	assert.Assert(t, !s.close())
	_, err := c.Write([]byte("late"))
	assert.Equal(t, err, net.ErrClosed)
}
