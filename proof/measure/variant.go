package main

import (
	"sequoiadock/core/sqerror"
)

// variant is a set of policies for the control processes and the entries.
type variant struct {
	control map[string]string
	entry   map[string]string
}

// findVariant returns the variant with a name: ours, a baseline, or ours with one
// policy replaced by its baseline.
func findVariant(name string) (variant, error) {
	all := map[string]variant{
		"ours":          {controlPolicy("planned", "planned"), entryPolicy("cacheAware", "fair")},
		"roundRobin":    {controlPolicy("static", "allDear"), entryPolicy("roundRobin", "fifo")},
		"leastLoaded":   {controlPolicy("static", "allDear"), entryPolicy("leastLoaded", "fifo")},
		"reactive":      {controlPolicy("reactive", "allDear"), entryPolicy("leastLoaded", "fifo")},
		"greedyCheap":   {controlPolicy("static", "greedyCheap"), entryPolicy("leastLoaded", "fifo")},
		"oursStatic":    {controlPolicy("static", "planned"), entryPolicy("cacheAware", "fair")},
		"oursReactive":  {controlPolicy("reactive", "planned"), entryPolicy("cacheAware", "fair")},
		"oursFifo":      {controlPolicy("planned", "planned"), entryPolicy("cacheAware", "fifo")},
		"oursLeast":     {controlPolicy("planned", "planned"), entryPolicy("leastLoaded", "fair")},
		"oursAllDear":   {controlPolicy("planned", "allDear"), entryPolicy("cacheAware", "fair")},
		"oursRoundFair": {controlPolicy("static", "planned"), entryPolicy("roundRobin", "fair")},
	}
	v, ok := all[name]
	if !ok {
		return v, sqerror.New(sqerror.Config{Kind: sqerror.Usage, Detail: "no policies are called " + name})
	}
	return v, nil
}

func controlPolicy(roles, stock string) map[string]string {
	return map[string]string{"roles": roles, "stock": stock}
}

func entryPolicy(router, admission string) map[string]string {
	return map[string]string{"router": router, "admission": admission}
}
