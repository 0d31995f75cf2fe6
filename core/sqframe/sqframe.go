// Package sqframe splits a stream of server-sent events into complete events, so
// that a stream that breaks off in the middle of an event can be resumed after the
// last complete one.
package sqframe

import (
	"bytes"
	"strconv"
)

// MaxEventBytes is the size of the longest event that is accepted.
const MaxEventBytes = 256 << 10

// Framer buffers the bytes of one event stream. The zero value is an empty buffer.
// A Framer is not safe for concurrent use.
type Framer struct {
	buf []byte
	// The buffer was searched for the end of an event up to searched, within a line that
	// begins at lineStart.
	lineStart, searched int
	// lastID is the ID of the last complete event that has one, or "".
	lastID string
	// invalid is true once an event was out of order or had no ID.
	invalid bool
	// hasEvent is true once an event was complete.
	hasEvent bool
}

// ResumeAfter empties the buffer and makes the framer expect events after the one
// with the ID lastID.
func (f *Framer) ResumeAfter(lastID string) {
	f.buf, f.lastID = f.buf[:0], lastID
	f.lineStart, f.searched = 0, 0
}

// Push adds bytes to the buffer, removes the events that are now complete and
// returns them unchanged. The result is valid until the next call.
func (f *Framer) Push(b []byte) []byte {
	f.buf = append(f.buf, b...)
	end := 0
	for {
		next := f.nextEvent()
		if next == 0 {
			break
		}
		if !f.accept(f.buf[end:next]) {
			f.invalid = true
			break
		}
		end = next
		f.hasEvent = true
	}
	if end == 0 {
		return nil
	}
	complete := bytes.Clone(f.buf[:end])
	f.buf = append(f.buf[:0], f.buf[end:]...)
	f.lineStart, f.searched = f.lineStart-end, f.searched-end
	return complete
}

// Invalid reports whether the stream contained an event that is too long, out of order or
// without an ID.
func (f *Framer) Invalid() bool { return f.invalid || len(f.buf) > MaxEventBytes }

// LastID returns the ID of the last complete event that has one, or "".
func (f *Framer) LastID() string { return f.lastID }

// HeldBytes returns how much memory the framer holds.
func (f *Framer) HeldBytes() int { return cap(f.buf) }

// Buffered returns the bytes after the last complete event.
func (f *Framer) Buffered() []byte { return f.buf }

// CompleteAtEnd reports whether a stream that ends after the bytes pushed so far is
// complete. No stream ends inside an event. EndMarked tells whether the transport
// marks the end, as a length or a last chunk does; otherwise a stream without any
// event has broken off before its first one.
func (f *Framer) CompleteAtEnd(endMarked bool) bool {
	return len(f.buf) == 0 && !f.invalid && (endMarked || f.hasEvent)
}

// accept records the event's ID and returns true, unless the event is out of order (both
// its ID and the last one are numbers, and its ID is not higher) or has no ID. Text without
// one that is not a comment is no event but, for example, an error in place of one.
func (f *Framer) accept(event []byte) bool {
	id := eventID(event)
	if id == "" {
		return isComment(event)
	}
	number, err := strconv.ParseUint(id, 10, 64)
	lastNumber, lastErr := strconv.ParseUint(f.lastID, 10, 64)
	if err == nil && lastErr == nil && number <= lastNumber {
		return false
	}
	f.lastID = id
	return true
}

// nextEvent goes on with the search for the end of an event, which is a blank line, and
// returns the position after it, or 0 if there is none yet.
func (f *Framer) nextEvent() int {
	for {
		i := bytes.IndexByte(f.buf[f.searched:], '\n')
		if i < 0 {
			f.searched = len(f.buf)
			return 0
		}
		line := bytes.TrimSuffix(f.buf[f.lineStart:f.searched+i], []byte("\r"))
		f.searched += i + 1
		f.lineStart = f.searched
		if len(line) == 0 {
			return f.lineStart
		}
	}
}

// isComment reports whether all lines are comments or blank, as those that keep a
// connection open.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if text := bytes.TrimSpace(line); len(text) > 0 && text[0] != ':' {
			return false
		}
	}
	return true
}

// eventID returns the value of the event's id field, or "" if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(rest))
		}
	}
	return ""
}
