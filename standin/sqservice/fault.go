package sqservice

import (
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"sequoiadock/standin/sqfault"
	"sequoiadock/standin/sqserver"
)

// defaultOversizeBytes is the size of an oversized response, in bytes, if the
// fault sets none.
const defaultOversizeBytes = 16 << 20

func resetConnection(c echo.Context) {
	conn, _, err := c.Response().Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	sqserver.Reset(conn)
}

// injectBeforeRun injects a fault that precedes the call's execution. It reports
// whether the request is finished, so the call must not run.
func (s *Service) injectBeforeRun(c echo.Context, f sqfault.Fault) bool {
	if f.Phase != sqfault.BeforeRun {
		return false
	}
	switch f.Kind {
	case sqfault.Reset:
		resetConnection(c)
		return true
	case sqfault.Hang:
		<-c.Request().Context().Done()
		return true
	case sqfault.Delay:
		sqserver.Sleep(c, f.Delay())
	}
	return false
}

// injectAfterRun injects a fault into the response of a call that ran. It
// reports whether the response is replaced or lost.
func (s *Service) injectAfterRun(c echo.Context, f sqfault.Fault) bool {
	if f.Phase == sqfault.BeforeRun {
		return false
	}
	switch f.Kind {
	case sqfault.Reset:
		resetAt(c, f.Phase)
		return true
	case sqfault.Hang:
		<-c.Request().Context().Done()
		return true
	case sqfault.Delay:
		sqserver.Sleep(c, f.Delay())
	case sqfault.Malformed:
		sendPartial(c, "this is not HTTP\r\n\r\n")
		return true
	case sqfault.Oversized, sqfault.Endless:
		n := f.SizeBytes
		if n == 0 {
			n = defaultOversizeBytes
		}
		_ = c.Blob(http.StatusCreated, echo.MIMEApplicationJSON, []byte(`"`+strings.Repeat("x", n)+`"`))
		return true
	}
	return false
}

// resetAt resets the connection in the given phase of the response.
func resetAt(c echo.Context, phase sqfault.Phase) {
	switch phase {
	case sqfault.InHeaders:
		sendPartial(c, "HTTP/1.1 201 Created\r\nContent-Ty")
	case sqfault.MidStream, sqfault.BeforeLastEvent:
		sendPartial(c, "HTTP/1.1 201 Created\r\nContent-Length: 100\r\n\r\n{\"booking\":")
	default:
		resetConnection(c)
	}
}

// sendPartial sends an incomplete response and resets the connection.
func sendPartial(c echo.Context, part string) {
	conn, _, err := c.Response().Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = conn.Write([]byte(part))
	// A reset discards unsent bytes, so wait until they are sent.
	time.Sleep(time.Millisecond)
	sqserver.Reset(conn)
}
