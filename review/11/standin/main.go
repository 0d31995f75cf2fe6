package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime bounds a scenario.
const maxTime = 117 * time.Second

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario is one case. It plays it and reports whether the rule was broken.
type scenario struct {
	shape shape
	play  func(d *deployment, trouble bool) (broken bool, err error)
}

var scenarios = map[string]scenario{
	"harmfulFollower": {smallShape, playHarmfulFollower},
	"harmfulPart":     {smallShape, playHarmfulPart},
	"harmfulRequest":  {smallShape, playHarmfulRequest},
	"manyChanges":     {smallShape, playManyChanges},
	"slowReplacement": {grownShape, playSlowReplacement},
}

// main takes the name of a scenario, the project's program and the path of the record.
func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 SCENARIO PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, program, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	d, err := newDeployment(r, program, scenarios[name].shape)
	if err != nil {
		r.printf("not run: %v", err)
		return exitNotRun
	}
	defer d.stop()
	end := func(reason string) {
		r.printf("not run: %s", reason)
		d.stop()
		os.Exit(exitNotRun)
	}
	time.AfterFunc(maxTime, func() { end("it took too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { end((<-signals).String()) }()
	if err := d.startAll(); err != nil {
		r.printf("not run: %v", err)
		return exitNotRun
	}
	broken, err := scenarios[name].play(d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.printf("not run: %v", err)
		return exitNotRun
	case broken:
		r.printf("result: the rule is broken")
		return exitBroken
	default:
		r.printf("result: the rule holds")
		return exitHeld
	}
}
