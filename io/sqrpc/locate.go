package sqrpc

import (
	"time"

	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqlocate"
)

// MoveOn tells the locator how a call to an address failed at now.
func MoveOn(now time.Time, l *sqlocate.Locator, address string, err error) {
	if sqerror.KindOf(err) == sqerror.Unreachable {
		l.Silent(now, address)
		return
	}
	l.Failed(now, address, Holder(err))
}
