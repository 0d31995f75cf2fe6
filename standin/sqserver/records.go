package sqserver

import (
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"sequoiadock/standin/sqrecord"
)

// RecordsHandler returns a handler that returns the entries numbered above
// the query parameter "after", by default all entries.
func RecordsHandler(r *sqrecord.Record) echo.HandlerFunc {
	return func(c echo.Context) error {
		after, err := strconv.ParseUint(c.QueryParam("after"), 10, 64)
		if err != nil {
			after = 0
		}
		if r == nil {
			return c.JSON(http.StatusOK, []sqrecord.Entry{})
		}
		return c.JSON(http.StatusOK, r.After(after))
	}
}
