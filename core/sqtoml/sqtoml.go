// Package sqtoml decodes TOML strictly and reports every fault of a file in one
// go, each with its line, its column and what to write instead. It also finds
// the place of a value that decoded well but does not make sense.
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
	// maxFileBytes bounds the files that are read.
	maxFileBytes = 1 << 20
	// maxFaults bounds the faults that are reported of one file.
	maxFaults = 100
)

// Document is a decoded file that knows where each value stands.
type Document struct {
	file  string
	index index
	// blanked holds the lines that took no part in the decoding, broken the
	// values.
	blanked map[int]bool
	broken  map[position]bool
	// cut is true after faults beyond which nothing can be judged.
	cut bool
}

// Decode decodes the TOML in data into the struct that v points to. Names are
// those of the "toml" tags, exactly. It returns the document and every fault in
// file order, also those after a syntax error.
func Decode(file string, data []byte, v any) (*Document, []*sqerror.Error) {
	d := &Document{file: file, blanked: map[int]bool{}, broken: map[position]bool{}}
	if len(data) > maxFileBytes {
		d.cut = true
		return d, []*sqerror.Error{d.fault(position{}, "the file has more than "+strconv.Itoa(maxFileBytes)+" bytes", "split it")}
	}
	t := reflect.TypeOf(v).Elem()
	data, slips := repair(bytes.Clone(data))
	d.index = newIndex(data, slips)
	faults := d.unknownNames(t)
	unknown := len(faults) > 0
	faults = append(faults, d.syntaxFaults(slips)...)
	faults = append(faults, d.wrongTypes(data, t)...)
	faults = append(faults, d.decode(data, v, t, unknown)...)
	SortErrors(faults)
	if len(faults) > maxFaults {
		faults = faults[:maxFaults]
	}
	return d, faults
}

func (d *Document) syntaxFaults(slips []slip) []*sqerror.Error {
	var faults []*sqerror.Error
	for _, s := range slips {
		faults = append(faults, d.fault(s.at, s.message, "correct the TOML syntax"))
		for line := s.first; line <= s.last; line++ {
			d.blanked[line] = true
		}
	}
	return faults
}

// decode lets the library judge the file again and again, each time without
// the expression that failed last, because the library stops at the first.
func (d *Document) decode(data []byte, v any, t reflect.Type, namesReported bool) []*sqerror.Error {
	var faults []*sqerror.Error
	for len(faults) < maxFaults {
		reflect.ValueOf(v).Elem().SetZero()
		err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(v)
		if err == nil {
			return faults
		}
		var missing *toml.StrictMissingError
		if errors.As(err, &missing) {
			if !namesReported {
				faults = append(faults, d.missing(missing)...)
			}
			return faults
		}
		var de *toml.DecodeError
		if !errors.As(err, &de) {
			return append(faults, d.fault(position{line: 1}, err.Error(), ""))
		}
		row, column := de.Position()
		at := position{line: row, column: column}
		if !d.broken[at] {
			faults = append(faults, d.explain(de, at, t))
		}
		if d.index.syntax || !d.blank(data, at) {
			d.cut = true
			return faults
		}
	}
	return faults
}

// blank takes the failed expression out of data.
func (d *Document) blank(data []byte, at position) bool {
	s, ok := d.index.spanAt(data, at)
	if !ok || !fill(data[s.start:s.end]) {
		return false
	}
	line := 1 + bytes.Count(data[:s.start], []byte{'\n'})
	last := line + bytes.Count(data[s.start:s.end], []byte{'\n'})
	for ; line <= last; line++ {
		d.blanked[line] = true
	}
	if s.header && s.end < len(data) {
		// The span ends where the next table begins.
		delete(d.blanked, last)
	}
	return true
}

// missing turns the library's unknown names into faults.
func (d *Document) missing(err *toml.StrictMissingError) []*sqerror.Error {
	var faults []*sqerror.Error
	for i := range err.Errors {
		e := &err.Errors[i]
		row, column := e.Position()
		at := position{line: row, column: column}
		faults = append(faults, d.fault(at, "unknown name "+strconv.Quote(strings.Join(e.Key(), ".")), "remove it"))
	}
	return faults
}

// Has reports whether the file gives a value for path, such as
// "teams.0.share", even one that failed to decode.
func (d *Document) Has(path string) bool {
	_, ok := d.index.elements[path]
	return ok
}

// Place returns the place of path, or of the nearest table that would hold it.
func (d *Document) Place(path string) sqerror.Place {
	return d.place(d.index.nearest(path))
}

// undecoded reports whether what stands at a place took no part in the decoding.
func (d *Document) undecoded(at position) bool { return d.blanked[at.line] || d.broken[at] }

// ErrorAt returns the fault of the value at path.
func (d *Document) ErrorAt(path, detail, advice string) *sqerror.Error {
	return d.fault(d.index.nearest(path), detail, advice)
}

func (d *Document) place(at position) sqerror.Place {
	return sqerror.Place{File: d.file, Line: at.line, Column: at.column}
}

func (d *Document) fault(at position, detail, advice string) *sqerror.Error {
	return sqerror.New(sqerror.Config{Kind: sqerror.BadSetting, Place: d.place(at), Detail: detail, Advice: advice})
}

// SortErrors puts faults into the order of their files, lines and columns.
func SortErrors(faults []*sqerror.Error) {
	sort.SliceStable(faults, func(i, j int) bool {
		a, b := faults[i].Place(), faults[j].Place()
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
}

// MergeErrors adds the faults of a later check to those of the decoding, without the
// later ones on what did not decode, so that a broken value is not also reported as
// missing.
func (d *Document) MergeErrors(first, later []*sqerror.Error) []*sqerror.Error {
	if d.cut {
		return first
	}
	all := append([]*sqerror.Error{}, first...)
	for _, f := range later {
		p := f.Place()
		if p.File != d.file || !d.undecoded(position{line: p.Line, column: p.Column}) {
			all = append(all, f)
		}
	}
	SortErrors(all)
	return all
}
