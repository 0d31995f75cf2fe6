package sqoperator

import (
	"fmt"
	"io"
	"strings"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqtoml"
)

func isHelp(arg string) bool {
	return arg == "help" || arg == "-h" || arg == "-help" || arg == "--help"
}

func runHelp(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		printOverview(stdout)
		return exitOK
	}
	cmd, ok := findSubcommand(args[0])
	if !ok {
		printError(stderr, false, unknownCommandError(args[0]))
		return exitUsage
	}
	printHelp(stdout, cmd)
	return exitOK
}

func unknownCommandError(name string) error {
	known := []string{"control", "entry", "coordinator", "gateway", "help"}
	for _, cmd := range subcommands() {
		known = append(known, cmd.name)
	}
	advice := "see \"sequoiadock help\""
	if closest := sqtoml.ClosestMatch(name, known); closest != "" {
		advice = "did you mean " + closest + "?"
	}
	return sqerror.New(sqerror.Config{Kind: sqerror.Usage, Detail: "there is no command " + name, Advice: advice})
}

func printOverview(w io.Writer) {
	fmt.Fprint(w, "sequoiadock serves assistants and plain services on a limited fleet.\n\nProcesses:\n")
	fmt.Fprint(w, "  control    run a control process: replicated state, orders and reports\n")
	fmt.Fprint(w, "  entry      run an entry process: callers connect to it\n")
	fmt.Fprint(w, "  coordinator, gateway\n")
	fmt.Fprint(w, "             their counterparts on a platform whose requests are not read\n\nOperators:\n")
	for _, cmd := range subcommands() {
		fmt.Fprintf(w, "  %-10s %s\n", cmd.name, cmd.summary)
	}
	fmt.Fprint(w, "  help       show a command's help\n\nExit codes: ")
	fmt.Fprintln(w, "0 done, 1 failed, 2 usage, 3 bad settings, 4 conflict, 5 unreachable, 6 refused or not found")
}

func printHelp(w io.Writer, cmd subcommand) {
	fmt.Fprintf(w, "usage: sequoiadock %s\n\n%s\n\nFlags:\n", strings.TrimSpace(cmd.name+" "+cmd.args)+" [flags]", cmd.help)
	f := (&invocation{cmd: cmd}).flagSet()
	f.SetOutput(w)
	f.PrintDefaults()
}
