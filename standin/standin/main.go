// Command standin runs stand-ins that simulate the system's environment in tests:
// engines, plain services, the platform and the weight store.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"sequoiadock/standin/sqfailure"
)

// stopTimeout bounds the graceful shutdown after SIGTERM or SIGINT.
const stopTimeout = 5 * time.Second

// standIn is a running stand-in.
type standIn interface {
	Stop(ctx context.Context)
}

// command starts a stand-in from its arguments. It returns the stand-in and the
// value to print as JSON once the stand-in serves.
type command func(args []string) (standIn, any, error)

var commands = map[string]command{
	"engine":   startEngine,
	"service":  startService,
	"platform": startPlatform,
	"weights":  startWeights,
	"fleet":    startFleet,
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 || commands[args[0]] == nil {
		fmt.Fprintln(stderr, "usage: standin engine|service|platform|weights|fleet [flags]; use -h after a name to list its flags")
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s, ready, err := commands[args[0]](args[1:])
	if err != nil {
		fmt.Fprintln(stderr, err)
		return 1
	}
	if err := json.NewEncoder(stdout).Encode(ready); err != nil {
		fmt.Fprintln(stderr, err)
	}
	<-ctx.Done()
	limited, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	s.Stop(limited)
	return 0
}

// parse reads flags. A positional argument is an error.
func parse(set *flag.FlagSet, args []string) error {
	if err := set.Parse(args); err != nil {
		return sqfailure.New(sqfailure.Config{Action: "read flags", Cause: err})
	}
	if set.NArg() > 0 {
		return sqfailure.New(sqfailure.Config{Action: "read flags", Detail: "unknown argument " + set.Arg(0)})
	}
	return nil
}

// splitList splits a comma-separated list; an empty text gives an empty list.
func splitList(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}
