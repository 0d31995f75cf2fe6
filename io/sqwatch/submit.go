package sqwatch

import (
	"context"
	"strconv"
	"time"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqrpc"
)

// submitRetryDelay is the time between two attempts to submit a command.
const submitRetryDelay = 50 * time.Millisecond

// maxRedirects bounds the consecutive attempts without a delay when control
// processes redirect to another holder.
const maxRedirects = 3

// OperationID returns an operation ID that no other command has: it consists of
// the entry, the run and a sequence number.
func (c *Client) OperationID() string {
	n := c.lastOperation.Add(1)
	return c.cfg.Entry + "/" + c.cfg.RunID + "/" + strconv.FormatUint(n, 10)
}

// Submit commits a command and returns its result. It resends the command until it
// is answered or ctx ends; the operation ID makes the command idempotent. It
// returns OutcomeUnknown if ctx ends while the command may have been committed.
func (c *Client) Submit(ctx context.Context, cmd *sqcommand.Command) (*sqcommand.Result, error) {
	var lastErr error
	for attempt := 1; ctx.Err() == nil; attempt++ {
		address, control := c.controls.current()
		result, err := c.submitOnce(ctx, control, cmd)
		if err == nil {
			return result, resultError(result)
		}
		lastErr = err
		if !sqrpc.IsRetryable(err) {
			return nil, err
		}
		c.controls.markFailed(address, err)
		// Control processes may redirect to each other while there is no holder.
		redirected := sqrpc.RedirectAddress(err) != "" && attempt%maxRedirects != 0
		if !redirected && !sqclock.Sleep(ctx, submitRetryDelay) {
			break
		}
	}
	return nil, sqerror.New(sqerror.Config{Kind: sqerror.OutcomeUnknown, Detail: "a command was not answered in time", Cause: lastErr})
}

func (c *Client) submitOnce(ctx context.Context, control sqrpc.Control, cmd *sqcommand.Command) (*sqcommand.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CommandTimeout)
	defer cancel()
	resp, err := control.Submit(ctx, &sqrpc.SubmitRequest{Command: cmd})
	if err != nil {
		return nil, sqrpc.FromTwirp(err)
	}
	return resp.GetResult(), nil
}

func resultError(r *sqcommand.Result) error {
	if r.GetError() == 0 {
		return nil
	}
	return sqerror.New(sqerror.Config{Kind: sqerror.Kind(r.GetError()), Detail: r.GetDetail()})
}
