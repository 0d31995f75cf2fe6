package sqattempt

import (
	"strconv"
	"strings"
	"time"
)

// maxRetryAfterSeconds limits the seconds that ParseRetryAfter returns, so that they fit a
// time.Duration.
const maxRetryAfterSeconds = 1e9

// dateLayouts are the layouts of dates in HTTP headers.
var dateLayouts = []string{"Mon, 02 Jan 2006 15:04:05 GMT", time.RFC850, time.ANSIC}

// ParseRetryAfter parses the value of the header Retry-After: seconds, also with a
// fraction, or a date. A date is compared with that of the header Date, which is on the
// same clock; if there is none, with wall. ParseRetryAfter returns false if the value is
// neither; it returns 0 for a date that has passed.
func ParseRetryAfter(value, date string, wall time.Time) (time.Duration, bool) {
	value = strings.TrimSpace(value)
	if strings.Trim(value, "0123456789.") == "" {
		seconds, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return 0, false
		}
		return time.Duration(min(seconds, maxRetryAfterSeconds) * float64(time.Second)), true
	}
	until, ok := parseDate(value)
	if !ok {
		return 0, false
	}
	if sent, ok := parseDate(date); ok {
		wall = sent
	}
	return max(0, until.Sub(wall)), true
}

func parseDate(s string) (time.Time, bool) {
	for _, layout := range dateLayouts {
		if t, err := time.Parse(layout, s); err == nil {
			return t, true
		}
	}
	return time.Time{}, false
}
