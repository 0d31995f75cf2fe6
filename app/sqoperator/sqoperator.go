// Package sqoperator is the operators' side of the command line: it checks and
// publishes declarations, changes keys, asks for state, reasons and reports,
// and plans stops and repairs.
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

// EnvControls is the environment variable that -controls defaults to.
const EnvControls = "SEQUOIADOCK_CONTROLS"

// defaultTimeout bounds a command with all its retries.
const defaultTimeout = 30 * time.Second

// command is one subcommand.
type command struct {
	name string
	// args shows the arguments in the usage line.
	args    string
	summary string
	// help is the text below the usage line.
	help string
	// local commands ask no process.
	local bool
	// flags declares the command's own flags.
	flags func(c *call, f *flag.FlagSet)
	run   func(ctx context.Context, c *call) error
}

// call is one use of a command.
type call struct {
	cmd    command
	stdin  io.Reader
	stdout *bufio.Writer
	args   []string
	// common flags
	json      bool
	controls  string
	operation string
	timeout   time.Duration
	// own flags of commands
	base       string
	undo       bool
	id         string
	team       string
	sha256     string
	address    string
	ran        bool
	notRun     bool
	note       string
	plot       string
	deployment string
}

// commands lists the subcommands in the order of the help.
func commands() []command {
	return []command{
		checkCommand, setupCommand, publishCommand,
		keyCommand, statusCommand, explainCommand, traceCommand, reportCommand,
		drainCommand, replaceCommand, settleCommand, versionCommand,
	}
}

// Run carries out one operator command and returns the exit code. Names of the
// environment are read through getenv.
func Run(args []string, stdout, stderr io.Writer, getenv func(string) string) int {
	return run(args, os.Stdin, stdout, stderr, getenv)
}

func run(args []string, stdin io.Reader, stdout, stderr io.Writer, getenv func(string) string) int {
	if len(args) == 0 {
		printOverview(stderr)
		return exitUsage
	}
	if isHelp(args[0]) {
		return help(args[1:], stdout, stderr)
	}
	cmd, ok := find(args[0])
	if !ok {
		printError(stderr, false, unknownCommand(args[0]))
		return exitUsage
	}
	out := bufio.NewWriter(stdout)
	c := &call{cmd: cmd, stdin: stdin, stdout: out, controls: getenv(EnvControls)}
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
	printError(stderr, c.json, err)
	return exitCode(err)
}

func find(name string) (command, bool) {
	for _, cmd := range commands() {
		if cmd.name == name {
			return cmd, true
		}
	}
	return command{}, false
}

// parse reads flags before, between and after the arguments.
func (c *call) parse(args []string) error {
	f := c.flagSet()
	f.SetOutput(io.Discard)
	for {
		if err := f.Parse(args); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				return flag.ErrHelp
			}
			return c.usage(err.Error())
		}
		if f.NArg() == 0 {
			break
		}
		c.args = append(c.args, f.Arg(0))
		args = f.Args()[1:]
	}
	if c.operation == "" {
		c.operation = newOperation()
	}
	if c.timeout <= 0 {
		return c.usage("-timeout must be above 0")
	}
	return nil
}

func (c *call) flagSet() *flag.FlagSet {
	f := flag.NewFlagSet(c.cmd.name, flag.ContinueOnError)
	f.BoolVar(&c.json, "json", false, "print JSON in camel case")
	c.timeout = defaultTimeout
	if c.cmd.local {
		return f
	}
	f.StringVar(&c.controls, "controls", c.controls, "`addresses` of the control processes, as ip:port,ip:port; default from $"+EnvControls)
	f.DurationVar(&c.timeout, "timeout", defaultTimeout, "`time` after which the command gives up")
	if c.cmd.flags != nil {
		c.cmd.flags(c, f)
	}
	return f
}

// operationFlag declares -operation for commands that change state.
func operationFlag(c *call, f *flag.FlagSet) {
	f.StringVar(&c.operation, "operation", "", "`identity` of the operation; give the same one to resend after a lost answer")
}

// only checks the number of arguments.
func (c *call) only(n int) error {
	if len(c.args) == n {
		return nil
	}
	if len(c.args) > n {
		return c.usage("unexpected argument " + c.args[n])
	}
	return c.usage("an argument is missing")
}

func (c *call) usage(detail string) error {
	return sqerror.New(sqerror.Config{
		Kind:   sqerror.Usage,
		Detail: detail,
		Advice: "usage: sequoiadock " + strings.TrimSpace(c.cmd.name+" "+c.cmd.args) + "; see \"sequoiadock help " + c.cmd.name + "\"",
	})
}

// progress prints a line at once, so that an operator has it even if the
// command is interrupted. JSON output has none.
func (c *call) progress(format string, values ...any) {
	if c.json {
		return
	}
	c.printf(format, values...)
	// A failure is kept by the writer and reported at the end.
	_ = c.stdout.Flush()
}

func (c *call) printf(format string, values ...any) {
	fmt.Fprintf(c.stdout, format, values...)
}
