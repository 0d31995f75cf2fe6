package sqoperator

import (
	"context"
	"strings"

	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqrpc"
)

var explainCommand = subcommand{
	name:    "explain",
	args:    "DECISION",
	summary: "explain the reasons for a decision in plain words",
	help: `DECISION is the value of the header Sequoiadock-Decision of an answer, or the
identity of an order. Entries keep the decisions on their last requests in
memory; orders are kept in the replicated state.`,
	run: runExplain,
}

func runExplain(ctx context.Context, c *invocation) error {
	if err := c.requireArgs(1); err != nil {
		return err
	}
	client, err := c.newClient()
	if err != nil {
		return err
	}
	status, err := client.holderStatus(ctx)
	if err != nil {
		return err
	}
	lines, err := client.explain(ctx, status, c.args[0])
	if err != nil {
		return err
	}
	if c.jsonOutput {
		return c.printJSON(struct {
			Decision string   `json:"decision"`
			Lines    []string `json:"lines"`
		}{c.args[0], lines})
	}
	for _, line := range lines {
		c.printf("%s\n", line)
	}
	return nil
}

// explain asks all entries and the lease holder concurrently; at most one of
// them has a record of the decision.
func (c *clusterClient) explain(ctx context.Context, status *sqrpc.StatusResponse, decision string) ([]string, error) {
	var addresses, entryNames []string
	for _, e := range status.GetEntries() {
		if e.GetInternal() != "" {
			addresses = append(addresses, e.GetInternal())
			entryNames = append(entryNames, e.GetEntry())
		}
	}
	entryCount := len(addresses)
	addresses = append(addresses, status.GetIdentity().GetAddress())
	responses := make([]*sqrpc.ExplainResponse, len(addresses))
	errs := make([]error, len(addresses))
	request := &sqrpc.ExplainRequest{Decision: decision}
	c.forEachAddress(ctx, addresses, func(ctx context.Context, i int) {
		if i < entryCount {
			responses[i], errs[i] = c.entryClient(addresses[i]).Explain(ctx, request)
		} else {
			responses[i], errs[i] = c.controlClient(addresses[i]).Explain(ctx, request)
		}
	})
	for i, r := range responses {
		if errs[i] == nil && len(r.GetLines()) > 0 {
			return r.GetLines(), nil
		}
	}
	return nil, explainError(decision, entryNames, errs)
}

// explainError returns an error of kind Unreachable if the entry that made the
// decision did not respond, and of kind NotFound otherwise.
func explainError(decision string, entryNames []string, errs []error) error {
	for i, name := range entryNames {
		err := sqrpc.FromTwirp(errs[i])
		if strings.HasPrefix(decision, name+"-") && sqerror.KindOf(err) == sqerror.Unreachable {
			return sqerror.New(sqerror.Config{
				Kind: sqerror.Unreachable, Detail: "entry " + name + " made the decision and does not answer", Cause: err,
			})
		}
	}
	return sqerror.New(sqerror.Config{
		Kind: sqerror.NotFound, Detail: "no process knows decision " + decision,
		Advice: "check the identity; entries forget the oldest decisions, and all of them at a restart",
	})
}
