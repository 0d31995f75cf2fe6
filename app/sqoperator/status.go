package sqoperator

import (
	"context"
	"fmt"
	"text/tabwriter"

	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqrpc"
)

var statusCommand = subcommand{
	name:    "status",
	summary: "show processes, endpoints, open orders and unsettled calls",
	help: `Asks every control process named by -controls and shows what the lease holder
knows. The command succeeds (exit code 0) only if some process holds the lease.`,
	run: runStatus,
}

func runStatus(ctx context.Context, c *invocation) error {
	if err := c.requireArgs(0); err != nil {
		return err
	}
	client, err := c.newClient()
	if err != nil {
		return err
	}
	statuses := client.queryStatuses(ctx)
	var holderStatus *sqrpc.StatusResponse
	for _, s := range statuses {
		if s.GetHoldsLease() {
			holderStatus = s
		}
	}
	if c.jsonOutput {
		if err := c.printStatusJSON(client.addresses, statuses); err != nil {
			return err
		}
	} else {
		c.printControls(client.addresses, statuses)
		c.printHolder(holderStatus)
	}
	if holderStatus == nil {
		return sqerror.New(sqerror.Config{
			Kind: sqerror.NotHolder, Detail: "no control process holds the lease", Advice: "a majority must run and reach each other; ask again in a few seconds",
		})
	}
	return nil
}

// queryStatuses returns the status of the process at each address, or nil if
// the request failed.
func (c *clusterClient) queryStatuses(ctx context.Context) []*sqrpc.StatusResponse {
	statuses := make([]*sqrpc.StatusResponse, len(c.addresses))
	c.forEachAddress(ctx, c.addresses, func(ctx context.Context, i int) {
		status, err := c.controlClient(c.addresses[i]).Status(ctx, &sqrpc.StatusRequest{})
		if err == nil {
			statuses[i] = status
		}
	})
	return statuses
}

// holderStatus returns the status of the lease holder.
func (c *clusterClient) holderStatus(ctx context.Context) (*sqrpc.StatusResponse, error) {
	var status *sqrpc.StatusResponse
	err := c.callHolder(ctx, responseTimeout, func(ctx context.Context, control sqrpc.Control) error {
		var err error
		status, err = control.Status(ctx, &sqrpc.StatusRequest{})
		if err != nil || status.GetHoldsLease() {
			return err
		}
		// Every control process answers Status, so only HoldsLease in the response
		// shows whether this one holds the lease.
		return sqrpc.ToTwirp(sqerror.New(sqerror.Config{Kind: sqerror.NotHolder, RedirectAddress: status.GetHolder()}))
	})
	return status, err
}

func (c *invocation) printControls(addresses []string, statuses []*sqrpc.StatusResponse) {
	w := c.newTable("CONTROL", "ADDRESS", "ZONE", "STATE", "TERM", "APPLIED", "VERSION")
	for i, s := range statuses {
		if s == nil {
			fmt.Fprintf(w, "?\t%s\t\tno answer\t\t\t\n", addresses[i])
			continue
		}
		id := s.GetIdentity()
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\n", id.GetName(), id.GetAddress(), id.GetZone(), controlState(s),
			s.GetTerm(), s.GetApplied(), s.GetConfigurationVersion())
	}
	c.flushTable(w)
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

func (c *invocation) printHolder(s *sqrpc.StatusResponse) {
	if s == nil {
		return
	}
	w := c.newTable("\nENTRY", "CALLERS", "ZONE", "STATE", "VERSION")
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
	c.flushTable(w)
	w = c.newTable("\nENDPOINT", "KIND", "ADDRESS", "ZONE", "STATE", "ROLE", "PRICE")
	for _, e := range s.GetEndpoints() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", e.GetId(), e.GetKind(), e.GetAddress(), e.GetZone(), e.GetState(), e.GetRole(), priceClass(e.GetCheap()))
	}
	c.flushTable(w)
	c.printOrders(s)
	c.printCalls(s)
}

func priceClass(cheap bool) string {
	if cheap {
		return "cheap"
	}
	return "dear"
}

func (c *invocation) printOrders(s *sqrpc.StatusResponse) {
	openCount := 0
	w := c.newTable("\nOPEN ORDER", "KIND", "TARGET", "ARGUMENT", "REASON")
	for _, o := range s.GetOrders() {
		if o.GetClosed() {
			continue
		}
		openCount++
		order := o.GetOrder()
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", order.GetId(), orderKindName(order.GetKind()), order.GetTarget(), order.GetArgument(), order.GetReason())
	}
	if openCount > 0 {
		c.flushTable(w)
	}
}

func (c *invocation) printCalls(s *sqrpc.StatusResponse) {
	if len(s.GetUnsettledCalls()) == 0 {
		return
	}
	w := c.newTable("\nUNSETTLED CALL", "TEAM", "SERVICE", "ENDPOINT")
	for _, r := range s.GetUnsettledCalls() {
		call := r.GetCall()
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", call.GetIdentity(), call.GetTeam(), call.GetService(), call.GetEndpoint())
	}
	c.flushTable(w)
}

func (c *invocation) newTable(columns ...string) *tabwriter.Writer {
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

// flushTable writes the buffered table to stdout. The writer of stdout keeps a
// write error, and run reports it at the end of the command.
func (c *invocation) flushTable(w *tabwriter.Writer) { _ = w.Flush() }
