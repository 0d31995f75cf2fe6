package sqserver

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
)

// Crasher is a stand-in that can crash and restart.
type Crasher interface {
	Crash()
	Restart() error
}

// crashRequest is the body of a request to crash the stand-in.
type crashRequest struct {
	// RestartMillis is the time until the restart; 0 means no restart.
	RestartMillis int `json:"downMillis"`
}

// CrashHandler returns a handler that responds, then crashes s and restarts it
// after the time in the request.
func CrashHandler(s Crasher) echo.HandlerFunc {
	return func(c echo.Context) error {
		var req crashRequest
		if err := Decode(c, &req); err != nil {
			return err
		}
		if err := c.NoContent(http.StatusNoContent); err != nil {
			return err
		}
		c.Response().Flush()
		go crashAndRestart(s, time.Duration(req.RestartMillis)*time.Millisecond)
		return nil
	}
}

func crashAndRestart(s Crasher, down time.Duration) {
	s.Crash()
	if down <= 0 {
		return
	}
	time.Sleep(down)
	// The stand-in stays down if its port was taken in the meantime.
	_ = s.Restart()
}
