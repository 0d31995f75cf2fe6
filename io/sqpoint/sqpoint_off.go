//go:build !sqfault

package sqpoint

// StopIfRequested does nothing in normal builds.
func StopIfRequested(Point) {}

// Disabled returns false in normal builds.
func Disabled(Protection) bool { return false }
