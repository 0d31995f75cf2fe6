// Package proof holds the tests that run real processes.
package proof
