package sqgateway

import (
	"time"

	"sequoiadock/io/sqclock"
)

// awaitRoom waits, since no endpoint has room for the request yet, before endpoints are
// compared again. It returns early at the request's deadline, or if the caller disconnects, in
// which case it returns false.
func (x *request) awaitRoom(now time.Time, wait time.Duration) bool {
	if x.waitedForRoom == 0 {
		x.g.metrics.roomWaits.Inc()
	}
	x.g.mu.Lock()
	w := x.g.placer.StartRoomWait(x.query(now))
	x.g.mu.Unlock()
	sqclock.Sleep(x.ctx, wait)
	x.g.mu.Lock()
	w.End()
	x.g.mu.Unlock()
	x.waitedForRoom += sqclock.Now().Sub(now)
	return !x.callerDisconnected()
}
