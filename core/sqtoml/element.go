package sqtoml

import (
	"reflect"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"sequoiadock/core/sqerror"
)

// checkTypes returns an error for each scalar of the wrong type. In data it
// replaces the scalar with an empty value of the right type, so that the TOML
// library still decodes the values next to it. If the scalar is too short to be
// replaced, the library reports it again and decode drops that second error.
func (d *Document) checkTypes(data []byte, t reflect.Type) []*sqerror.Error {
	var errs []*sqerror.Error
	for _, path := range d.index.paths {
		e := d.index.elements[path]
		wantType, ok := typeAt(t, path)
		if !ok || e.length == 0 || canStore(e.kind, wantType) {
			continue
		}
		detail := " has the wrong type"
		if _, name := splitPath(path); isArrayIndex(name) {
			detail = " holds a value of the wrong type"
		}
		pos := d.index.positionAt(e.offset)
		d.wrongTypes[pos] = true
		d.wrongTypes[e.pos] = true
		errs = append(errs, d.newError(pos, strconv.Quote(withoutIndexes(path))+detail, "write "+describeType(wantType)))
		replaceValue(data, e, placeholderValue(wantType))
	}
	return errs
}

func isArrayIndex(s string) bool {
	_, err := strconv.Atoi(s)
	return err == nil
}

// canStore reports whether a TOML scalar of a kind can be decoded into the type t.
func canStore(kind unstable.Kind, t reflect.Type) bool {
	switch kind {
	case unstable.String:
		return t.Kind() == reflect.String
	case unstable.Bool:
		return t.Kind() == reflect.Bool
	case unstable.Float:
		return t.Kind() == reflect.Float64
	case unstable.Integer:
		return t.Kind() == reflect.Float64 || t.Kind() >= reflect.Int && t.Kind() <= reflect.Uint64
	}
	return false
}

// withoutIndexes returns path without its array indexes.
func withoutIndexes(path string) string {
	var parts []string
	for part := range strings.SplitSeq(path, ".") {
		if !isArrayIndex(part) {
			parts = append(parts, part)
		}
	}
	return strings.Join(parts, ".")
}

func placeholderValue(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return `""`
	case reflect.Slice:
		return "[]"
	case reflect.Struct:
		return "{}"
	case reflect.Bool:
		return "true"
	}
	return "0"
}

// replaceValue overwrites a scalar with value, so that all other positions in data
// stay the same. It may also overwrite one space before the scalar. It changes
// nothing if value does not fit.
func replaceValue(data []byte, e element, value string) {
	start, end := e.offset, e.offset+e.length
	if len(value) > e.length && start > 0 && data[start-1] == ' ' {
		start--
	}
	if len(value) > end-start {
		return
	}
	blankOut(data[start:end])
	copy(data[start:], value)
}
