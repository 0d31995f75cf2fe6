package sqendpoint

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqguard"
	"sequoiadock/io/sqpoint"
)

// writeWatched writes p in parts that the socket takes at once. Before each the
// guard is asked, and a watchdog covers the time from there to the end of the
// system call: a process that is stopped in between is killed at the end of the
// permission and never writes. The wait for a socket that is full is not
// covered, so a slow endpoint cannot trip the watchdog.
func (c *conn) writeWatched(s *sending, p []byte) (int, error) {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0, err
	}
	n := 0
	var failed error
	err = raw.Write(func(fd uintptr) bool {
		for n < len(p) && failed == nil {
			var m int
			m, failed = s.writePart(int(fd), p[n:])
			if errors.Is(failed, unix.EAGAIN) {
				failed = nil
				return false
			}
			if errors.Is(failed, unix.EINTR) {
				failed = nil
			}
			n += max(m, 0)
		}
		return true
	})
	if failed != nil {
		err = failed
	}
	return n, err
}

func (s *sending) writePart(fd int, p []byte) (int, error) {
	now := sqclock.Now()
	until, err := s.check(now)
	if err != nil {
		return 0, err
	}
	if err := boundDelivery(fd, until.Sub(now)); err != nil {
		return 0, err
	}
	if sqpoint.Disabled(sqpoint.Watchdog) {
		sqpoint.StopIfRequested(sqpoint.CallWriteChecked)
		return unix.Write(fd, p)
	}
	w, err := sqguard.ArmWatchdog(until)
	if err != nil {
		return 0, err
	}
	defer w.Disarm()
	sqpoint.StopIfRequested(sqpoint.CallWriteChecked)
	return unix.Write(fd, p)
}

// boundDelivery has the kernel give the connection up when the other side has
// not acknowledged its bytes within left. Without it the kernel goes on sending
// for a quarter of an hour, and a link that heals would deliver an old request.
func boundDelivery(fd int, left time.Duration) error {
	return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(max(1, left.Milliseconds())))
}
