package sqlink

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqclock"
)

const idHeader = "X-Attempt"

// endpoint is a server whose answers are written byte by byte by a test.
type endpoint struct {
	ln net.Listener
	// accepted counts connections, requests the heads that were read.
	accepted, requests chan string
}

// serve calls answer for each request; it returns false to close the connection.
func serve(t *testing.T, answer func(n int, req *http.Request, w net.Conn) bool) *endpoint {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e := &endpoint{ln: ln, accepted: make(chan string, 100), requests: make(chan string, 100)}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			e.accepted <- ""
			go e.handle(c, answer)
		}
	}()
	return e
}

func (e *endpoint) handle(c net.Conn, answer func(n int, req *http.Request, w net.Conn) bool) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		e.requests <- req.Header.Get(idHeader)
		if !answer(len(e.requests), req, c) {
			return
		}
	}
}

func (e *endpoint) call(id string) *Call {
	return &Call{
		Endpoint: "e1", Address: e.ln.Addr().String(), Method: http.MethodGet, Target: "/a%2Fb?c=d", Host: "host.example",
		Header:  http.Header{idHeader: {id}},
		Matches: func(_ int, h http.Header) bool { return h.Get(idHeader) == "" || h.Get(idHeader) == id },
	}
}

func write(w net.Conn, s string) { _, _ = io.WriteString(w, s) }

func answerTo(id, body string) string {
	return "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\n" + idHeader + ": " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string { return string(rune('0'+n/10)) + string(rune('0'+n%10)) }

func do(t *testing.T, p *Pool, c *Call) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := p.Do(ctx, c)
	if err != nil {
		return "", err
	}
	defer r.Close()
	body, err := io.ReadAll(r)
	return string(body), err
}

func TestKeptConnection(t *testing.T) {
	e := serve(t, func(_ int, req *http.Request, w net.Conn) bool {
		assert.Check(t, req.RequestURI == "/a%2Fb?c=d" && req.Host == "host.example")
		assert.Check(t, len(req.Header) == 1, "%v", req.Header)
		write(w, answerTo(req.Header.Get(idHeader), "hello"))
		return true
	})
	p := NewPool()
	for _, id := range []string{"1", "2", "3"} {
		body, err := do(t, p, e.call(id))
		assert.NilError(t, err)
		assert.Equal(t, body, "hello")
	}
	assert.Equal(t, len(e.accepted), 1)
	assert.Equal(t, p.Open(), 1)
	p.Sweep(sqclock.Now(), func(string) bool { return false })
	assert.Equal(t, p.Open(), 0)
}

// TestLateAnswer wants an extra answer of the request before passed over.
func TestLateAnswer(t *testing.T) {
	e := serve(t, func(n int, req *http.Request, w net.Conn) bool {
		id := req.Header.Get(idHeader)
		if id == "2" {
			write(w, answerTo("1", "again"))
			time.Sleep(20 * time.Millisecond)
		}
		write(w, answerTo(id, "answer "+id))
		return true
	})
	p := NewPool()
	for _, id := range []string{"1", "2"} {
		body, err := do(t, p, e.call(id))
		assert.NilError(t, err)
		assert.Equal(t, body, "answer "+id)
	}
	assert.Equal(t, len(e.accepted), 1)
}

// TestExtraBytes wants a connection given up on which more came than the answer.
func TestExtraBytes(t *testing.T) {
	e := serve(t, func(_ int, req *http.Request, w net.Conn) bool {
		write(w, answerTo(req.Header.Get(idHeader), "hello")+"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
		return true
	})
	p := NewPool()
	for _, id := range []string{"1", "2"} {
		body, err := do(t, p, e.call(id))
		assert.NilError(t, err)
		assert.Equal(t, body, "hello")
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, len(e.accepted), 2)
}

// TestNeverSentTwice wants a request that an endpoint took without an answer sent
// once, though it came over a kept connection.
func TestNeverSentTwice(t *testing.T) {
	e := serve(t, func(n int, req *http.Request, w net.Conn) bool {
		if req.Header.Get(idHeader) == "2" {
			return false
		}
		write(w, answerTo(req.Header.Get(idHeader), "hello"))
		return true
	})
	p := NewPool()
	_, err := do(t, p, e.call("1"))
	assert.NilError(t, err)
	_, err = do(t, p, e.call("2"))
	assert.Equal(t, sqerror.KindOf(err), sqerror.EndpointFailed)
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, len(e.requests), 2)
}

// TestClosedMeanwhile wants a kept connection that its endpoint has closed not
// used again.
func TestClosedMeanwhile(t *testing.T) {
	e := serve(t, func(_ int, req *http.Request, w net.Conn) bool {
		write(w, answerTo(req.Header.Get(idHeader), "hello"))
		return false
	})
	p := NewPool()
	for _, id := range []string{"1", "2"} {
		body, err := do(t, p, e.call(id))
		assert.NilError(t, err)
		assert.Equal(t, body, "hello")
		time.Sleep(50 * time.Millisecond)
	}
	assert.Equal(t, len(e.accepted), 2)
}

// TestBrokenAnswers wants what is not a whole answer told from one that is.
func TestBrokenAnswers(t *testing.T) {
	for _, c := range []struct {
		name, bytes, body string
		kind              sqerror.Kind
	}{
		{"cut", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhel", "", sqerror.EndpointFailed},
		{"cut chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", "", sqerror.EndpointFailed},
		{"nothing", "", "", sqerror.EndpointFailed},
		{"no answer", "\x16\x03\x01 not an answer\r\n\r\n", "", sqerror.BadResponse},
		{"endless head", "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 2*maxHeadBytes), "", sqerror.BadResponse},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nhello", "hello", sqerror.None},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "hello", sqerror.None},
		{"early hint", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "hello", sqerror.None},
		{"only foreign", answerTo("8", "x") + answerTo("9", "x"), "", sqerror.EndpointFailed},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := serve(t, func(_ int, _ *http.Request, w net.Conn) bool {
				write(w, c.bytes)
				return false
			})
			body, err := do(t, NewPool(), e.call("1"))
			assert.Equal(t, sqerror.KindOf(err), c.kind, "%v", err)
			if c.kind == sqerror.None {
				assert.Equal(t, body, c.body)
			}
		})
	}
}

// TestUnreachable wants "not run" said of a request of which nothing was sent.
func TestUnreachable(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := ln.Addr().String()
	assert.NilError(t, ln.Close())
	_, err = do(t, NewPool(), &Call{Endpoint: "e", Address: address, Method: http.MethodGet, Target: "/", Host: "h"})
	assert.Equal(t, sqerror.KindOf(err), sqerror.Unreachable)
}

// TestBounded wants no more connections than allowed, and none lost on the way.
func TestBounded(t *testing.T) {
	release := make(chan struct{})
	e := serve(t, func(_ int, req *http.Request, w net.Conn) bool {
		<-release
		write(w, answerTo(req.Header.Get(idHeader), "hello"))
		return true
	})
	p := NewPool()
	call := e.call("1")
	call.MaxConnections = 1
	done := make(chan error)
	go func() {
		_, err := do(t, p, call)
		done <- err
	}()
	<-e.requests
	_, err := do(t, p, call)
	assert.Equal(t, sqerror.KindOf(err), sqerror.Overloaded)
	close(release)
	assert.NilError(t, <-done)
	_, err = do(t, p, call)
	assert.NilError(t, err)
}

// TestCallerLeaves wants the connection closed at once when the caller leaves.
func TestCallerLeaves(t *testing.T) {
	closed := make(chan struct{})
	e := serve(t, func(_ int, _ *http.Request, w net.Conn) bool {
		var b [1]byte
		_, _ = w.Read(b[:])
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-e.requests
		cancel()
	}()
	p := NewPool()
	_, err := p.Do(ctx, e.call("1"))
	assert.Equal(t, sqerror.KindOf(err), sqerror.Canceled)
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Fatal("the endpoint did not hear of it")
	}
	assert.Equal(t, p.Open(), 0)
}

// TestEarlyAnswer wants an answer that comes before a long body was read, and the
// connection not used again.
func TestEarlyAnswer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		write(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(time.Second)
		_ = c.Close()
	}()
	p := NewPool()
	call := &Call{Endpoint: "e", Address: ln.Addr().String(), Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, 8<<20)}
	begun := time.Now()
	_, err = do(t, p, call)
	assert.NilError(t, err)
	assert.Assert(t, time.Since(begun) < 900*time.Millisecond)
	assert.Equal(t, p.Open(), 0)
}
