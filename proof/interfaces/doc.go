// Package interfaces runs the examples of docs/INTERFACES.md against real
// processes.
package interfaces
