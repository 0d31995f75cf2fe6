package sqcoordinator

import (
	"context"

	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqrpc"
)

// GrantQuota implements sqrpc.Coordinator.
func (c *coordinator) GrantQuota(context.Context, *sqrpc.GrantQuotaRequest) (*sqrpc.GrantQuotaResponse, error) {
	if _, err := c.currentTerm(sqclock.Now()); err != nil {
		return nil, sqrpc.ToTwirp(err)
	}
	return nil, sqrpc.ToTwirp(sqerror.New(sqerror.Config{Kind: sqerror.NotFound, Detail: "no quotas are kept"}))
}
