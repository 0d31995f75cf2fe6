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
func (c *Checker) Place(path string) sqerror.Place { return c.doc.Place(path) }

// Undecoded reports whether path is given but could not be decoded.
func (c *Checker) Undecoded(path string) bool {
	return c.Has(path) && c.doc.undecoded(c.doc.index.nearest(path))
}

// Errors returns every fault that was found, in file order.
func (c *Checker) Errors() []*sqerror.Error { return c.doc.MergeErrors(c.decoding, c.later) }

// AddError adds the fault of the value at path.
func (c *Checker) AddError(path, detail, advice string) {
	c.later = append(c.later, c.doc.ErrorAt(path, detail, advice))
}

// AddMissing adds the fault of a value that has to be there; example is what to
// write.
func (c *Checker) AddMissing(path, example string) {
	table, name := split(path)
	advice := "write " + example
	if table != "" && !c.Has(table) && !strings.Contains(table, ".") {
		advice = "write [" + table + "] and below it " + example
	}
	c.AddError(path, name+" is missing", advice)
}

// CheckName checks a name that others refer to and reports whether it is one.
func (c *Checker) CheckName(path, value string) bool {
	_, name := split(path)
	if _, err := strconv.Atoi(name); value == "" && err != nil {
		c.AddMissing(path, name+` = "name"`)
		return false
	}
	if !IsValidName(value) {
		c.AddError(path, strconv.Quote(value)+" is no name", "write up to 64 letters, digits, -, _ and .")
		return false
	}
	return true
}

// CheckNumber checks a whole number.
func (c *Checker) CheckNumber(path string, value, least, most uint64) {
	if value >= least && value <= most {
		return
	}
	if !c.Has(path) {
		_, name := split(path)
		c.AddMissing(path, name+" = "+strconv.FormatUint(least, 10))
		return
	}
	c.AddError(path, strconv.FormatUint(value, 10)+" is out of range", "write "+strconv.FormatUint(least, 10)+" to "+strconv.FormatUint(most, 10))
}

// CheckChoice checks one of several words and reports whether it is one.
func (c *Checker) CheckChoice(path, value string, choices ...string) bool {
	if slices.Contains(choices, value) {
		return true
	}
	_, name := split(path)
	list := "one of: " + strings.Join(choices, ", ")
	if value == "" && !c.Has(path) {
		c.AddMissing(path, name+" = "+list)
		return false
	}
	advice := "write " + list
	if near := ClosestMatch(value, choices); near != "" {
		advice = "write " + strconv.Quote(near)
	}
	c.AddError(path, strconv.Quote(value)+" is not a choice", advice)
	return false
}

// IsValidName reports whether s can name a thing.
func IsValidName(s string) bool {
	return s != "" && len(s) <= maxNameBytes && strings.IndexFunc(s, notInName) < 0
}

func notInName(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	return !letter && (r < '0' || r > '9') && r != '-' && r != '_' && r != '.'
}
