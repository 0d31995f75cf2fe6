package sqcontrol

import (
	"context"

	"github.com/VictoriaMetrics/metrics"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqstate"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqmachine"
	"sequoiadock/io/sqreplica"
	"sequoiadock/io/sqrpc"
)

// server implements sqrpc.Control.
type server struct {
	cfg     Config
	replica *sqreplica.Replica
	machine *sqmachine.StateMachine
	holder  *holder
	// metrics are the replica's metrics.
	metrics *metrics.Set
}

var _ sqrpc.Control = (*server)(nil)

// Identity implements sqrpc.Control.
func (s *server) Identity(context.Context, *sqrpc.IdentityRequest) (*sqrpc.IdentityResponse, error) {
	return s.identity(), nil
}

func (s *server) identity() *sqrpc.IdentityResponse {
	id := s.replica.Identity()
	return &sqrpc.IdentityResponse{
		Id: id.ID(), Name: id.Name(), Zone: id.Zone(), Address: id.Address(),
		Cluster: id.Cluster(), Deployment: s.cfg.Deployment,
	}
}

// Setup implements sqrpc.Control.
func (s *server) Setup(_ context.Context, req *sqrpc.SetupRequest) (*sqrpc.SetupResponse, error) {
	if req.GetDeployment() != s.cfg.Deployment {
		return nil, sqrpc.ToTwirp(sqerror.New(sqerror.Config{
			Kind:   sqerror.WrongCluster,
			Detail: "the settings of " + s.cfg.Name + " name deployment " + s.cfg.Deployment + ", not " + req.GetDeployment(),
		}))
	}
	members := make([]sqreplica.Member, 0, len(req.GetMembers()))
	for _, m := range req.GetMembers() {
		members = append(members, sqreplica.NewMember(sqreplica.MemberConfig{
			ID: m.GetId(), Name: m.GetName(), Address: m.GetAddress(), Zone: m.GetZone(),
		}))
	}
	if err := s.replica.Bootstrap(req.GetCluster(), req.GetDeployment(), members); err != nil {
		return nil, sqrpc.ToTwirp(err)
	}
	s.cfg.Log.Event(sqevent.Bootstrapped, req.GetCluster(), len(members))
	return &sqrpc.SetupResponse{}, nil
}

// Status implements sqrpc.Control.
func (s *server) Status(context.Context, *sqrpc.StatusRequest) (*sqrpc.StatusResponse, error) {
	st := s.replica.Status()
	res := &sqrpc.StatusResponse{
		Identity: s.identity(), Holder: st.LeaderAddress(), Term: st.Term(),
		Committed: st.CommitIndex(), Applied: st.AppliedIndex(),
	}
	for _, m := range s.replica.Members() {
		res.Members = append(res.Members, &sqrpc.Member{
			Id: m.ID(), Name: m.Name(), Address: m.Address(), Zone: m.Zone(), Learner: m.Learner(),
		})
	}
	s.machine.Read(func(state *sqstate.State) {
		res.ConfigurationVersion = state.Version()
		res.Orders = state.Orders()
		res.UnsettledCalls = state.Calls(sqcommand.CallState_CALL_STATE_UNKNOWN)
	})
	if t, err := s.holder.currentTerm(sqclock.Now()); err == nil {
		res.HoldsLease = true
		res.Entries = s.holder.entryViews(t)
		res.Endpoints = endpointViews(s.holder.endpoints(t))
	}
	return res, nil
}

// Submit implements sqrpc.Control. It accepts the commands of entries and
// operators. The commands of the holder itself are not accepted from other
// processes.
func (s *server) Submit(ctx context.Context, req *sqrpc.SubmitRequest) (*sqrpc.SubmitResponse, error) {
	res, err := s.submit(ctx, req.GetCommand())
	if err != nil {
		return nil, sqrpc.ToTwirp(err)
	}
	return &sqrpc.SubmitResponse{Result: res}, nil
}

func (s *server) submit(ctx context.Context, c *sqcommand.Command) (*sqcommand.Result, error) {
	if !isExternalCommand(c) {
		return nil, sqerror.New(sqerror.Config{Kind: sqerror.BadRequest, Detail: "not a command for other processes"})
	}
	if _, err := s.holder.currentTerm(sqclock.Now()); err != nil {
		return nil, err
	}
	return s.holder.propose(ctx, c)
}

func isExternalCommand(c *sqcommand.Command) bool {
	switch c.GetBody().(type) {
	case *sqcommand.Command_Publish, *sqcommand.Command_GrantKey, *sqcommand.Command_WithdrawKey,
		*sqcommand.Command_BeginCalls, *sqcommand.Command_FinishCalls, *sqcommand.Command_SettleCall,
		*sqcommand.Command_RecordUsage, *sqcommand.Command_SetDrain:
		return true
	default:
		return false
	}
}

// Publish implements sqrpc.Control. It submits the command and waits until no entry
// can act on an older configuration or older keys.
func (s *server) Publish(ctx context.Context, req *sqrpc.SubmitRequest) (*sqrpc.PublishResponse, error) {
	start := sqclock.Now()
	res, err := s.submit(ctx, req.GetCommand())
	if err != nil {
		return nil, sqrpc.ToTwirp(err)
	}
	out := &sqrpc.PublishResponse{Result: res}
	if res.GetError() != 0 {
		return out, nil
	}
	s.cfg.Log.Event(sqevent.ConfigurationCommitted, res.GetVersion())
	out.InForce, err = s.holder.waitInForce(ctx)
	if err != nil {
		return nil, sqrpc.ToTwirp(err)
	}
	waited := sqclock.Now().Sub(start)
	out.WaitedMillis = uint32(waited.Milliseconds())
	if out.InForce {
		s.holder.metrics.inForce.Update(waited.Seconds())
		s.cfg.Log.Event(sqevent.ConfigurationInForce, res.GetVersion(), out.WaitedMillis)
	}
	return out, nil
}
