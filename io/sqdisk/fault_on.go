//go:build sqfault

package sqdisk

var faultSync bool

// SetFaults enables the named faults and disables all others. The fault "sync"
// skips every sync of a file. Call it before any Disk is opened.
func SetFaults(names ...string) {
	faultSync = false
	for _, name := range names {
		faultSync = faultSync || name == "sync"
	}
}
