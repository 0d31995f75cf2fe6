package sqgateway

import (
	"time"

	"sequoiadock/core/sqplace"
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

// awaitDecode chooses the decode engine after a remote prefill, and waits until one has room
// for the request. It returns false if the caller has a final response; then the KV cache
// at the prefill engine is released.
func (x *request) awaitDecode(choice sqplace.Choice, cacheSource string) (sqplace.Choice, bool) {
	for {
		now := sqclock.Now()
		if v := x.g.view.Load(); !v.fresh(now) {
			x.releaseHandle(choice.PrefillEndpoint, cacheSource)
			x.finishUnanswered(x.stepWithoutEndpoint(now), v.staleReason(), v.retryAfter(now))
			return sqplace.Choice{}, false
		}
		if x.refuseQuarantined(now) {
			x.releaseHandle(choice.PrefillEndpoint, cacheSource)
			return sqplace.Choice{}, false
		}
		decode := x.chooseDecode(now, choice.PrefillEndpoint)
		if decode.Wait == 0 {
			return decode, true
		}
		if !x.awaitRoom(now, decode.Wait) {
			x.releaseHandle(choice.PrefillEndpoint, cacheSource)
			x.finishUnanswered(x.stepWithoutEndpoint(now), decode.Reason, decode.RetryAfter)
			return sqplace.Choice{}, false
		}
	}
}
