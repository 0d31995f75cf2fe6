package sqtoml

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"

	toml "github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"sequoiadock/core/sqerror"
)

// maxEditDistance is the largest edit distance at which an unknown name is taken
// for a typo of a known one.
const maxEditDistance = 2

// checkNames checks every name of the file against the struct type t, because the
// TOML library accepts "Share" for "share" and [teams] for [[teams]].
func (d *Document) checkNames(t reflect.Type) []*sqerror.Error {
	var errs []*sqerror.Error
	for _, path := range d.index.paths {
		parent, name := splitPath(path)
		parentType, ok := typeAt(t, parent)
		if !ok {
			continue
		}
		e := d.index.elements[path]
		if parentType.Kind() != reflect.Struct {
			continue
		}
		valueType, ok := fieldType(parentType, name)
		if _, err := strconv.Atoi(name); err == nil && !ok {
			// An array element where a table belongs: the TOML library reports it.
			continue
		}
		if !ok {
			errs = append(errs, d.newError(e.pos, "unknown name "+strconv.Quote(name), unknownNameAdvice(parentType, name)))
			continue
		}
		if e.kind == unstable.Table && valueType.Kind() == reflect.Slice {
			errs = append(errs, d.newError(e.pos, strconv.Quote(name)+" is a list of tables", "write [["+name+"]] before each"))
		}
	}
	return errs
}

// convertDecodeError converts an error of the TOML library, whose messages name Go
// types, to an error in the terms of the file.
func (d *Document) convertDecodeError(err *toml.DecodeError, pos position, t reflect.Type) *sqerror.Error {
	message := strings.TrimPrefix(err.Error(), "toml: ")
	name := strings.Join(err.Key(), ".")
	switch {
	case strings.Contains(message, "already"):
		return d.newError(pos, strconv.Quote(name)+" is defined twice", "keep one definition")
	case strings.Contains(message, "cannot be stored"), strings.Contains(message, "out of range"):
		return d.newError(pos, strconv.Quote(name)+" is out of range", "write "+describeType(leafType(t, err.Key())))
	case strings.HasPrefix(message, "cannot "):
		return d.newError(pos, strconv.Quote(name)+" has the wrong type", "write "+describeType(leafType(t, err.Key())))
	}
	return d.newError(pos, message, "correct the TOML syntax")
}

// typeAt returns the type of the value at path in t. It returns false if t has no
// such path.
func typeAt(t reflect.Type, path string) (reflect.Type, bool) {
	if path == "" {
		return t, true
	}
	for part := range strings.SplitSeq(path, ".") {
		next, ok := childType(t, part)
		if !ok {
			return nil, false
		}
		t = next
	}
	return t, true
}

func childType(t reflect.Type, key string) (reflect.Type, bool) {
	switch t.Kind() {
	case reflect.Slice:
		if _, err := strconv.Atoi(key); err != nil {
			return nil, false
		}
		return t.Elem(), true
	case reflect.Struct:
		return fieldType(t, key)
	}
	return nil, false
}

// leafType returns the type of the value at keys in t. Unlike the paths of typeAt,
// keys contain no array indexes.
func leafType(t reflect.Type, keys []string) reflect.Type {
	for _, k := range keys {
		for t.Kind() == reflect.Slice {
			t = t.Elem()
		}
		if t.Kind() != reflect.Struct {
			return t
		}
		next, ok := fieldType(t, k)
		if !ok {
			return t
		}
		t = next
	}
	return t
}

func fieldType(t reflect.Type, name string) (reflect.Type, bool) {
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Tag.Get("toml") != name {
			continue
		}
		ft := f.Type
		if ft.Kind() == reflect.Pointer {
			ft = ft.Elem()
		}
		return ft, true
	}
	return nil, false
}

// describeType describes how to write a value of type t.
func describeType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return `a string in quotes, such as "text"`
	case reflect.Bool:
		return "true or false, without quotes"
	case reflect.Int, reflect.Int64:
		return "a whole number without quotes"
	case reflect.Uint32, reflect.Uint64:
		return fmt.Sprintf("a whole number from 0 to %d, without quotes", uint64(1)<<(t.Bits()-1)-1+uint64(1)<<(t.Bits()-1))
	case reflect.Float64:
		return "a number without quotes, such as 99.5"
	case reflect.Slice:
		if t.Elem().Kind() == reflect.Struct {
			return "a list of tables, each after its own [[name]]"
		}
		return "a list in square brackets; each element: " + describeType(t.Elem())
	case reflect.Struct:
		return "a table: [name] on a line of its own, then its names: " + strings.Join(fieldNames(t), ", ")
	}
	return "another value"
}

func fieldNames(t reflect.Type) []string {
	var all []string
	for i := range t.NumField() {
		if tag := t.Field(i).Tag.Get("toml"); tag != "" {
			all = append(all, tag)
		}
	}
	return all
}

func unknownNameAdvice(t reflect.Type, name string) string {
	if closest := ClosestMatch(name, fieldNames(t)); closest != "" {
		return "write " + strconv.Quote(closest)
	}
	return "names here: " + strings.Join(fieldNames(t), ", ")
}

// ClosestMatch returns the known word of which name is most likely a typo, or "".
// It ignores case.
func ClosestMatch(name string, known []string) string {
	best, bestDistance := "", maxEditDistance+1
	for _, k := range known {
		distance := editDistance(strings.ToLower(name), strings.ToLower(k))
		if distance < bestDistance {
			best, bestDistance = k, distance
		}
	}
	return best
}

// editDistance returns the Levenshtein distance between a and b in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			diagonal, row[j+1] = row[j+1], min(row[j+1]+1, row[j]+1, diagonal+cost)
		}
	}
	return row[len(b)]
}

func splitPath(path string) (string, string) {
	lastDot := strings.LastIndexByte(path, '.')
	if lastDot < 0 {
		return "", path
	}
	return path[:lastDot], path[lastDot+1:]
}
