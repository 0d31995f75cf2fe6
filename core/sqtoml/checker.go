package sqtoml

import (
	"slices"
	"strconv"
	"strings"

	"sequoiadock/core/sqerror"
)

// maxNameBytes limits the length of names, because they appear in metrics, logs
// and stored records.
const maxNameBytes = 64

// Checker collects the errors of one file: those of the decoding and those that
// its methods find. Paths are those of Document.
type Checker struct {
	doc        *Document
	decodeErrs []*sqerror.Error
	checkErrs  []*sqerror.Error
}

// NewChecker decodes data strictly into the struct that v points to.
func NewChecker(file string, data []byte, v any) *Checker {
	doc, decodeErrs := Decode(file, data, v)
	return &Checker{doc: doc, decodeErrs: decodeErrs}
}

// Has reports whether the file has a value for path.
func (c *Checker) Has(path string) bool { return c.doc.Has(path) }

// Position returns the position of path. If the file has no such path, Position returns
// the position of the innermost table on the path that the file has.
func (c *Checker) Position(path string) sqerror.Position { return c.doc.Position(path) }

// Undecoded reports whether the file has a value for path that could not be
// decoded.
func (c *Checker) Undecoded(path string) bool {
	return c.Has(path) && c.doc.undecoded(c.doc.index.nearestPosition(path))
}

// Errors returns all errors found so far, in file order.
func (c *Checker) Errors() []*sqerror.Error { return c.doc.MergeErrors(c.decodeErrs, c.checkErrs) }

// AddError adds an error about the value at path. The advice says what to write
// instead.
func (c *Checker) AddError(path, detail, advice string) {
	c.checkErrs = append(c.checkErrs, c.doc.ErrorAt(path, detail, advice))
}

// AddMissing adds an error about a required value that is missing; example is a
// valid line for it.
func (c *Checker) AddMissing(path, example string) {
	table, name := splitPath(path)
	advice := "write " + example
	if table != "" && !c.Has(table) && !strings.Contains(table, ".") {
		advice = "write [" + table + "] and below it " + example
	}
	c.AddError(path, name+" is missing", advice)
}

// CheckName checks that value is a valid name and reports whether it is.
func (c *Checker) CheckName(path, value string) bool {
	_, name := splitPath(path)
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

// CheckNumber checks that a whole number is between minimum and maximum, both
// included.
func (c *Checker) CheckNumber(path string, value, minimum, maximum uint64) {
	if value >= minimum && value <= maximum {
		return
	}
	if !c.Has(path) {
		_, name := splitPath(path)
		c.AddMissing(path, name+" = "+strconv.FormatUint(minimum, 10))
		return
	}
	c.AddError(path, strconv.FormatUint(value, 10)+" is out of range", "write "+strconv.FormatUint(minimum, 10)+" to "+strconv.FormatUint(maximum, 10))
}

// CheckChoice checks that value is one of choices and reports whether it is.
func (c *Checker) CheckChoice(path, value string, choices ...string) bool {
	if slices.Contains(choices, value) {
		return true
	}
	_, name := splitPath(path)
	list := "one of: " + strings.Join(choices, ", ")
	if value == "" && !c.Has(path) {
		c.AddMissing(path, name+" = "+list)
		return false
	}
	advice := "write " + list
	if closest := ClosestMatch(value, choices); closest != "" {
		advice = "write " + strconv.Quote(closest)
	}
	c.AddError(path, strconv.Quote(value)+" is not a choice", advice)
	return false
}

// IsValidName reports whether s consists of 1 to 64 ASCII letters, digits,
// hyphens, underscores and periods.
func IsValidName(s string) bool {
	return s != "" && len(s) <= maxNameBytes && strings.IndexFunc(s, isInvalidInName) < 0
}

func isInvalidInName(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	return !letter && (r < '0' || r > '9') && r != '-' && r != '_' && r != '.'
}
