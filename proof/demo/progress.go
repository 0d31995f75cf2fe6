package main

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// progress prints the numbered steps of the demo and their output.
type progress struct {
	out        io.Writer
	stepNumber int
	started    time.Time
}

// startClock starts the time that printDuration prints.
func (p *progress) startClock() { p.started = time.Now() }

// step prints the heading of the next step.
func (p *progress) step(text string) {
	p.stepNumber++
	fmt.Fprintf(p.out, "\n[%d] %s\n", p.stepNumber, text)
}

// print prints the lines of text, indented below the current step.
func (p *progress) print(text string) {
	for line := range strings.Lines(strings.TrimRight(text, "\n")) {
		fmt.Fprintf(p.out, "    %s\n", strings.TrimRight(line, "\n"))
	}
}

// printDuration prints the time since startClock.
func (p *progress) printDuration() {
	fmt.Fprintf(p.out, "\ndone in %.1f s after the build\n", time.Since(p.started).Seconds())
}
