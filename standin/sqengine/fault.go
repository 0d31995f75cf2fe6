package sqengine

import (
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"sequoiadock/standin/sqfault"
	"sequoiadock/standin/sqserver"
)

// defaultOversize is the size of an oversized event, in bytes.
const defaultOversize = 16 << 20

// resetConnection breaks the connection of c without an orderly end.
func resetConnection(c echo.Context) {
	conn, _, err := c.Response().Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	sqserver.Reset(conn)
}

// sendPartHeaders sends the start of an answer's headers and resets.
func sendPartHeaders(c echo.Context) {
	conn, _, err := c.Response().Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: text/ev"))
	// The bytes have to leave before the reset throws them away.
	time.Sleep(time.Millisecond)
	sqserver.Reset(conn)
}

// faultBefore carries out the faults before the first byte of the answer and
// reports whether nothing more is to be done.
func (e *Engine) faultBefore(c echo.Context, f sqfault.Fault) bool {
	done := c.Request().Context().Done()
	e.faults.WaitWhilePaused(done)
	switch {
	case f.Is(sqfault.Reset, sqfault.BeforeFirstByte):
		resetConnection(c)
		return true
	case f.Is(sqfault.Reset, sqfault.InHeaders):
		sendPartHeaders(c)
		return true
	case f.Is(sqfault.Hang, sqfault.BeforeFirstByte):
		<-done
		return true
	case f.Is(sqfault.Delay, sqfault.BeforeFirstByte):
		sqserver.Sleep(c, f.Delay())
	}
	return false
}

// faultKV carries out the faults of KV orders and reports whether nothing more
// is to be done.
func (e *Engine) faultKV(c echo.Context, phase sqfault.Phase) (done bool, err error) {
	switch f := e.faults.NextFaultAt(phase); f.Kind {
	case sqfault.Reset:
		resetConnection(c)
	case sqfault.Hang:
		<-c.Request().Context().Done()
	case sqfault.Malformed:
		return true, c.Blob(http.StatusOK, echo.MIMEApplicationJSON, []byte(`{"handle":`))
	case sqfault.Refused:
		return true, c.JSON(http.StatusNotFound, refusal{Error: "unknownRequest"})
	default:
		return false, nil
	}
	return true, nil
}

// faultPlain carries out the faults of an answer that is not streamed.
func (e *Engine) faultPlain(c echo.Context, f sqfault.Fault) bool {
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
		_ = c.Blob(http.StatusOK, echo.MIMEApplicationJSON, oversized(f))
		return true
	}
	return false
}

func oversized(f sqfault.Fault) []byte {
	n := f.SizeBytes
	if n == 0 {
		n = defaultOversize
	}
	return []byte(`{"id":"` + strings.Repeat("x", n) + `"}`)
}

// phaseAt returns the phase that the stream is in before its next token.
func (w *streamer) phaseAt(last bool) sqfault.Phase {
	if last {
		return sqfault.BeforeLastEvent
	}
	if w.next >= w.middle {
		return sqfault.MidStream
	}
	return ""
}

// faultAt carries out the fault that is due before the next token and reports
// whether the stream goes on.
func (w *streamer) faultAt(last bool) bool {
	phase := w.phaseAt(last)
	if phase == "" || w.hit || w.fault.Kind == "" {
		return true
	}
	done := w.c.Request().Context().Done()
	switch {
	case w.fault.Is(sqfault.Reset, phase):
		w.c.Response().Flush()
		// What was sent has to arrive before the reset throws it away.
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
		w.hit = true
		w.c.Response().Flush()
		sqserver.Sleep(w.c, w.fault.Delay())
	case w.fault.Kind == sqfault.Malformed:
		w.hit = true
		_, _ = w.c.Response().Write([]byte("data: {\"id\": nonsense\n\n"))
	case w.fault.Kind == sqfault.Oversized:
		w.hit = true
		_, _ = w.c.Response().Write([]byte("data: "))
		_, _ = w.c.Response().Write(oversized(w.fault))
		_, _ = w.c.Response().Write([]byte("\n\n"))
	case w.fault.Kind == sqfault.SkippedToken:
		w.hit = true
		w.next++
	case w.fault.Kind == sqfault.Endless && last:
		w.endless()
		return false
	}
	return true
}

// endless sends tokens beyond the end until the client leaves.
func (w *streamer) endless() {
	done := w.c.Request().Context().Done()
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Millisecond):
		}
		w.write(event{
			ID: w.s.id, Object: "chat.completion.chunk", Model: w.s.model, Position: w.next,
			Choices: []eventChoice{{Delta: delta{Content: w.s.answer.Token(w.next)}}},
		})
		w.c.Response().Flush()
		w.next++
	}
}
