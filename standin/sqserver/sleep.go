package sqserver

import (
	"time"

	"github.com/labstack/echo/v4"
)

// Sleep waits for d or until the client disconnects.
func Sleep(c echo.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-c.Request().Context().Done():
	}
}
