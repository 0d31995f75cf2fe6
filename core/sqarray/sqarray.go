// Package sqarray splits the text of a JSON array into its elements, although some of them
// are no JSON: another writer's malformed elements must not hide the others.
package sqarray

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"

	"sequoiadock/core/sqerror"
)

const (
	// maxDepth is how deeply the values of an element may be nested.
	maxDepth = 16
	// maxScans limits the work on an array, as a multiple of its length. After a malformed
	// element, the scanner may see the rest of the array again.
	maxScans = 16
)

// Elements are the elements of an array.
type Elements struct {
	// Readable holds the elements that are JSON objects or other JSON values, in order.
	Readable [][]byte
	// Malformed is the number of other elements. It is an estimate if quotes or brackets
	// are missing.
	Malformed int
}

// Split splits the text between the brackets of an array. The elements share its memory. It
// returns a BadResponse error if there are so many malformed elements that the work on them
// would not be bounded.
func Split(text []byte) (Elements, error) {
	var e Elements
	scanned := 0
	for at := skipSeparators(text); at < len(text); at += skipSeparators(text[at:]) {
		v := scanValue(text[at:])
		if scanned += v.length; scanned > maxScans*len(text) {
			return Elements{}, sqerror.New(sqerror.Config{Kind: sqerror.BadResponse, Detail: "too many malformed elements"})
		}
		raw := text[at : at+v.length]
		switch {
		case v.isReadable(raw):
			e.Readable = append(e.Readable, raw)
			at += v.length
		case v.isDelimited(raw):
			e.Malformed++
			at += v.length
		default:
			e.Malformed++
			at += nextObject(text[at:])
		}
	}
	return e, nil
}

// scannedValue is the extent of a value in an array.
type scannedValue struct {
	length int
	// depth is how deeply the value is nested.
	depth int
	// balanced is true if all strings, objects and arrays end within the value.
	balanced bool
}

// scanValue finds the end of the value at the beginning of b: the comma after it, or the
// end of b. It looks at quotes and brackets only.
func scanValue(b []byte) scannedValue {
	v := scannedValue{length: len(b)}
	depth, inString := 0, false
	for i := 0; i < len(b); i++ {
		switch c := b[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '{' || c == '[':
			depth++
			v.depth = max(v.depth, depth)
		case c == '}' || c == ']':
			depth--
			if depth < 0 {
				return v
			}
		case c == ',' && depth == 0:
			v.length, v.balanced = i, true
			return v
		}
	}
	v.balanced = depth == 0 && !inString
	return v
}

// isReadable reports whether the value is JSON that may be decoded.
func (v scannedValue) isReadable(raw []byte) bool {
	return v.balanced && v.depth <= maxDepth && utf8.Valid(raw) && json.Valid(raw)
}

// isDelimited reports whether a value that cannot be read ends where the scanner found its
// end: it is nested too deeply, or only bytes in its strings are no JSON. In other malformed
// values a quote or a bracket may be missing.
func (v scannedValue) isDelimited(raw []byte) bool {
	if !v.balanced || v.depth > maxDepth {
		return v.balanced
	}
	return json.Valid(bytes.Map(func(r rune) rune {
		if r < ' ' {
			return ' '
		}
		return r
	}, raw))
}

// nextObject returns the position of the next object after a comma, or the length of b.
func nextObject(b []byte) int {
	for i := 1; i < len(b); i++ {
		if b[i] != ',' {
			continue
		}
		if next := i + 1 + skipSpace(b[i+1:]); next < len(b) && b[next] == '{' {
			return next
		}
	}
	return len(b)
}

func skipSpace(b []byte) int { return len(b) - len(bytes.TrimLeft(b, " \t\r\n")) }

func skipSeparators(b []byte) int { return len(b) - len(bytes.TrimLeft(b, ", \t\r\n")) }
