package sqcontrol

import (
	"context"
	"errors"
	"time"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqevent"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqreplica"
	"sequoiadock/io/sqrpc"
)

// Limits of a replacement.
const (
	// replaceTimeout bounds the whole replacement.
	replaceTimeout = 60 * time.Second
	// replacePollInterval is how often a learner's progress is checked.
	replacePollInterval = 50 * time.Millisecond
	// maxPromotionLag is how many log entries a learner may lack when it is
	// promoted.
	maxPromotionLag = 64
)

// Replace implements sqrpc.Control. The new replica first joins as a learner and
// catches up. Then the lost replica is removed, and only then is the learner
// promoted. In any other order, the quorum would for a time count both the lost
// replica and a new one without data.
func (s *server) Replace(ctx context.Context, req *sqrpc.ReplaceRequest) (*sqrpc.ReplaceResponse, error) {
	if _, err := s.holder.currentTerm(sqclock.Now()); err != nil {
		return nil, sqrpc.ToTwirp(err)
	}
	ctx, cancel := context.WithTimeout(ctx, replaceTimeout)
	defer cancel()
	if err := s.replace(ctx, req); err != nil {
		return nil, sqrpc.ToTwirp(err)
	}
	return &sqrpc.ReplaceResponse{Promoted: true}, nil
}

func (s *server) replace(ctx context.Context, req *sqrpc.ReplaceRequest) error {
	lost, replacement, err := s.findMembers(req)
	if err != nil {
		return err
	}
	// A learner that an earlier replacement left behind, and whose disk was lost
	// too, has no vote but would block the new learner.
	if err := s.removeMembers(ctx, lost, true); err != nil {
		return err
	}
	if replacement == nil {
		m := sqreplica.NewMember(sqreplica.MemberConfig{
			ID: req.GetNewId(), Name: req.GetName(), Address: req.GetNewAddress(), Zone: lost[0].Zone(), Learner: true,
		})
		if err := s.replica.AddLearner(ctx, m); err != nil {
			return err
		}
	}
	if err := s.waitCaughtUp(ctx, req.GetNewId()); err != nil {
		return err
	}
	if err := s.removeMembers(ctx, lost, false); err != nil {
		return err
	}
	if replacement != nil && !replacement.Learner() {
		return nil
	}
	if err := s.promote(ctx, req.GetNewId()); err != nil {
		return err
	}
	s.cfg.Log.Event(sqevent.ReplicaReplaced, req.GetName(), votingID(lost), req.GetNewId())
	return nil
}

// removeMembers removes either the learners or the voters among the lost replicas.
func (s *server) removeMembers(ctx context.Context, lost []sqreplica.Member, learners bool) error {
	for _, m := range lost {
		if m.Learner() != learners {
			continue
		}
		if err := s.replica.RemoveMember(ctx, m.ID()); err != nil {
			return err
		}
	}
	return nil
}

// votingID returns the id of the voter among the lost replicas, or 0.
func votingID(lost []sqreplica.Member) uint64 {
	for _, m := range lost {
		if !m.Learner() {
			return m.ID()
		}
	}
	return 0
}

// promote gives the learner its vote as soon as it has synced the whole log.
func (s *server) promote(ctx context.Context, id uint64) error {
	for {
		err := s.replica.PromoteLearner(ctx, id)
		var e *sqerror.Error
		if !errors.As(err, &e) || e.RetryAfter() == 0 {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(e.RetryAfter()):
		}
	}
}

// findMembers returns the lost replicas of the requested name, and the replacement
// if an earlier, interrupted call added it. There are several lost replicas if a
// disk was lost again during a replacement.
func (s *server) findMembers(req *sqrpc.ReplaceRequest) (lost []sqreplica.Member, replacement *sqreplica.Member, err error) {
	for _, m := range s.replica.Members() {
		switch {
		case m.ID() == req.GetNewId():
			replacement = &m
		case m.Name() != req.GetName():
		case m.ID() == s.replica.Identity().ID():
			return nil, nil, sqerror.New(sqerror.Config{
				Kind: sqerror.MemberChange, Detail: "the holder cannot replace itself", Advice: "stop it first",
			})
		default:
			lost = append(lost, m)
		}
	}
	if lost == nil && replacement == nil {
		return nil, nil, sqerror.New(sqerror.Config{Kind: sqerror.NotFound, Detail: "no replica " + req.GetName()})
	}
	return lost, replacement, nil
}

func (s *server) waitCaughtUp(ctx context.Context, id uint64) error {
	tick := time.NewTicker(replacePollInterval)
	defer tick.Stop()
	for {
		st := s.replica.Status()
		if st.MatchIndex(id) > 0 && st.MatchIndex(id)+maxPromotionLag >= st.CommitIndex() {
			return nil
		}
		select {
		case <-ctx.Done():
			return sqerror.New(sqerror.Config{
				Kind: sqerror.MemberChange, Detail: "the new replica did not catch up in time",
				Advice: "check that it runs and can be reached, then repeat the command", Cause: ctx.Err(),
			})
		case <-tick.C:
		}
	}
}
