package sqguard

import (
	"time"
	"unsafe"

	"golang.org/x/sys/unix"

	"sequoiadock/core/sqerror"
)

// A Watchdog is a kernel timer that kills this process at a given time.
//
// A process that is stopped between the lease check and the write system call
// would send its order whenever it is continued, possibly long after another
// process has taken over. No check inside the process can prevent that, because
// the process does not run. The kernel timer keeps running, and SIGKILL ends a
// stopped process before it executes another instruction. The cost is three system
// calls for each protected write, and the loss of a process that froze between the
// check and the write; it restarts without the lease.
type Watchdog struct {
	id int32
}

// sigevent is struct sigevent of the kernel's ABI on 64-bit Linux.
type sigevent struct {
	value  uint64
	signo  int32
	notify int32
	pad    [48]byte
}

// itimerspec is struct itimerspec of the kernel's ABI on 64-bit Linux.
type itimerspec struct {
	interval unix.Timespec
	value    unix.Timespec
}

const (
	sigevSignal  = 0
	timerAbstime = 1
)

// ArmWatchdog starts a watchdog that kills the process at deadline, on the clock
// of sqclock. A deadline in the past kills the process at once. The error is of
// kind LeaseLost.
func ArmWatchdog(deadline time.Time) (*Watchdog, error) {
	ev := sigevent{signo: int32(unix.SIGKILL), notify: sigevSignal}
	w := &Watchdog{}
	_, _, errno := unix.Syscall(unix.SYS_TIMER_CREATE, unix.CLOCK_BOOTTIME,
		uintptr(unsafe.Pointer(&ev)), uintptr(unsafe.Pointer(&w.id)))
	if errno != 0 {
		return nil, timerError(errno)
	}
	spec := itimerspec{value: unix.NsecToTimespec(deadline.UnixNano())}
	_, _, errno = unix.Syscall6(unix.SYS_TIMER_SETTIME, uintptr(w.id), timerAbstime,
		uintptr(unsafe.Pointer(&spec)), 0, 0, 0)
	if errno != 0 {
		w.Disarm()
		return nil, timerError(errno)
	}
	return w, nil
}

// Disarm deletes the timer.
func (w *Watchdog) Disarm() {
	_, _, _ = unix.Syscall(unix.SYS_TIMER_DELETE, uintptr(w.id), 0, 0)
}

func timerError(cause error) error {
	return sqerror.New(sqerror.Config{
		Kind:   sqerror.LeaseLost,
		Detail: "the kernel gave no timer, so nothing can be sent safely",
		Cause:  cause,
	})
}
