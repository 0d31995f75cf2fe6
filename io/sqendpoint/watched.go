package sqendpoint

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"

	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqguard"
	"sequoiadock/io/sqpoint"
)

// writeWithWatchdog writes p in parts that the socket accepts without blocking.
// The write check runs before each part, and a watchdog is armed from the check to
// the end of the system call: a process that is stopped in between is killed at
// the end of the permission and never writes. No watchdog is armed during the wait
// for a full socket buffer, so a slow endpoint cannot trigger it.
func (c *conn) writeWithWatchdog(s *writeTracker, p []byte) (int, error) {
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	n := 0
	var writeErr error
	err = raw.Write(func(fd uintptr) bool {
		for n < len(p) && writeErr == nil {
			var m int
			m, writeErr = s.writeAvailable(int(fd), p[n:])
			if errors.Is(writeErr, unix.EAGAIN) {
				writeErr = nil
				return false
			}
			if errors.Is(writeErr, unix.EINTR) {
				writeErr = nil
			}
			n += max(m, 0)
		}
		return true
	})
	if writeErr != nil {
		err = writeErr
	}
	return n, err
}

func (s *writeTracker) writeAvailable(fd int, p []byte) (int, error) {
	now := sqclock.Now()
	until, err := s.runCheck(now)
	if err != nil {
		return 0, err
	}
	if err := setDeliveryTimeout(fd, until.Sub(now)); err != nil {
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

// setDeliveryTimeout makes the kernel drop the connection if the peer has not
// acknowledged the sent bytes within timeout. Without it the kernel retransmits
// for a quarter of an hour, and a link that recovers would deliver an old request.
func setDeliveryTimeout(fd int, timeout time.Duration) error {
	return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(max(1, timeout.Milliseconds())))
}
