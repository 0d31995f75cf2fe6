package sqoperator

import (
	"context"
	"flag"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqtoml"
	"sequoiadock/io/sqclock"
)

var drainCommand = command{
	name:    "drain",
	args:    "ENDPOINT [-undo]",
	summary: "stop new work on an endpoint, before planned work on it",
	help: `Entries send the endpoint no new work; what runs there ends by itself. "status"
shows when it is idle. -undo takes the endpoint back into use.`,
	flags: func(c *call, f *flag.FlagSet) {
		f.BoolVar(&c.undo, "undo", false, "take the endpoint back into use")
		operationFlag(c, f)
	},
	run: runDrain,
}

func runDrain(ctx context.Context, c *call) error {
	if err := c.only(1); err != nil {
		return err
	}
	endpoint := c.args[0]
	said := endpoint + " drains"
	if c.undo {
		said = endpoint + " is back in use"
	} else if err := c.mustExist(ctx, endpoint); err != nil {
		return err
	}
	return c.change(ctx, said, &sqcommand.Command{
		Body: &sqcommand.Command_SetDrain{SetDrain: &sqcommand.SetDrain{Endpoint: endpoint, Draining: !c.undo}},
	})
}

// mustExist refuses a slip of the pen, which would look like a drain that is
// done. A name that is gone may still be taken back into use.
func (c *call) mustExist(ctx context.Context, endpoint string) error {
	control, err := c.client()
	if err != nil {
		return err
	}
	status, err := control.holderStatus(ctx)
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
	if near := sqtoml.ClosestMatch(endpoint, known); near != "" {
		advice = "did you mean " + near + "?"
	}
	return sqerror.New(sqerror.Config{Kind: sqerror.NotFound, Detail: "there is no endpoint " + endpoint, Advice: advice})
}

var settleCommand = command{
	name:    "settle",
	args:    "TEAM IDENTITY -ran|-notRun -note TEXT",
	summary: "record whether a call of unknown outcome ran",
	help: `Some calls may not be repeated. When their outcome is unknown, resends get
"may have run" until an operator has looked it up in the service and records
it here. "status" lists such calls. After -notRun the caller may send again.`,
	flags: func(c *call, f *flag.FlagSet) {
		f.BoolVar(&c.ran, "ran", false, "the call ran")
		f.BoolVar(&c.notRun, "notRun", false, "the call did not run")
		f.StringVar(&c.note, "note", "", "`text` for the record: who looked, and where; needed")
		operationFlag(c, f)
	},
	run: runSettle,
}

func runSettle(ctx context.Context, c *call) error {
	if err := c.only(2); err != nil {
		return err
	}
	if c.ran == c.notRun {
		return c.usage("give either -ran or -notRun")
	}
	if c.note == "" {
		return c.usage("-note is missing")
	}
	said := "the call is recorded as not run"
	if c.ran {
		said = "the call is recorded as run"
	}
	return c.change(ctx, said, &sqcommand.Command{
		Body: &sqcommand.Command_SettleCall{SettleCall: &sqcommand.SettleCall{
			Team: c.args[0], Identity: c.args[1], Ran: c.ran, Note: c.note,
		}},
	})
}

// change commits a command and prints what it did.
func (c *call) change(ctx context.Context, said string, cmd *sqcommand.Command) error {
	control, err := c.client()
	if err != nil {
		return err
	}
	cmd.OperationId = c.operation
	cmd.AtUnixNano = sqclock.Wall().UnixNano()
	result, err := control.submit(ctx, cmd)
	if err != nil {
		return err
	}
	if c.json {
		return c.printJSON(struct {
			Version   uint64 `json:"version"`
			Operation string `json:"operation"`
		}{result.GetVersion(), c.operation})
	}
	c.printf("%s\n", said)
	return nil
}
