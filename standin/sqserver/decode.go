package sqserver

import (
	"encoding/json"
	"net/http"

	"github.com/labstack/echo/v4"
)

// maxBodyBytes limits the body of requests other than completions, in bytes.
const maxBodyBytes = 4 << 20

// Decode reads the JSON body of c into v and ignores its content type. An empty
// body leaves v unchanged.
func Decode(c echo.Context, v any) error {
	if c.Request().ContentLength == 0 {
		return nil
	}
	d := json.NewDecoder(http.MaxBytesReader(c.Response().Writer, c.Request().Body, maxBodyBytes))
	if err := d.Decode(v); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return nil
}
