// Package sqframe cuts a stream of server-sent events into whole events, so that
// a stream that breaks off in the middle of one can go on with the next.
package sqframe

import (
	"bytes"
	"strconv"
)

// MaxEventBytes is the longest event in bytes.
const MaxEventBytes = 1 << 20

// Framer collects bytes. The zero value is empty; it is not safe for concurrent
// use.
type Framer struct {
	buf []byte
	// last is the identity of the newest whole event, or "".
	last string
	// fault is set once an event did not follow the one before.
	fault bool
}

// ResumeAfter makes the framer expect events after the one with the identity.
func (f *Framer) ResumeAfter(last string) {
	f.buf, f.last = f.buf[:0], last
}

// Push adds bytes and returns all whole events that are complete now, as they
// came. The result is valid until the next call.
func (f *Framer) Push(b []byte) []byte {
	f.buf = append(f.buf, b...)
	end := 0
	for {
		n := eventLength(f.buf[end:])
		if n == 0 {
			break
		}
		if !f.accept(f.buf[end : end+n]) {
			f.fault = true
			break
		}
		end += n
	}
	whole := bytes.Clone(f.buf[:end])
	f.buf = append(f.buf[:0], f.buf[end:]...)
	return whole
}

// Invalid reports whether the stream holds an event that is too long or does not
// follow the one before.
func (f *Framer) Invalid() bool { return f.fault || len(f.buf) > MaxEventBytes }

// LastID returns the identity of the newest whole event, or "".
func (f *Framer) LastID() string { return f.last }

// Buffered returns the bytes after the last whole event.
func (f *Framer) Buffered() []byte { return f.buf }

// accept takes an event whose identity is a higher number than the last one's,
// or is no number.
func (f *Framer) accept(event []byte) bool {
	id := identity(event)
	if id == "" {
		return true
	}
	number, err := strconv.ParseUint(id, 10, 64)
	before, errBefore := strconv.ParseUint(f.last, 10, 64)
	if err == nil && errBefore == nil && number <= before {
		return false
	}
	f.last = id
	return true
}

// eventLength returns the length of the first event with its blank line, or 0 if
// it is not complete.
func eventLength(b []byte) int {
	end := 0
	for {
		i := bytes.IndexByte(b[end:], '\n')
		if i < 0 {
			return 0
		}
		line := bytes.TrimSuffix(b[end:end+i], []byte("\r"))
		end += i + 1
		if len(line) == 0 {
			return end
		}
	}
}

// identity returns the value of an event's id field, or "".
func identity(event []byte) string {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(rest))
		}
	}
	return ""
}
