// Package sqio is the root of the packages that do I/O.
package sqio
