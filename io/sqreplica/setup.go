package sqreplica

import (
	"time"

	"google.golang.org/protobuf/proto"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqraft"
	"sequoiadock/io/sqclock"
)

// bootstrapIndex and bootstrapTerm are the index and the term of the entry that
// every first member writes to its own log. The entry holds the first membership and is equal
// on all first members.
const (
	bootstrapIndex = 1
	bootstrapTerm  = 1
)

// refusalLogInterval is the shortest time between two log lines about refused
// messages.
const refusalLogInterval = 10 * time.Second

// Bootstrap assigns an empty replica to a cluster with its first members, which must
// include the replica. Repeating the same call is no error; a different one
// returns AlreadyBootstrapped.
func (r *Replica) Bootstrap(cluster, deployment string, members []Member) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failed != nil {
		return r.failed
	}
	members = sortedByID(members)
	setupHash := hashBootstrap(cluster, deployment, members)
	if r.identity.Cluster() != "" && (r.identity.Cluster() != cluster || r.identity.cfg.setupHash != setupHash) {
		return sqerror.New(sqerror.Config{
			Kind: sqerror.AlreadyBootstrapped, Detail: "the replica belongs to cluster " + r.identity.Cluster(),
			Advice: "a set-up is made once; use replace for a replica that lost its disk",
		})
	}
	if cluster == "" {
		return badSetupError("the cluster needs a name")
	}
	if err := r.checkDeployment(deployment); err != nil {
		return err
	}
	if err := checkMembers(r.identity.ID(), members); err != nil {
		return err
	}
	if r.raft != nil && r.raft.LastIndex() > 0 {
		return nil
	}
	if err := r.joinCluster(cluster, deployment, setupHash); err != nil {
		return err
	}
	return r.writeFirstMembership(members)
}

// writeFirstMembership writes the entry with the first membership. A crash before it
// leaves a replica with a cluster and an empty log; the same bootstrap or a leader
// then completes the log.
func (r *Replica) writeFirstMembership(members []Member) error {
	entry := &sqraft.Entry{
		Index: bootstrapIndex, Term: bootstrapTerm, Kind: sqraft.EntryKind_MEMBERSHIP,
		Membership: sqraft.MembershipOf(members),
	}
	old := r.disk.HardState()
	hardState := &sqraft.HardState{Term: max(bootstrapTerm, old.GetTerm()), Vote: old.GetVote(), Commit: bootstrapIndex}
	if old.GetTerm() < bootstrapTerm {
		hardState.Vote = 0
	}
	if err := r.disk.Append(hardState, []*sqraft.Entry{entry}); err != nil {
		r.failed = err
		r.inbox.notify()
		return err
	}
	r.startRaft(hardState, nil, []*sqraft.Entry{entry})
	r.logEvent(sqevent.ReplicaBootstrapped, r.identity.Cluster(), r.identity.Deployment(), memberNames(members))
	r.publishView()
	r.inbox.notify()
	return nil
}

// joinCluster stores durably which cluster the replica belongs to and starts Raft with
// an empty log.
func (r *Replica) joinCluster(cluster, deployment string, setupHash uint64) error {
	if r.identity.Cluster() != "" {
		return nil
	}
	record := &sqraft.IdentityRecord{
		Id: r.identity.ID(), Cluster: cluster, Deployment: deployment, Founding: setupHash,
	}
	if err := r.disk.SaveIdentity(record); err != nil {
		r.failed = err
		r.inbox.notify()
		return err
	}
	r.identity = newIdentity(r.cfg, record)
	r.startRaft(nil, nil, nil)
	r.publishView()
	r.inbox.notify()
	return nil
}

// Deliver receives messages from another replica. It returns WrongCluster for
// messages from another cluster, to another identity or with other timing
// settings.
func (r *Replica) Deliver(cluster string, from, to uint64, messages [][]byte) error {
	for _, b := range messages {
		m := &sqraft.Message{}
		if err := proto.Unmarshal(b, m); err != nil {
			return r.refuseMessage(from, "a message cannot be decoded")
		}
		if m.GetFrom() != from || m.GetTo() != to {
			return r.refuseMessage(from, "a message is not from or to whom its envelope says")
		}
		if err := r.checkMessage(cluster, m); err != nil {
			return err
		}
		r.inbox.addMessage(m)
	}
	return nil
}

// checkMessage checks that a message is meant for this replica. An empty replica
// joins the cluster of the first leader that addresses its random identity: only
// an operator who read that identity can have made the replica a member.
func (r *Replica) checkMessage(cluster string, m *sqraft.Message) error {
	ownIdentity := r.Identity()
	if m.GetTo() != ownIdentity.ID() {
		return r.refuseMessage(m.GetFrom(), "the message is for another identity; was the folder replaced?")
	}
	if m.GetTiming() != r.timingHash {
		return r.refuseMessage(m.GetFrom(), "heartbeat, election timeout, lease or clock drift differ in the settings")
	}
	if err := r.checkDeployment(m.GetDeployment()); err != nil {
		r.logRefusal(m.GetFrom(), err)
		return err
	}
	if ownIdentity.Cluster() == "" {
		return r.joinFromMessage(cluster, m)
	}
	if cluster != ownIdentity.Cluster() || m.GetFounding() != ownIdentity.cfg.setupHash {
		return r.refuseMessage(m.GetFrom(), "the message is from another cluster or another set-up")
	}
	return nil
}

// joinFromMessage joins the cluster of the leader that sent m.
func (r *Replica) joinFromMessage(cluster string, m *sqraft.Message) error {
	switch m.GetKind() {
	case sqraft.MessageKind_HEARTBEAT, sqraft.MessageKind_APPEND, sqraft.MessageKind_INSTALL:
	default:
		return r.refuseMessage(m.GetFrom(), "the replica belongs to no cluster yet")
	}
	if cluster == "" {
		return r.refuseMessage(m.GetFrom(), "the message names no cluster")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failed != nil {
		return r.failed
	}
	if r.identity.Cluster() != "" {
		return nil
	}
	if err := r.joinCluster(cluster, m.GetDeployment(), m.GetFounding()); err != nil {
		return err
	}
	r.logEvent(sqevent.ReplicaJoined, cluster, m.GetFrom())
	return nil
}

func (r *Replica) refuseMessage(from uint64, detail string) error {
	err := sqerror.New(sqerror.Config{Kind: sqerror.WrongCluster, Detail: detail})
	r.logRefusal(from, err)
	return err
}

// logRefusal logs a refusal unless another one was logged within
// refusalLogInterval: every heartbeat of a misconfigured replica is refused.
func (r *Replica) logRefusal(from uint64, err error) {
	now := sqclock.Now().UnixNano()
	last := r.lastRefusalLogAt.Load()
	if now-last < int64(refusalLogInterval) || !r.lastRefusalLogAt.CompareAndSwap(last, now) {
		return
	}
	r.logEvent(sqevent.ReplicaRefused, from, err.Error())
}
