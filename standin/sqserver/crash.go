package sqserver

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
)

// Crasher is a stand-in that can break down and come back.
type Crasher interface {
	Crash()
	Restart() error
}

// crashRequest is the body of a test's request for a crash.
type crashRequest struct {
	// DownMillis is the time until the stand-in is back; 0 leaves it down.
	DownMillis int `json:"downMillis"`
}

// CrashHandler returns a handler that answers, then crashes s and brings it back
// after the time that the request names.
func CrashHandler(s Crasher) echo.HandlerFunc {
	return func(c echo.Context) error {
		var q crashRequest
		if err := Decode(c, &q); err != nil {
			return err
		}
		if err := c.NoContent(http.StatusNoContent); err != nil {
			return err
		}
		c.Response().Flush()
		go crash(s, time.Duration(q.DownMillis)*time.Millisecond)
		return nil
	}
}

func crash(s Crasher, down time.Duration) {
	s.Crash()
	if down <= 0 {
		return
	}
	time.Sleep(down)
	// A port that was taken meanwhile leaves the stand-in down.
	_ = s.Restart()
}
