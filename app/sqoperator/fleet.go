package sqoperator

import (
	"context"
	"flag"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqtoml"
	"sequoiadock/io/sqclock"
)

var drainCommand = subcommand{
	name:    "drain",
	args:    "ENDPOINT [-undo]",
	summary: "stop sending new work to an endpoint, before maintenance on it",
	help: `Entries send the endpoint no new work; work that runs there is left to finish.
"status" shows when the endpoint is idle. -undo takes the endpoint back into use.`,
	addFlags: func(c *invocation, f *flag.FlagSet) {
		f.BoolVar(&c.undo, "undo", false, "take the endpoint back into use")
		addOperationFlag(c, f)
	},
	run: runDrain,
}

func runDrain(ctx context.Context, c *invocation) error {
	if err := c.requireArgs(1); err != nil {
		return err
	}
	endpoint := c.args[0]
	message := endpoint + " drains"
	if c.undo {
		message = endpoint + " is back in use"
	} else if err := c.checkEndpointExists(ctx, endpoint); err != nil {
		return err
	}
	return c.submitChange(ctx, message, &sqcommand.Command{
		Body: &sqcommand.Command_SetDrain{SetDrain: &sqcommand.SetDrain{Endpoint: endpoint, Draining: !c.undo}},
	})
}

// checkEndpointExists returns an error for an unknown endpoint, because draining
// a misspelled name would look like a completed drain. -undo skips the check, so
// that the drain of an endpoint that no longer exists can be undone.
func (c *invocation) checkEndpointExists(ctx context.Context, endpoint string) error {
	client, err := c.newClient()
	if err != nil {
		return err
	}
	status, err := client.holderStatus(ctx)
	if err != nil {
		return err
	}
	var known []string
	for _, e := range status.GetEndpoints() {
		if e.GetId() == endpoint {
			return nil
		}
		known = append(known, e.GetId())
	}
	advice := "\"sequoiadock status\" lists them"
	if closest := sqtoml.ClosestMatch(endpoint, known); closest != "" {
		advice = "did you mean " + closest + "?"
	}
	return sqerror.New(sqerror.Config{Kind: sqerror.NotFound, Detail: "there is no endpoint " + endpoint, Advice: advice})
}

var settleCommand = subcommand{
	name:    "settle",
	args:    "TEAM IDENTITY -ran|-notRun -note TEXT",
	summary: "record whether a call of unknown outcome ran",
	help: `Some calls may not be repeated. When their outcome is unknown, resends get
"may have run" until an operator has looked it up in the service and records
it here. "status" lists such calls. After -notRun the caller may send again.`,
	addFlags: func(c *invocation, f *flag.FlagSet) {
		f.BoolVar(&c.ran, "ran", false, "the call ran")
		f.BoolVar(&c.notRun, "notRun", false, "the call did not run")
		f.StringVar(&c.note, "note", "", "`text` for the record: who looked, and where; required")
		addOperationFlag(c, f)
	},
	run: runSettle,
}

func runSettle(ctx context.Context, c *invocation) error {
	if err := c.requireArgs(2); err != nil {
		return err
	}
	if c.ran == c.notRun {
		return c.usageError("give either -ran or -notRun")
	}
	if c.note == "" {
		return c.usageError("-note is missing")
	}
	message := "the call is recorded as not run"
	if c.ran {
		message = "the call is recorded as run"
	}
	return c.submitChange(ctx, message, &sqcommand.Command{
		Body: &sqcommand.Command_SettleCall{SettleCall: &sqcommand.SettleCall{
			Team: c.args[0], Identity: c.args[1], Ran: c.ran, Note: c.note,
		}},
	})
}

// submitChange commits a command and prints message, or the result as JSON.
func (c *invocation) submitChange(ctx context.Context, message string, cmd *sqcommand.Command) error {
	client, err := c.newClient()
	if err != nil {
		return err
	}
	cmd.OperationId = c.operationID
	cmd.AtUnixNano = sqclock.Wall().UnixNano()
	result, err := client.submit(ctx, cmd)
	if err != nil {
		return err
	}
	if c.jsonOutput {
		return c.printJSON(struct {
			Version   uint64 `json:"version"`
			Operation string `json:"operation"`
		}{result.GetVersion(), c.operationID})
	}
	c.printf("%s\n", message)
	return nil
}
