package sqoperator

import (
	"context"
	"io"
	"os"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqtrace"
)

// maxLogBytes bounds what is read of all logs together.
const maxLogBytes = 1 << 30

var traceCommand = command{
	name:    "trace",
	args:    "REQUEST [FILE...]",
	summary: "follow a request through the logs of gateways and coordinators",
	help: `REQUEST is the identity of a caller's attempt. Without files the logs are read
from standard input. Prints the request's own lines, what its gateway and the
holder believed around that time, and where to look next.`,
	local: true,
	run:   runTrace,
}

func runTrace(_ context.Context, c *call) error {
	if len(c.args) == 0 {
		return c.usage("the identity of a request is missing")
	}
	data, err := c.readLogs(c.args[1:])
	if err != nil {
		return err
	}
	lines, unreadable := sqtrace.Parse(data)
	trace, ok := sqtrace.Find(lines, c.args[0])
	if !ok {
		return sqerror.New(sqerror.Config{
			Kind: sqerror.NotFound, Detail: "no line names the request",
			Advice: "give the logs of all gateways; lines may have been dropped (event 1007)",
		})
	}
	if c.json {
		return c.printJSON(struct {
			Request    string   `json:"request"`
			Own        []string `json:"own"`
			Context    []string `json:"context"`
			Advice     string   `json:"advice"`
			Unreadable int      `json:"unreadable"`
		}{c.args[0], texts(trace.RequestLines()), texts(trace.Context()), trace.Advice(), unreadable})
	}
	c.printf("the request:\n")
	for _, text := range texts(trace.RequestLines()) {
		c.printf("  %s\n", text)
	}
	c.printf("around that time:\n")
	for _, text := range texts(trace.Context()) {
		c.printf("  %s\n", text)
	}
	c.printf("%s\n", trace.Advice())
	if unreadable > 0 {
		c.printf("%d lines could not be read.\n", unreadable)
	}
	return nil
}

// readLogs returns the contents of files, or of standard input if there are none.
func (c *call) readLogs(paths []string) ([]byte, error) {
	if len(paths) == 0 {
		return io.ReadAll(io.LimitReader(c.stdin, maxLogBytes))
	}
	var all []byte
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, sqerror.New(sqerror.Config{Kind: sqerror.NotFound, Detail: "the log cannot be read", Cause: err})
		}
		all = append(append(all, data...), '\n')
		if len(all) > maxLogBytes {
			return nil, sqerror.New(sqerror.Config{Kind: sqerror.Refused, Detail: "the logs are too long", Advice: "cut them to the minutes in question"})
		}
	}
	return all, nil
}

func texts(lines []sqtrace.Line) []string {
	all := make([]string, 0, len(lines))
	for i := range lines {
		all = append(all, lines[i].Text())
	}
	return all
}
