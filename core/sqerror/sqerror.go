// Package sqerror defines the numbered kinds of failure and the error type that
// carries them. No part of the system returns an error that is only a string.
package sqerror

import (
	"strconv"
	"strings"
	"time"
)

// Execution states whether a failed request may have been executed.
type Execution int

const (
	// ExecutionNone is the value for failures that do not concern a request.
	ExecutionNone Execution = iota
	// NotRun is used only if no byte of the request reached an endpoint, or the
	// endpoint itself proved that it did not start the request.
	NotRun
	// MayHaveRun is used if the outcome of the request is unknown.
	MayHaveRun
)

// String returns the name that responses to callers carry, or "".
func (r Execution) String() string {
	switch r {
	case NotRun:
		return "notRun"
	case MayHaveRun:
		return "mayHaveRun"
	default:
		return ""
	}
}

// Position is the location of a failure in a file.
type Position struct {
	// File is the path as the operator gave it.
	File string
	// Line counts from 1; 0 means the whole file.
	Line int
	// Column counts from 1; 0 means the whole line.
	Column int
	// Offset is a byte position in a binary file, used when Line is 0.
	Offset int64
}

// String returns "file:line:column" or "file at byte offset", with the parts that
// are known.
func (p Position) String() string {
	s := p.File
	if p.Line > 0 {
		s += ":" + strconv.Itoa(p.Line)
		if p.Column > 0 {
			s += ":" + strconv.Itoa(p.Column)
		}
		return s
	}
	if p.Offset > 0 {
		s += " at byte " + strconv.FormatInt(p.Offset, 10)
	}
	return s
}

// Config holds the fields of an Error. All fields except Kind are optional.
type Config struct {
	Kind   Kind
	Detail string
	// Advice says what the reader should do or write instead.
	Advice    string
	Position  Position
	Execution Execution
	// RetryAfter is how long to wait before the next try; 0 means never.
	RetryAfter time.Duration
	// RedirectAddress is the address of another process that can answer the request.
	RedirectAddress string
	Cause           error
}

// Error is a failure of a known kind.
type Error struct {
	cfg Config
}

// New returns the error that cfg describes.
func New(cfg Config) *Error {
	return &Error{cfg: cfg}
}

// Kind returns the numbered kind of the failure.
func (e *Error) Kind() Kind { return e.cfg.Kind }

// Detail returns what happened, without secrets.
func (e *Error) Detail() string { return e.cfg.Detail }

// Advice returns what the reader should do or write instead, or "".
func (e *Error) Advice() string { return e.cfg.Advice }

// Position returns the position in a file; its File is "" if the failure has none.
func (e *Error) Position() Position { return e.cfg.Position }

// Execution returns whether the failed request may have been executed.
func (e *Error) Execution() Execution { return e.cfg.Execution }

// RetryAfter returns how long to wait before the next try; 0 means never.
func (e *Error) RetryAfter() time.Duration { return e.cfg.RetryAfter }

// RedirectAddress returns the address of another process that can answer the
// request, or "".
func (e *Error) RedirectAddress() string { return e.cfg.RedirectAddress }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.cfg.Cause }

// Error returns the position, the kind, the detail, the cause and the advice.
func (e *Error) Error() string {
	var b strings.Builder
	if e.cfg.Position.File != "" {
		b.WriteString(e.cfg.Position.String())
		b.WriteString(": ")
	}
	b.WriteString(e.cfg.Kind.String())
	if e.cfg.Detail != "" {
		b.WriteString(": ")
		b.WriteString(e.cfg.Detail)
	}
	if e.cfg.Cause != nil {
		b.WriteString(": ")
		b.WriteString(e.cfg.Cause.Error())
	}
	if e.cfg.Advice != "" {
		b.WriteString(" (")
		b.WriteString(e.cfg.Advice)
		b.WriteString(")")
	}
	return b.String()
}
