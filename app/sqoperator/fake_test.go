package sqoperator

import (
	"context"
	"strconv"
	"sync"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqrpc"
)

// fakeControl implements the service of a control process in memory. It holds the
// lease if holder is the fake itself.
type fakeControl struct {
	sqrpc.Control
	mu       sync.Mutex
	id       *sqrpc.IdentityResponse
	members  []*sqrpc.Member
	holder   *fakeControl
	version  uint64
	results  map[string]*sqcommand.Result
	commands []*sqcommand.Command
	// lostResponses is how many responses are lost after the commit.
	lostResponses int
	// setupGate, if set, blocks Setup until the channel is closed.
	setupGate chan struct{}
	entries   []*sqrpc.EntryView
}

func (f *fakeControl) Identity(context.Context, *sqrpc.IdentityRequest) (*sqrpc.IdentityResponse, error) {
	return f.id, nil
}

func (f *fakeControl) Setup(_ context.Context, r *sqrpc.SetupRequest) (*sqrpc.SetupResponse, error) {
	if f.setupGate != nil {
		<-f.setupGate
	}
	if f.id.GetCluster() != "" {
		return nil, sqrpc.ToTwirp(sqerror.New(sqerror.Config{Kind: sqerror.AlreadyBootstrapped}))
	}
	f.id.Cluster, f.members = r.GetCluster(), r.GetMembers()
	return &sqrpc.SetupResponse{}, nil
}

func (f *fakeControl) Status(context.Context, *sqrpc.StatusRequest) (*sqrpc.StatusResponse, error) {
	status := &sqrpc.StatusResponse{Identity: f.id, Members: f.members, Holder: f.holder.id.GetAddress(), HoldsLease: f.holder == f}
	if f.holder == f {
		status.ConfigurationVersion = f.version
		status.Entries = f.entries
		status.Endpoints = []*sqrpc.EndpointView{{Id: "engine-1", Zone: "zoneA", Address: "127.0.0.1:1", Kind: "engine", Role: "both", State: "live", Cheap: true}}
		status.UnsettledCalls = []*sqcommand.CallRecord{{Call: &sqcommand.Call{Team: "gent", Identity: "b-7", Service: "booking", Endpoint: "booking-1"}}}
		status.Orders = []*sqcommand.OrderRecord{{Order: &sqcommand.Order{Id: "order-1", Kind: sqcommand.OrderKind_ORDER_KIND_ROLE, Target: "engine-1", Argument: "prefill", Reason: "long prompts wait"}}}
	}
	return status, nil
}

func (f *fakeControl) checkHolder() error {
	if f.holder == f {
		return nil
	}
	return sqrpc.ToTwirp(sqerror.New(sqerror.Config{Kind: sqerror.NotHolder, RedirectAddress: f.holder.id.GetAddress()}))
}

func (f *fakeControl) apply(cmd *sqcommand.Command) *sqcommand.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	if result, ok := f.results[cmd.GetOperationId()]; ok {
		return result
	}
	result := &sqcommand.Result{Version: f.version + 1}
	if publish := cmd.GetPublish(); publish != nil && publish.GetBaseVersion() != f.version {
		return &sqcommand.Result{Error: uint32(sqerror.Conflict), Detail: "version " + strconv.FormatUint(f.version, 10) + " is current"}
	}
	if withdraw := cmd.GetWithdrawKey(); withdraw != nil && withdraw.GetKeyId() == "none" {
		return &sqcommand.Result{Error: uint32(sqerror.UnknownKey), Detail: "no key none"}
	}
	f.version++
	f.commands = append(f.commands, cmd)
	f.results[cmd.GetOperationId()] = result
	return result
}

func (f *fakeControl) Publish(_ context.Context, r *sqrpc.SubmitRequest) (*sqrpc.PublishResponse, error) {
	if err := f.checkHolder(); err != nil {
		return nil, err
	}
	return &sqrpc.PublishResponse{Result: f.apply(r.GetCommand()), InForce: true, WaitedMillis: 12}, nil
}

func (f *fakeControl) Submit(_ context.Context, r *sqrpc.SubmitRequest) (*sqrpc.SubmitResponse, error) {
	if err := f.checkHolder(); err != nil {
		return nil, err
	}
	result := f.apply(r.GetCommand())
	if f.lostResponses > 0 {
		f.lostResponses--
		return nil, sqrpc.ToTwirp(sqerror.New(sqerror.Config{Kind: sqerror.OutcomeUnknown}))
	}
	return &sqrpc.SubmitResponse{Result: result}, nil
}

func (f *fakeControl) Explain(context.Context, *sqrpc.ExplainRequest) (*sqrpc.ExplainResponse, error) {
	return nil, sqrpc.ToTwirp(sqerror.New(sqerror.Config{Kind: sqerror.NotFound}))
}

func (f *fakeControl) Report(_ context.Context, r *sqrpc.ReportRequest) (*sqrpc.ReportResponse, error) {
	if err := f.checkHolder(); err != nil {
		return nil, err
	}
	return &sqrpc.ReportResponse{
		Burn: []*sqrpc.BurnWindow{
			{Team: "gent", Service: "assistant", WindowSeconds: 300, Good: 90, Bad: 10, ObjectivePercent: 99, Rate: 10},
			{Team: "gent", Service: "assistant", WindowSeconds: 3600, Good: 999, Bad: 1, ObjectivePercent: 99, Rate: 0.1},
		},
		Usage:    []*sqcommand.UsageWindow{{Window: 1, ToUnixNano: 60e9, Reported: true, Lines: []*sqcommand.UsageLine{{Team: "gent", Service: "assistant", Model: "walks", PromptTokens: 7, OutputTokens: 9, Requests: 1}}}},
		Spending: []*sqrpc.SpendingLine{{Zone: "zoneA", Cheap: true, Hours: 2, Price: 1800}},
	}, nil
}

type fakeEntry struct{ sqrpc.Entry }

func (fakeEntry) Explain(_ context.Context, r *sqrpc.ExplainRequest) (*sqrpc.ExplainResponse, error) {
	if r.GetDecision() != "entry1-5" {
		return nil, sqrpc.ToTwirp(sqerror.New(sqerror.Config{Kind: sqerror.NotFound}))
	}
	return &sqrpc.ExplainResponse{Lines: []string{"The request went to engine-1.", "It holds the longest prefix."}}, nil
}
