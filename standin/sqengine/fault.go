package sqengine

import (
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"sequoiadock/standin/sqfault"
	"sequoiadock/standin/sqserver"
)

// defaultOversizedBytes is the size of an oversized event or body.
const defaultOversizedBytes = 16 << 20

// resetConnection resets the connection of c.
func resetConnection(c echo.Context) {
	conn, _, err := c.Response().Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	sqserver.Reset(conn)
}

// sendPartialHeaders sends the start of the response headers, then resets the
// connection.
func sendPartialHeaders(c echo.Context) {
	conn, _, err := c.Response().Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: text/ev"))
	// The bytes have to be sent before the reset discards them.
	time.Sleep(time.Millisecond)
	sqserver.Reset(conn)
}

// injectBeforeResponse injects the faults that occur before the first byte of
// the response. It reports whether the fault ended the request.
func (e *Engine) injectBeforeResponse(c echo.Context, f sqfault.Fault) bool {
	done := c.Request().Context().Done()
	e.faults.WaitWhilePaused(done)
	switch {
	case f.Is(sqfault.Reset, sqfault.BeforeFirstByte):
		resetConnection(c)
		return true
	case f.Is(sqfault.Reset, sqfault.InHeaders):
		sendPartialHeaders(c)
		return true
	case f.Is(sqfault.Hang, sqfault.BeforeFirstByte):
		<-done
		return true
	case f.Is(sqfault.Delay, sqfault.BeforeFirstByte):
		sqserver.Sleep(c, f.Delay())
	}
	return false
}

// injectInKVTransfer injects the faults of KV exports and imports and reports
// whether the fault ended the request.
func (e *Engine) injectInKVTransfer(c echo.Context, phase sqfault.Phase) (done bool, err error) {
	switch f := e.faults.NextFaultAt(phase); f.Kind {
	case sqfault.Reset:
		resetConnection(c)
	case sqfault.Hang:
		<-c.Request().Context().Done()
	case sqfault.Malformed:
		return true, c.Blob(http.StatusOK, echo.MIMEApplicationJSON, []byte(`{"handle":`))
	case sqfault.Refused:
		return true, c.JSON(http.StatusNotFound, errorResponse{Error: "unknownRequest"})
	default:
		return false, nil
	}
	return true, nil
}

// injectInCompletion injects the faults of a response that is not streamed and
// reports whether the fault ended the request.
func (e *Engine) injectInCompletion(c echo.Context, f sqfault.Fault) bool {
	switch {
	case f.Is(sqfault.Reset, sqfault.MidStream), f.Is(sqfault.Reset, sqfault.BeforeLastEvent):
		resetConnection(c)
		return true
	case f.Is(sqfault.Hang, sqfault.MidStream), f.Is(sqfault.Hang, sqfault.BeforeLastEvent):
		<-c.Request().Context().Done()
		return true
	case f.Is(sqfault.Delay, sqfault.MidStream), f.Is(sqfault.Delay, sqfault.BeforeLastEvent):
		sqserver.Sleep(c, f.Delay())
	case f.Kind == sqfault.Malformed:
		_ = c.Blob(http.StatusOK, echo.MIMEApplicationJSON, []byte(`{"id":`))
		return true
	case f.Kind == sqfault.Oversized:
		_ = c.Blob(http.StatusOK, echo.MIMEApplicationJSON, oversizedBody(f))
		return true
	}
	return false
}

func oversizedBody(f sqfault.Fault) []byte {
	n := f.SizeBytes
	if n == 0 {
		n = defaultOversizedBytes
	}
	return []byte(`{"id":"` + strings.Repeat("x", n) + `"}`)
}

// faultPhase returns the phase of the stream before its next token.
func (w *streamer) faultPhase(last bool) sqfault.Phase {
	if last {
		return sqfault.BeforeLastEvent
	}
	if w.next >= w.midpoint {
		return sqfault.MidStream
	}
	return ""
}

// injectBeforeToken injects the fault that is due before the next token and
// reports whether the stream continues.
func (w *streamer) injectBeforeToken(last bool) bool {
	phase := w.faultPhase(last)
	if phase == "" || w.injected || w.fault.Kind == "" {
		return true
	}
	done := w.c.Request().Context().Done()
	switch {
	case w.fault.Is(sqfault.Reset, phase):
		w.c.Response().Flush()
		// The events sent so far have to arrive before the reset discards them.
		time.Sleep(time.Millisecond)
		resetConnection(w.c)
		return false
	case w.fault.Is(sqfault.Hang, phase):
		w.c.Response().Flush()
		<-done
		return false
	case w.fault.Is(sqfault.Truncated, phase):
		return false
	case w.fault.Is(sqfault.Delay, phase):
		w.injected = true
		w.c.Response().Flush()
		sqserver.Sleep(w.c, w.fault.Delay())
	case w.fault.Kind == sqfault.Malformed:
		w.injected = true
		_, _ = w.c.Response().Write([]byte("data: {\"id\": nonsense\n\n"))
	case w.fault.Kind == sqfault.Oversized:
		w.injected = true
		_, _ = w.c.Response().Write([]byte("data: "))
		_, _ = w.c.Response().Write(oversizedBody(w.fault))
		_, _ = w.c.Response().Write([]byte("\n\n"))
	case w.fault.Kind == sqfault.SkippedToken:
		w.injected = true
		w.next++
	case w.fault.Kind == sqfault.Endless && last:
		w.sendEndlessly()
		return false
	}
	return true
}

// sendEndlessly sends tokens after the end of the answer until the client
// disconnects.
func (w *streamer) sendEndlessly() {
	done := w.c.Request().Context().Done()
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Millisecond):
		}
		w.writeEvent(event{
			ID: w.s.id, Object: "chat.completion.chunk", Model: w.s.model, Position: w.next,
			Choices: []eventChoice{{Delta: delta{Content: w.s.answer.Token(w.next)}}},
		})
		w.c.Response().Flush()
		w.next++
	}
}
