//go:build sqfault

package sqpoint

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Environment variables read by builds with the tag sqfault.
const (
	// stopFileVariable names a file that contains the failpoint to stop at. The
	// process removes the file before it stops itself, so that it stops only once.
	stopFileVariable = "SEQUOIADOCK_STOP_FILE"
	// offVariable lists the disabled protections, separated by commas.
	offVariable = "SEQUOIADOCK_OFF"
)

// stopDelay bounds the time that SIGSTOP takes to reach every thread.
const stopDelay = 100 * time.Millisecond

// StopIfRequested stops the process with SIGSTOP if the stop file names p.
func StopIfRequested(p Point) {
	name := os.Getenv(stopFileVariable)
	if name == "" {
		return
	}
	b, err := os.ReadFile(name)
	if err != nil || strings.TrimSpace(string(b)) != string(p) {
		return
	}
	if os.Remove(name) == nil {
		_ = unix.Kill(os.Getpid(), unix.SIGSTOP)
		// The signal may stop another thread first. Without the sleep, this thread could
		// run past the failpoint before it is stopped too.
		time.Sleep(stopDelay)
	}
}

// Disabled reports whether a test has disabled p.
func Disabled(p Protection) bool {
	for _, name := range strings.Split(os.Getenv(offVariable), ",") {
		if name == string(p) {
			return true
		}
	}
	return false
}
