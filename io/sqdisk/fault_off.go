//go:build !sqfault

package sqdisk

// faultSync makes Sync do nothing; only builds with the tag sqfault can set it.
const faultSync = false
