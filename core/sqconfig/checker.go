package sqconfig

import (
	"math"
	"strconv"
	"time"

	"sequoiadock/core/sqtoml"
)

// checker collects the faults of one file.
type checker struct {
	*sqtoml.Checker
}

// decode decodes f strictly into v. The caller gives the result to finish.
func decode(f File, v any) *checker {
	return &checker{sqtoml.NewChecker(f.path, f.data, v)}
}

// finish adds the faults of a file to those of the others.
func (c *collector) finish(k *checker) {
	c.faults = append(c.faults, k.Errors()...)
}

// optional checks a whole number that may be left out.
func (k *checker) optional(path string, value, unset, least, most uint64) uint64 {
	if !k.Has(path) {
		return unset
	}
	k.CheckNumber(path, value, least, most)
	return value
}

// ratio checks a number that is not negative.
func (k *checker) ratio(path string, value float64) {
	if value < 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		k.AddError(path, "not a possible weight", "write a number from 0 upwards, such as 1.5")
	}
}

// duration checks a time such as "30s"; an empty one gives 0.
func (k *checker) duration(path, value string, least, most time.Duration) time.Duration {
	if value == "" && !k.Has(path) {
		return 0
	}
	d, err := time.ParseDuration(value)
	if err != nil {
		k.AddError(path, strconv.Quote(value)+" is not a duration", `write a number with a unit, such as "250ms", "30s" or "24h"`)
		return 0
	}
	if d < least || d > most {
		k.AddError(path, strconv.Quote(value)+" is out of range", "write "+least.String()+" to "+most.String())
		return 0
	}
	return d
}

func at(path string, i int) string {
	return path + "." + strconv.Itoa(i)
}
