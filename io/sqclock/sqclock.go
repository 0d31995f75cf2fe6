// Package sqclock reads a clock that keeps advancing while the process is stopped
// or the VM is suspended.
package sqclock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot as a time.Time. Values can be compared only with
// other values from the same VM; they are not calendar times. The Go runtime's
// own monotonic clock stops while a VM is suspended, so a lease measured by it
// could be considered valid after its end.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call fails only on kernels without this clock, where no lease can
		// be trusted; the process must not continue.
		panic(err)
	}
	return time.Unix(ts.Sec, ts.Nsec).UTC()
}

// Wall returns the wall-clock time in UTC, for records that people read. No
// decision may depend on it.
func Wall() time.Time {
	return time.Now().UTC()
}

// Sleep waits for d or until ctx is done. It reports whether ctx is still active.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return ctx.Err() == nil
	}
}
