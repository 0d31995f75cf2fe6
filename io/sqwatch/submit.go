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

// submitPause is the time between two tries of a command.
const submitPause = 50 * time.Millisecond

// maxFollowed is how many named holders are tried without a pause.
const maxFollowed = 3

// OperationID returns an identity that no other command of this run has.
func (c *Client) OperationID() string {
	n := c.sequence.Add(1)
	return c.cfg.Entry + "/" + c.cfg.Run + "/" + strconv.FormatUint(n, 10)
}

// Submit commits a command and returns its result. It sends the command again
// until it is answered or ctx ends; the operation identity makes that harmless.
// It returns OutcomeUnknown when ctx ended while the command may be committed.
func (c *Client) Submit(ctx context.Context, cmd *sqcommand.Command) (*sqcommand.Result, error) {
	var last error
	for tries := 1; ctx.Err() == nil; tries++ {
		address, control := c.controls.current()
		result, err := c.submitOnce(ctx, control, cmd)
		if err == nil {
			return result, resultError(result)
		}
		last = err
		if !sqrpc.IsRetryable(err) {
			return nil, err
		}
		c.controls.failed(address, err)
		// Controls may name each other in turn while there is no holder.
		follow := sqrpc.RedirectAddress(err) != "" && tries%maxFollowed != 0
		if !follow && !sqclock.Sleep(ctx, submitPause) {
			break
		}
	}
	return nil, sqerror.New(sqerror.Config{Kind: sqerror.OutcomeUnknown, Detail: "a command was not answered in time", Cause: last})
}

func (c *Client) submitOnce(ctx context.Context, control sqrpc.Control, cmd *sqcommand.Command) (*sqcommand.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
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
