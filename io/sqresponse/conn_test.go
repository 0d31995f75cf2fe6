package sqresponse_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/io/sqresponse"
)

// TestEndIsToldFromReset checks what Read returns on a connection whose write has failed,
// although both ends look the same to it.
func TestEndIsToldFromReset(t *testing.T) {
	for name, c := range map[string]struct {
		finish func(c *net.TCPConn)
		want   error
	}{
		"reset": {func(c *net.TCPConn) { _ = c.SetLinger(0) }, syscall.ECONNRESET},
		"end, then reset": {func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(pause)
			_ = c.SetLinger(0)
		}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer ln.Close()
			go func() {
				peer, err := ln.Accept()
				if err != nil {
					return
				}
				defer peer.Close()
				_, _ = io.ReadFull(peer, make([]byte, 1))
				_, _ = io.WriteString(peer, "hello")
				time.Sleep(pause)
				c.finish(peer.(*net.TCPConn))
			}()
			dial := sqresponse.DialContext(&net.Dialer{Timeout: testTimeout})
			nc, err := dial(t.Context(), "tcp", ln.Addr().String())
			assert.NilError(t, err)
			defer nc.Close()
			assert.NilError(t, nc.SetDeadline(time.Now().Add(testTimeout)))
			_, err = nc.Write(make([]byte, longUploadBytes))
			assert.Assert(t, err != nil)
			got, err := io.ReadAll(nc)
			assert.Equal(t, string(got), "hello")
			assert.Assert(t, errors.Is(err, c.want), "%v", err)
		})
	}
}
