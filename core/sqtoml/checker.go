package sqtoml

import (
	"slices"
	"strconv"
	"strings"

	"sequoiadock/core/sqerror"
)

// maxNameBytes bounds names, because they stand in metrics, logs and records.
const maxNameBytes = 64

// Checker collects the faults of one file: first those of the decoding, then
// those that its methods find.
type Checker struct {
	doc      *Document
	decoding []*sqerror.Error
	later    []*sqerror.Error
}

// NewChecker decodes data strictly into the struct that v points to.
func NewChecker(file string, data []byte, v any) *Checker {
	doc, faults := Decode(file, data, v)
	return &Checker{doc: doc, decoding: faults}
}

// Has reports whether the file gives a value for path.
func (c *Checker) Has(path string) bool { return c.doc.Has(path) }

// Place returns the place of path, or of the nearest table that would hold it.
func (c *Checker) Place(path string) sqerror.Position { return c.doc.Place(path) }

// Undecoded reports whether path is given but could not be decoded.
func (c *Checker) Undecoded(path string) bool {
	return c.Has(path) && c.doc.undecoded(c.doc.index.nearest(path))
}

// Faults returns every fault that was found, in file order.
func (c *Checker) Faults() []*sqerror.Error { return c.doc.Merge(c.decoding, c.later) }

// Bad adds the fault of the value at path.
func (c *Checker) Bad(path, detail, advice string) {
	c.later = append(c.later, c.doc.Fault(path, detail, advice))
}

// Missing adds the fault of a value that has to be there; example is what to
// write.
func (c *Checker) Missing(path, example string) {
	table, name := split(path)
	advice := "write " + example
	if table != "" && !c.Has(table) && !strings.Contains(table, ".") {
		advice = "write [" + table + "] and below it " + example
	}
	c.Bad(path, name+" is missing", advice)
}

// Name checks a name that others refer to and reports whether it is one.
func (c *Checker) Name(path, value string) bool {
	_, name := split(path)
	if _, err := strconv.Atoi(name); value == "" && err != nil {
		c.Missing(path, name+` = "name"`)
		return false
	}
	if !IsName(value) {
		c.Bad(path, strconv.Quote(value)+" is no name", "write up to 64 letters, digits, -, _ and .")
		return false
	}
	return true
}

// Number checks a whole number.
func (c *Checker) Number(path string, value, least, most uint64) {
	if value >= least && value <= most {
		return
	}
	if !c.Has(path) {
		_, name := split(path)
		c.Missing(path, name+" = "+strconv.FormatUint(least, 10))
		return
	}
	c.Bad(path, strconv.FormatUint(value, 10)+" is out of range", "write "+strconv.FormatUint(least, 10)+" to "+strconv.FormatUint(most, 10))
}

// Choice checks one of several words and reports whether it is one.
func (c *Checker) Choice(path, value string, choices ...string) bool {
	if slices.Contains(choices, value) {
		return true
	}
	_, name := split(path)
	list := "one of: " + strings.Join(choices, ", ")
	if value == "" && !c.Has(path) {
		c.Missing(path, name+" = "+list)
		return false
	}
	advice := "write " + list
	if near := Nearest(value, choices); near != "" {
		advice = "write " + strconv.Quote(near)
	}
	c.Bad(path, strconv.Quote(value)+" is not a choice", advice)
	return false
}

// IsName reports whether s can name a thing.
func IsName(s string) bool {
	return s != "" && len(s) <= maxNameBytes && strings.IndexFunc(s, notInName) < 0
}

func notInName(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	return !letter && (r < '0' || r > '9') && r != '-' && r != '_' && r != '.'
}
