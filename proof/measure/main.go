// Command measure runs a whole deployment of real processes against the stand-ins
// once for each set of policies, and prints a table that compares their results
// under the same arrivals.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"sequoiadock/proof/sqcluster"
)

// timeout bounds the total duration of all runs.
const timeout = 30 * time.Minute

// options holds the values of the flags.
type options struct {
	variants string
	weights  string
	scenario string
	seed     uint64
	duration time.Duration
	swing    time.Duration
	rate     float64
	engines  int
	cheap    int
	prefill  int
	decode   int
	entries  int
	scale    float64
	orders   bool
	keep     string
}

func main() {
	var o options
	flag.StringVar(&o.variants, "variants", "ours,roundRobin,leastLoaded,reactive", "policies to run, separated by commas")
	flag.StringVar(&o.weights, "weights", federation, "whose weights: "+federation+" or "+association)
	flag.StringVar(&o.scenario, "scenario", calm, "what happens in the middle of the run: "+strings.Join(scenarioNames(), ", "))
	flag.Uint64Var(&o.seed, "seed", 1, "seed of the arrivals")
	flag.DurationVar(&o.duration, "duration", time.Minute, "how long requests arrive")
	flag.DurationVar(&o.swing, "swing", 30*time.Second, "period in which the mix swings")
	flag.Float64Var(&o.rate, "rate", 30, "assistant requests a second")
	flag.IntVar(&o.engines, "engines", 8, "dear engines")
	flag.IntVar(&o.cheap, "cheap", 0, "cheap engines")
	flag.IntVar(&o.prefill, "prefill", 4, "engines that start with the role prefill")
	flag.IntVar(&o.decode, "decode", 4, "engines that start with the role decode")
	flag.IntVar(&o.entries, "entries", 4, "entries")
	flag.Float64Var(&o.scale, "scale", 0.5, "factor of the engines' durations")
	flag.BoolVar(&o.orders, "orders", false, "let the system order and release endpoints")
	flag.StringVar(&o.keep, "keep", "", "`folder` that keeps the settings, logs and records of the runs")
	flag.Parse()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err := runAll(ctx, &o)
	sqcluster.CleanUp()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func runAll(ctx context.Context, o *options) error {
	fmt.Println(header)
	for _, name := range strings.Split(o.variants, ",") {
		row, err := runOne(ctx, o, name)
		if err != nil {
			return err
		}
		fmt.Println(row)
	}
	return nil
}
