package sqendpoint

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestKernelDropsUndeliveredBytes has the endpoint read nothing until the
// permission has expired. The request is in the socket buffer by then, and the
// kernel must not deliver the rest of it.
func TestKernelDropsUndeliveredBytes(t *testing.T) {
	const size = 64 << 10
	// The receive buffer is shrunk before the connection is accepted. If it is shrunk
	// later, the kernel sometimes accepts the whole request.
	listenConfig := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1)
		})
	}}
	l, err := listenConfig.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	ended := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		time.Sleep(1500 * time.Millisecond)
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		n, err := io.Copy(io.Discard, c)
		t.Logf("the endpoint got %d bytes", n)
		ended <- err
	}()
	c := New(Config{ConnectTimeout: time.Second, MaxConnections: 1, MaxResponseBytes: 1 << 20})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		_, _ = c.SendPlain(ctx, PlainConfig{
			Address: l.Addr().String(), Method: http.MethodPost, Path: "/x", Header: http.Header{}, Body: make([]byte, size),
			WriteCheck: func(now time.Time) (time.Time, error) { return now.Add(400 * time.Millisecond), nil },
			Watchdog:   true, MaxResponseBytes: 100,
		})
	}()
	assert.ErrorIs(t, <-ended, syscall.ECONNRESET)
}

// TestWatchdogLargeBody checks that a body larger than the socket buffer is written
// in parts and arrives whole.
func TestWatchdogLargeBody(t *testing.T) {
	want := bytes.Repeat([]byte("0123456789abcdef"), 1<<18)
	got := make(chan []byte, 1)
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		time.Sleep(200 * time.Millisecond)
		b, _ := io.ReadAll(r.Body)
		got <- b
	}))
	defer s.Close()
	_, err := newTestClient(t).SendPlain(context.Background(), watchdogConfig(s.Listener.Addr().String(), want))
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(<-got, want))
}

func watchdogConfig(address string, body []byte) PlainConfig {
	return PlainConfig{
		Address: address, Method: http.MethodPost, Path: "/x", Header: http.Header{}, Body: body,
		WriteCheck: func(now time.Time) (time.Time, error) { return now.Add(time.Minute), nil },
		Watchdog:   true, MaxResponseBytes: 100,
	}
}

// BenchmarkWatchdog measures the cost of the watchdog for a small request.
func BenchmarkWatchdog(b *testing.B) {
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer s.Close()
	c := New(Config{ConnectTimeout: time.Second, MaxConnections: 1, MaxResponseBytes: 1 << 20})
	defer c.Close()
	for name, watchdog := range map[string]bool{"plain": false, "watched": true} {
		b.Run(name, func(b *testing.B) {
			cfg := watchdogConfig(s.Listener.Addr().String(), []byte("{}"))
			cfg.Watchdog = watchdog
			for b.Loop() {
				if _, err := c.SendPlain(context.Background(), cfg); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
