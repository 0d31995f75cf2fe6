// Package sqtoml decodes TOML strictly and reports all errors of a file at once,
// each with its line, its column and what to write instead. It also returns the
// position of a decoded value, so that later checks can report errors at it.
package sqtoml

import (
	"bytes"
	"errors"
	"reflect"
	"sort"
	"strconv"
	"strings"

	toml "github.com/pelletier/go-toml/v2"

	"sequoiadock/core/sqerror"
)

const (
	// maxFileBytes is the size of the largest file that is decoded.
	maxFileBytes = 1 << 20
	// maxErrors is the maximum number of errors that Decode reports for one file.
	maxErrors = 100
)

// Document is a decoded file with the position of each value.
type Document struct {
	file  string
	index index
	// removedLines holds the numbers of the lines that were not decoded.
	removedLines map[int]bool
	// wrongTypes holds the positions of the values that were not decoded
	// because they have the wrong type.
	wrongTypes map[position]bool
	// incomplete is true if an error prevents any further check of the file.
	incomplete bool
}

// Decode decodes the TOML in data into the struct that v points to. Names must
// match the "toml" tags exactly, including case. Decode returns the document and
// its errors in file order, including those after a syntax error, but at most
// maxErrors.
func Decode(file string, data []byte, v any) (*Document, []*sqerror.Error) {
	d := &Document{file: file, removedLines: map[int]bool{}, wrongTypes: map[position]bool{}}
	if len(data) > maxFileBytes {
		d.incomplete = true
		return d, []*sqerror.Error{d.newError(position{}, "the file has more than "+strconv.Itoa(maxFileBytes)+" bytes", "split it")}
	}
	t := reflect.TypeOf(v).Elem()
	data, syntaxErrs := repair(bytes.Clone(data))
	d.index = newIndex(data, syntaxErrs)
	errs := d.checkNames(t)
	hasUnknownNames := len(errs) > 0
	errs = append(errs, d.convertSyntaxErrors(syntaxErrs)...)
	errs = append(errs, d.checkTypes(data, t)...)
	errs = append(errs, d.decode(data, v, t, hasUnknownNames)...)
	SortErrors(errs)
	if len(errs) > maxErrors {
		errs = errs[:maxErrors]
	}
	return d, errs
}

func (d *Document) convertSyntaxErrors(syntaxErrs []syntaxError) []*sqerror.Error {
	var errs []*sqerror.Error
	for _, s := range syntaxErrs {
		errs = append(errs, d.newError(s.pos, s.message, "correct the TOML syntax"))
		for line := s.firstRemoved; line <= s.lastRemoved; line++ {
			d.removedLines[line] = true
		}
	}
	return errs
}

// decode decodes data into v with the TOML library, which stops at the first
// error. After each error it removes the failed expression from data and decodes
// again.
func (d *Document) decode(data []byte, v any, t reflect.Type, unknownNamesReported bool) []*sqerror.Error {
	var errs []*sqerror.Error
	for len(errs) < maxErrors {
		reflect.ValueOf(v).Elem().SetZero()
		err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(v)
		if err == nil {
			return errs
		}
		var strictErr *toml.StrictMissingError
		if errors.As(err, &strictErr) {
			if !unknownNamesReported {
				errs = append(errs, d.convertStrictError(strictErr)...)
			}
			return errs
		}
		var decodeErr *toml.DecodeError
		if !errors.As(err, &decodeErr) {
			return append(errs, d.newError(position{line: 1}, err.Error(), ""))
		}
		line, column := decodeErr.Position()
		pos := position{line: line, column: column}
		if !d.wrongTypes[pos] {
			errs = append(errs, d.convertDecodeError(decodeErr, pos, t))
		}
		if d.index.hasSyntaxError || !d.removeExpression(data, pos) {
			d.incomplete = true
			return errs
		}
	}
	return errs
}

// removeExpression overwrites the expression at pos with spaces. It returns false
// if there is no expression at pos or it was already blank.
func (d *Document) removeExpression(data []byte, pos position) bool {
	s, ok := d.index.spanAt(data, pos)
	if !ok || !blankOut(data[s.start:s.end]) {
		return false
	}
	line := 1 + bytes.Count(data[:s.start], []byte{'\n'})
	last := line + bytes.Count(data[s.start:s.end], []byte{'\n'})
	for ; line <= last; line++ {
		d.removedLines[line] = true
	}
	if s.isTable && s.end < len(data) {
		// The span ends at the start of the line on which the next table begins.
		delete(d.removedLines, last)
	}
	return true
}

// convertStrictError returns an error for each unknown name that the TOML library
// found.
func (d *Document) convertStrictError(err *toml.StrictMissingError) []*sqerror.Error {
	var errs []*sqerror.Error
	for i := range err.Errors {
		e := &err.Errors[i]
		line, column := e.Position()
		pos := position{line: line, column: column}
		errs = append(errs, d.newError(pos, "unknown name "+strconv.Quote(strings.Join(e.Key(), ".")), "remove it"))
	}
	return errs
}

// Has reports whether the file has a value for path, such as "teams.0.share",
// even one that could not be decoded.
func (d *Document) Has(path string) bool {
	_, ok := d.index.elements[path]
	return ok
}

// Position returns the position of path. If the file has no such path, Position returns
// the position of the innermost table on the path that the file has.
func (d *Document) Position(path string) sqerror.Position {
	return d.place(d.index.nearestPosition(path))
}

// undecoded reports whether the value at pos was not decoded.
func (d *Document) undecoded(pos position) bool { return d.removedLines[pos.line] || d.wrongTypes[pos] }

// ErrorAt returns an error with the position of path, as returned by Position.
func (d *Document) ErrorAt(path, detail, advice string) *sqerror.Error {
	return d.newError(d.index.nearestPosition(path), detail, advice)
}

func (d *Document) place(pos position) sqerror.Position {
	return sqerror.Position{File: d.file, Line: pos.line, Column: pos.column}
}

func (d *Document) newError(pos position, detail, advice string) *sqerror.Error {
	return sqerror.New(sqerror.Config{Kind: sqerror.BadSetting, Position: d.place(pos), Detail: detail, Advice: advice})
}

// SortErrors sorts errors by file, line and column.
func SortErrors(errs []*sqerror.Error) {
	sort.SliceStable(errs, func(i, j int) bool {
		a, b := errs[i].Position(), errs[j].Position()
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
}

// MergeErrors returns the errors of the decoding and of later checks in file
// order. It leaves out check errors about values that were not decoded, so that an
// invalid value is not also reported as missing.
func (d *Document) MergeErrors(decodeErrs, checkErrs []*sqerror.Error) []*sqerror.Error {
	if d.incomplete {
		return decodeErrs
	}
	all := append([]*sqerror.Error{}, decodeErrs...)
	for _, e := range checkErrs {
		p := e.Position()
		if p.File != d.file || !d.undecoded(position{line: p.Line, column: p.Column}) {
			all = append(all, e)
		}
	}
	SortErrors(all)
	return all
}
