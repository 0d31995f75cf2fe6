package sqconfig

import (
	"math"
	"strconv"
	"time"

	"sequoiadock/core/sqtoml"
)

// checker collects the errors of one file.
type checker struct {
	*sqtoml.Checker
}

// decode decodes f strictly into v. The caller passes the result to addFileErrors
// once it has checked the values.
func decode(f File, v any) *checker {
	return &checker{sqtoml.NewChecker(f.path, f.data, v)}
}

// addFileErrors adds the errors of one file.
func (c *collector) addFileErrors(k *checker) {
	c.errs = append(c.errs, k.Errors()...)
}

// checkOptional checks a whole number that may be left out. It returns the value, or
// defaultValue if the file has none.
func (k *checker) checkOptional(path string, value, defaultValue, minimum, maximum uint64) uint64 {
	if !k.Has(path) {
		return defaultValue
	}
	k.CheckNumber(path, value, minimum, maximum)
	return value
}

// checkWeight checks that a weight is finite and not negative.
func (k *checker) checkWeight(path string, value float64) {
	if value < 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		k.AddError(path, "not a valid weight", "write a number from 0 upwards, such as 1.5")
	}
}

// checkDuration parses a duration such as "30s" and checks its range. It returns 0
// if the file has none or it is invalid.
func (k *checker) checkDuration(path, value string, minimum, maximum time.Duration) time.Duration {
	if value == "" && !k.Has(path) {
		return 0
	}
	d, err := time.ParseDuration(value)
	if err != nil {
		k.AddError(path, strconv.Quote(value)+" is not a duration", `write a number with a unit, such as "250ms", "30s" or "24h"`)
		return 0
	}
	if d < minimum || d > maximum {
		k.AddError(path, strconv.Quote(value)+" is out of range", "write "+minimum.String()+" to "+maximum.String())
		return 0
	}
	return d
}

// elementPath returns the path of the array element with index i.
func elementPath(path string, i int) string {
	return path + "." + strconv.Itoa(i)
}
