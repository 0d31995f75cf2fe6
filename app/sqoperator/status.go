package sqoperator

import (
	"context"
	"fmt"
	"text/tabwriter"

	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqrpc"
)

var statusCommand = command{
	name:    "status",
	summary: "show processes, endpoints, open orders and unsettled calls",
	help: `Asks every control process named by -controls and shows what the lease holder
knows. The command succeeds (exit code 0) only if some process holds the lease.`,
	run: runStatus,
}

func runStatus(ctx context.Context, c *call) error {
	if err := c.only(0); err != nil {
		return err
	}
	control, err := c.client()
	if err != nil {
		return err
	}
	all := control.statuses(ctx)
	var holder *sqrpc.StatusResponse
	for _, s := range all {
		if s.GetHoldsLease() {
			holder = s
		}
	}
	if c.json {
		if err := c.printStatusJSON(control.addresses, all); err != nil {
			return err
		}
	} else {
		c.printControls(control.addresses, all)
		c.printHolder(holder)
	}
	if holder == nil {
		return sqerror.New(sqerror.Config{
			Kind: sqerror.NotHolder, Detail: "no control process holds the lease", Advice: "a majority must run and reach each other; ask again in a few seconds",
		})
	}
	return nil
}

// statuses returns one status for each address; nil for no answer.
func (c *client) statuses(ctx context.Context) []*sqrpc.StatusResponse {
	all := make([]*sqrpc.StatusResponse, len(c.addresses))
	c.each(ctx, c.addresses, func(ctx context.Context, i int) {
		status, err := c.control(c.addresses[i]).Status(ctx, &sqrpc.StatusRequest{})
		if err == nil {
			all[i] = status
		}
	})
	return all
}

// holderStatus returns the status of the lease holder.
func (c *client) holderStatus(ctx context.Context) (*sqrpc.StatusResponse, error) {
	var status *sqrpc.StatusResponse
	err := c.holder(ctx, answerTimeout, func(ctx context.Context, control sqrpc.Control) error {
		var err error
		status, err = control.Status(ctx, &sqrpc.StatusRequest{})
		if err != nil || status.GetHoldsLease() {
			return err
		}
		// Every control process answers Status, so only the answer tells.
		return sqrpc.ToTwirp(sqerror.New(sqerror.Config{Kind: sqerror.NotHolder, RedirectAddress: status.GetHolder()}))
	})
	return status, err
}

func (c *call) printControls(addresses []string, all []*sqrpc.StatusResponse) {
	w := c.table("CONTROL", "ADDRESS", "ZONE", "STATE", "TERM", "APPLIED", "VERSION")
	for i, s := range all {
		if s == nil {
			fmt.Fprintf(w, "?\t%s\t\tno answer\t\t\t\n", addresses[i])
			continue
		}
		id := s.GetIdentity()
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\n", id.GetName(), id.GetAddress(), id.GetZone(), controlState(s),
			s.GetTerm(), s.GetApplied(), s.GetConfigurationVersion())
	}
	c.flush(w)
}

func controlState(s *sqrpc.StatusResponse) string {
	if s.GetIdentity().GetCluster() == "" {
		return "not set up"
	}
	if s.GetHoldsLease() {
		return "holder"
	}
	for _, m := range s.GetMembers() {
		if m.GetId() != s.GetIdentity().GetId() {
			continue
		}
		if m.GetLearner() {
			return "learner"
		}
		return "replica"
	}
	return "no member"
}

func (c *call) printHolder(s *sqrpc.StatusResponse) {
	if s == nil {
		return
	}
	w := c.table("\nENTRY", "CALLERS", "ZONE", "STATE", "VERSION")
	for _, e := range s.GetEntries() {
		state := "fresh"
		if !e.GetFresh() {
			state = "stale"
		}
		if e.GetLeaving() {
			state = "leaving"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\n", e.GetEntry(), e.GetAddress(), e.GetZone(), state, e.GetVersion())
	}
	c.flush(w)
	w = c.table("\nENDPOINT", "KIND", "ADDRESS", "ZONE", "STATE", "ROLE", "PRICE")
	for _, e := range s.GetEndpoints() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", e.GetId(), e.GetKind(), e.GetAddress(), e.GetZone(), e.GetState(), e.GetRole(), price(e.GetCheap()))
	}
	c.flush(w)
	c.printOrders(s)
	c.printCalls(s)
}

func price(cheap bool) string {
	if cheap {
		return "cheap"
	}
	return "dear"
}

func (c *call) printOrders(s *sqrpc.StatusResponse) {
	open := 0
	w := c.table("\nOPEN ORDER", "KIND", "TARGET", "ARGUMENT", "REASON")
	for _, o := range s.GetOrders() {
		if o.GetClosed() {
			continue
		}
		open++
		order := o.GetOrder()
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", order.GetId(), orderKind(order.GetKind()), order.GetTarget(), order.GetArgument(), order.GetReason())
	}
	if open > 0 {
		c.flush(w)
	}
}

func (c *call) printCalls(s *sqrpc.StatusResponse) {
	if len(s.GetUnsettledCalls()) == 0 {
		return
	}
	w := c.table("\nUNSETTLED CALL", "TEAM", "SERVICE", "ENDPOINT")
	for _, r := range s.GetUnsettledCalls() {
		call := r.GetCall()
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", call.GetIdentity(), call.GetTeam(), call.GetService(), call.GetEndpoint())
	}
	c.flush(w)
}

func (c *call) table(columns ...string) *tabwriter.Writer {
	w := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	for i, name := range columns {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, name)
	}
	fmt.Fprintln(w)
	return w
}

// flush writes a table. Its errors reach the buffered output, which reports
// them at the end of the command.
func (c *call) flush(w *tabwriter.Writer) { _ = w.Flush() }
