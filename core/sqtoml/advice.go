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

// maxSlips is how many wrong letters still make a name a likely slip.
const maxSlips = 2

// unknownNames checks every name of the file against the struct type t. The
// library alone would take "Share" for "share" and [teams] for [[teams]].
func (d *Document) unknownNames(t reflect.Type) []*sqerror.Error {
	var faults []*sqerror.Error
	for _, path := range d.index.order {
		parent, name := split(path)
		pt, ok := typeAt(t, parent)
		if !ok {
			continue
		}
		e := d.index.elements[path]
		if pt.Kind() != reflect.Struct {
			continue
		}
		ft, ok := fieldType(pt, name)
		if _, err := strconv.Atoi(name); err == nil && !ok {
			// An element of a list where a table belongs: the library's fault.
			continue
		}
		if !ok {
			faults = append(faults, d.fault(e.at, "unknown name "+strconv.Quote(name), nameAdvice(pt, name)))
			continue
		}
		if e.kind == unstable.Table && ft.Kind() == reflect.Slice {
			faults = append(faults, d.fault(e.at, strconv.Quote(name)+" is a list of tables", "write [["+name+"]] before each"))
		}
	}
	return faults
}

// explain turns the library's message into one about the file.
func (d *Document) explain(err *toml.DecodeError, at position, t reflect.Type) *sqerror.Error {
	text := strings.TrimPrefix(err.Error(), "toml: ")
	name := strings.Join(err.Key(), ".")
	switch {
	case strings.Contains(text, "already"):
		return d.fault(at, strconv.Quote(name)+" is defined twice", "keep one definition")
	case strings.Contains(text, "cannot be stored"), strings.Contains(text, "out of range"):
		return d.fault(at, strconv.Quote(name)+" is out of range", "write "+wanted(leafType(t, err.Key())))
	case strings.HasPrefix(text, "cannot "):
		return d.fault(at, strconv.Quote(name)+" has the wrong type", "write "+wanted(leafType(t, err.Key())))
	}
	return d.fault(at, text, "correct the TOML syntax")
}

// typeAt follows path through the fields of t.
func typeAt(t reflect.Type, path string) (reflect.Type, bool) {
	if path == "" {
		return t, true
	}
	for part := range strings.SplitSeq(path, ".") {
		next, ok := step(t, part)
		if !ok {
			return nil, false
		}
		t = next
	}
	return t, true
}

func step(t reflect.Type, part string) (reflect.Type, bool) {
	switch t.Kind() {
	case reflect.Slice:
		if _, err := strconv.Atoi(part); err != nil {
			return nil, false
		}
		return t.Elem(), true
	case reflect.Struct:
		return fieldType(t, part)
	}
	return nil, false
}

// leafType follows keys that leave out the numbers of array elements.
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

// wanted says what a value of type t looks like.
func wanted(t reflect.Type) string {
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
		return "a list in square brackets; each element: " + wanted(t.Elem())
	case reflect.Struct:
		return "a table: [name] on a line of its own, then its names: " + strings.Join(names(t), ", ")
	}
	return "another value"
}

func names(t reflect.Type) []string {
	var all []string
	for i := range t.NumField() {
		if tag := t.Field(i).Tag.Get("toml"); tag != "" {
			all = append(all, tag)
		}
	}
	return all
}

func nameAdvice(t reflect.Type, name string) string {
	if near := ClosestMatch(name, names(t)); near != "" {
		return "write " + strconv.Quote(near)
	}
	return "names here: " + strings.Join(names(t), ", ")
}

// ClosestMatch returns the known word that name is most likely a slip of, or "".
func ClosestMatch(name string, known []string) string {
	best, bestSlips := "", maxSlips+1
	for _, k := range known {
		n := slips(strings.ToLower(name), strings.ToLower(k))
		if n < bestSlips {
			best, bestSlips = k, n
		}
	}
	return best
}

// slips is the number of letters to add, drop or change to get from a to b.
func slips(a, b string) int {
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

func split(path string) (string, string) {
	cut := strings.LastIndexByte(path, '.')
	if cut < 0 {
		return "", path
	}
	return path[:cut], path[cut+1:]
}
