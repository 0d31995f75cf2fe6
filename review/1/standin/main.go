// Command lab plays one scripted case of the review: it starts the programs of the
// deploy file as separate processes, with stand-ins for the platform, the workers, the
// operator and the clients, and checks one rule from what these have seen.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of the program.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the names of the cases to the functions that play them. A function returns
// how often the rule was broken.
var cases = map[string]func(l *lab) (broken int, err error){
	"hangup":     playHangup,
	"unreadable": playUnreadable,
	"harmful":    playHarmful,
	"versions":   playVersions,
	"removal":    playRemoval,
}

func main() { os.Exit(play(os.Args[1:])) }

func play(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD")
		return exitNotRun
	}
	l, err := newLab(args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer l.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		l.close()
		os.Exit(exitNotRun)
	}()
	broken, err := cases[args[0]](l)
	switch {
	case err != nil:
		l.record("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken > 0:
		l.record("the rule was broken %d times", broken)
		fmt.Printf("broken %d times\n", broken)
		return exitBroken
	default:
		l.record("the rule held")
		fmt.Println("held")
		return exitHeld
	}
}
