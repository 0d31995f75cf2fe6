// Package operator tests the operators' commands against real processes.
package operator
