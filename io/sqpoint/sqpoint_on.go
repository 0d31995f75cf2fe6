//go:build sqfault

package sqpoint

import (
	"os"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Environment variables of test builds.
const (
	// stopFileVariable names a file that holds the point to stop at. The file
	// is removed when the process stops itself, so that it stops once.
	stopFileVariable = "SEQUOIADOCK_STOP_FILE"
	// offVariable lists protections that are off, separated by commas.
	offVariable = "SEQUOIADOCK_OFF"
)

// stopDelay is how long a stop takes at most to reach every thread.
const stopDelay = 100 * time.Millisecond

// StopIfRequested stops the process if the stop file names p.
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
		// The signal may stop another thread first, and this one would run past the
		// marked place before it is stopped too.
		time.Sleep(stopDelay)
	}
}

// Disabled returns whether a proof switched p off.
func Disabled(p Protection) bool {
	for _, name := range strings.Split(os.Getenv(offVariable), ",") {
		if name == string(p) {
			return true
		}
	}
	return false
}
