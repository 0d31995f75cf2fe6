package sqendpoint

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestIdleTimer checks that a stream is canceled exactly one timeout after its last
// event, for any number of events.
func TestIdleTimer(t *testing.T) {
	const first, between, step = 10 * time.Second, 2 * time.Second, 300 * time.Millisecond
	for _, events := range []int{0, 1, 2, 7, 50} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancelCause(t.Context())
			start := time.Now()
			s := newIdleTimer(first, cancel)
			want := first
			for range events {
				time.Sleep(step)
				assert.NilError(t, ctx.Err())
				s.eventReceived(between)
				want = time.Since(start) + between
			}
			<-ctx.Done()
			assert.Equal(t, context.Cause(ctx), error(errStalled))
			assert.Equal(t, time.Since(start), want)
			s.stop()
		})
	}
}

// TestIdleTimerStopped checks that a stopped timer does not cancel the stream and
// that setTimeout can shorten the timeout to drainTimeout.
func TestIdleTimerStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancelCause(t.Context())
		s := newIdleTimer(time.Second, cancel)
		s.stop()
		time.Sleep(time.Minute)
		assert.NilError(t, ctx.Err())
		s = newIdleTimer(time.Minute, cancel)
		s.eventReceived(time.Minute)
		s.setTimeout(drainTimeout)
		time.Sleep(drainTimeout)
		synctest.Wait()
		assert.Equal(t, context.Cause(ctx), error(errStalled))
	})
}
