package sqrpc

import (
	"time"

	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqlocate"
)

// ReportFailure reports to the locator that a call to address failed with err at now.
func ReportFailure(now time.Time, l *sqlocate.Locator, address string, err error) {
	if sqerror.KindOf(err) == sqerror.Unreachable {
		l.ReportUnreachable(now, address)
		return
	}
	l.ReportNotHolder(now, address, RedirectAddress(err))
}
