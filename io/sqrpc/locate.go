package sqrpc

import (
	"time"

	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqlocate"
)

// ReportFailure tells the locator how a call to an address failed at now.
func ReportFailure(now time.Time, l *sqlocate.Locator, address string, err error) {
	if sqerror.KindOf(err) == sqerror.Unreachable {
		l.ReportUnreachable(now, address)
		return
	}
	l.ReportNotHolder(now, address, RedirectAddress(err))
}
