package sqoperator

import (
	"context"
	"runtime"
	"runtime/debug"
)

// Version is the release number of the program.
const Version = "0.1.0"

var versionCommand = subcommand{
	name:    "version",
	summary: "print the version",
	help:    "Prints the release, the commit it was built from if known, and the Go version.",
	local:   true,
	run:     runVersion,
}

func runVersion(_ context.Context, c *invocation) error {
	if err := c.requireArgs(0); err != nil {
		return err
	}
	commit := ""
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				commit = s.Value
			}
		}
	}
	if c.jsonOutput {
		return c.printJSON(struct {
			Version string `json:"version"`
			Commit  string `json:"commit"`
			Go      string `json:"go"`
		}{Version, commit, runtime.Version()})
	}
	c.printf("sequoiadock %s", Version)
	if commit != "" {
		c.printf(" (%s)", commit)
	}
	c.printf(" %s\n", runtime.Version())
	return nil
}
