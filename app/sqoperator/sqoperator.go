// Package sqoperator implements the operator commands: they check and publish
// declarations, manage keys, show status, decisions and reports, drain endpoints
// and replace control processes.
package sqoperator

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"sequoiadock/core/sqerror"
)

// EnvControls is the environment variable with the default of -controls.
const EnvControls = "SEQUOIADOCK_CONTROLS"

// defaultTimeout limits a command including all its retries.
const defaultTimeout = 30 * time.Second

// subcommand describes one operator command: its help, flags and implementation.
type subcommand struct {
	name string
	// args is the text for the arguments in the usage line.
	args    string
	summary string
	// help is the text below the usage line.
	help string
	// local is true for commands that send no requests to other processes.
	local bool
	// direct is true for commands that ask only the process named by an argument.
	direct bool
	// addFlags declares the flags specific to this command.
	addFlags func(c *invocation, f *flag.FlagSet)
	run      func(ctx context.Context, c *invocation) error
}

// invocation holds the streams, arguments and flags of one run of a command.
type invocation struct {
	cmd    subcommand
	stdin  io.Reader
	stdout *bufio.Writer
	args   []string
	// common flags
	jsonOutput  bool
	controls    string
	operationID string
	timeout     time.Duration
	// flags specific to a command
	baseVersion string
	undo        bool
	keyID       string
	team        string
	keySHA256   string
	newAddress  string
	ran         bool
	notRun      bool
	note        string
	plotFile    string
	deployment  string
	place       placeFlags
}

// subcommands returns the operator commands in the order of the help overview.
func subcommands() []subcommand {
	return []subcommand{
		checkCommand, setupCommand, publishCommand,
		keyCommand, statusCommand, explainCommand, placeCommand, traceCommand, reportCommand,
		drainCommand, replaceCommand, settleCommand, versionCommand,
	}
}

// Run runs one operator command and returns its exit code. Environment variables
// are read through getenv.
func Run(args []string, stdout, stderr io.Writer, getenv func(string) string) int {
	return run(args, os.Stdin, stdout, stderr, getenv)
}

func run(args []string, stdin io.Reader, stdout, stderr io.Writer, getenv func(string) string) int {
	if len(args) == 0 {
		printOverview(stderr)
		return exitUsage
	}
	if isHelp(args[0]) {
		return runHelp(args[1:], stdout, stderr)
	}
	cmd, ok := findSubcommand(args[0])
	if !ok {
		printError(stderr, false, unknownCommandError(args[0]))
		return exitUsage
	}
	out := bufio.NewWriter(stdout)
	c := &invocation{cmd: cmd, stdin: stdin, stdout: out, controls: getenv(EnvControls)}
	err := c.parse(args[1:])
	if errors.Is(err, flag.ErrHelp) {
		printHelp(stdout, cmd)
		return exitOK
	}
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
		err = cmd.run(ctx, c)
		cancel()
	}
	if flushErr := out.Flush(); err == nil && flushErr != nil {
		err = sqerror.New(sqerror.Config{Kind: sqerror.OutputFailed, Cause: flushErr})
	}
	if err == nil {
		return exitOK
	}
	printError(stderr, c.jsonOutput, err)
	return exitCode(err)
}

func findSubcommand(name string) (subcommand, bool) {
	for _, cmd := range subcommands() {
		if cmd.name == name {
			return cmd, true
		}
	}
	return subcommand{}, false
}

// parse parses flags and arguments; flags may stand before, between and after
// the arguments.
func (c *invocation) parse(args []string) error {
	f := c.flagSet()
	f.SetOutput(io.Discard)
	for {
		if err := f.Parse(args); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				return flag.ErrHelp
			}
			return c.usageError(err.Error())
		}
		if f.NArg() == 0 {
			break
		}
		c.args = append(c.args, f.Arg(0))
		args = f.Args()[1:]
	}
	if c.operationID == "" {
		c.operationID = newOperationID()
	}
	if c.timeout <= 0 {
		return c.usageError("-timeout must be above 0")
	}
	return nil
}

func (c *invocation) flagSet() *flag.FlagSet {
	f := flag.NewFlagSet(c.cmd.name, flag.ContinueOnError)
	f.BoolVar(&c.jsonOutput, "json", false, "print JSON in camel case")
	c.timeout = defaultTimeout
	if c.cmd.local {
		return f
	}
	if !c.cmd.direct {
		f.StringVar(&c.controls, "controls", c.controls, "`addresses` of the control processes, as ip:port,ip:port; default from $"+EnvControls)
	}
	f.DurationVar(&c.timeout, "timeout", defaultTimeout, "`time` after which the command gives up")
	if c.cmd.addFlags != nil {
		c.cmd.addFlags(c, f)
	}
	return f
}

// addOperationFlag declares -operation for commands that change state.
func addOperationFlag(c *invocation, f *flag.FlagSet) {
	f.StringVar(&c.operationID, "operation", "", "`identity` of the operation; give the same one to retry after a lost answer")
}

// requireArgs returns a usage error unless there are exactly n arguments.
func (c *invocation) requireArgs(n int) error {
	if len(c.args) == n {
		return nil
	}
	if len(c.args) > n {
		return c.usageError("unexpected argument " + c.args[n])
	}
	return c.usageError("an argument is missing")
}

func (c *invocation) usageError(detail string) error {
	return sqerror.New(sqerror.Config{
		Kind:   sqerror.Usage,
		Detail: detail,
		Advice: "usage: sequoiadock " + strings.TrimSpace(c.cmd.name+" "+c.cmd.args) + "; see \"sequoiadock help " + c.cmd.name + "\"",
	})
}

// printProgress prints a line and flushes it, so that it is visible even if the
// command is interrupted. JSON output has no progress lines.
func (c *invocation) printProgress(format string, values ...any) {
	if c.jsonOutput {
		return
	}
	c.printf(format, values...)
	// The writer keeps the error, and run reports it at the end.
	_ = c.stdout.Flush()
}

func (c *invocation) printf(format string, values ...any) {
	fmt.Fprintf(c.stdout, format, values...)
}
