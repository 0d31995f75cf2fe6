package sqoperator

import (
	"context"
	"io"
	"os"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqtrace"
)

// maxLogBytes limits the total size of the logs that are read.
const maxLogBytes = 1 << 30

var traceCommand = subcommand{
	name:    "trace",
	args:    "REQUEST [FILE...]",
	summary: "follow a request through the logs of gateways and coordinators",
	help: `REQUEST is the identity of a caller's attempt. Without files the logs are read
from standard input. Prints the request's own lines, the lines on the state
of its gateway and the lease holder around that time, and where to look next.`,
	local: true,
	run:   runTrace,
}

func runTrace(_ context.Context, c *invocation) error {
	if len(c.args) == 0 {
		return c.usageError("the identity of a request is missing")
	}
	data, err := c.readLogs(c.args[1:], maxLogBytes)
	if err != nil {
		return err
	}
	lines, unreadable := sqtrace.Parse(data)
	trace, ok := sqtrace.Find(lines, c.args[0])
	if !ok {
		return sqerror.New(sqerror.Config{
			Kind: sqerror.NotFound, Detail: "no log line contains the request",
			Advice: "give the logs of all gateways; lines may have been dropped (event 1007)",
		})
	}
	if c.jsonOutput {
		return c.printJSON(struct {
			Request    string   `json:"request"`
			Own        []string `json:"own"`
			Context    []string `json:"context"`
			Advice     string   `json:"advice"`
			Unreadable int      `json:"unreadable"`
		}{c.args[0], lineTexts(trace.RequestLines()), lineTexts(trace.Context()), trace.Advice(), unreadable})
	}
	c.printf("the request:\n")
	for _, text := range lineTexts(trace.RequestLines()) {
		c.printf("  %s\n", text)
	}
	c.printf("around that time:\n")
	for _, text := range lineTexts(trace.Context()) {
		c.printf("  %s\n", text)
	}
	c.printf("%s\n", trace.Advice())
	if unreadable > 0 {
		c.printf("%d lines could not be read.\n", unreadable)
	}
	return nil
}

// readLogs returns the contents of files, or of standard input if there are none. It
// fails with Refused if these are longer than limit, in bytes.
func (c *invocation) readLogs(paths []string, limit int64) ([]byte, error) {
	if len(paths) == 0 {
		logs, err := io.ReadAll(io.LimitReader(c.stdin, limit+1))
		if err != nil {
			return nil, logUnreadable(err)
		}
		return logs, checkLogSize(logs, limit)
	}
	var logs []byte
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, logUnreadable(err)
		}
		logs = append(append(logs, data...), '\n')
		if err := checkLogSize(logs, limit); err != nil {
			return nil, err
		}
	}
	return logs, nil
}

func logUnreadable(err error) error {
	return sqerror.New(sqerror.Config{Kind: sqerror.NotFound, Detail: "the log cannot be read", Cause: err})
}

func checkLogSize(logs []byte, limit int64) error {
	if int64(len(logs)) <= limit {
		return nil
	}
	return sqerror.New(sqerror.Config{Kind: sqerror.Refused, Detail: "the logs are too large", Advice: "give only the minutes around the request"})
}

func lineTexts(lines []sqtrace.Line) []string {
	result := make([]string, 0, len(lines))
	for i := range lines {
		result = append(result, lines[i].Text())
	}
	return result
}
