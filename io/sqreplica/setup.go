package sqreplica

import (
	"time"

	"google.golang.org/protobuf/proto"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqraft"
	"sequoiadock/io/sqclock"
)

// setupIndex and setupTerm name the entry that every first member writes by
// itself; it holds the first membership and is equal on all.
const (
	setupIndex = 1
	setupTerm  = 1
)

// refusalLogEvery is how often refused messages are logged at most.
const refusalLogEvery = 10 * time.Second

// Setup gives an empty replica its cluster and first members, of which it must
// be one. The same set-up again is no error; any other gives AlreadySetUp.
func (r *Replica) Setup(cluster, deployment string, members []Member) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failed != nil {
		return r.failed
	}
	members = byID(members)
	founding := foundingSum(cluster, deployment, members)
	if r.identity.Cluster() != "" && (r.identity.Cluster() != cluster || r.identity.cfg.founding != founding) {
		return sqerror.New(sqerror.Config{
			Kind: sqerror.AlreadySetUp, Detail: "the replica belongs to cluster " + r.identity.Cluster(),
			Advice: "a set-up is made once; use replace for a replica that lost its disk",
		})
	}
	if cluster == "" {
		return badSetup("the cluster needs a name")
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
	if err := r.join(cluster, deployment, founding); err != nil {
		return err
	}
	return r.found(members)
}

// found writes the first membership. A crash before leaves a replica with an
// identity and an empty log, which the same set-up or a leader completes.
func (r *Replica) found(members []Member) error {
	entry := &sqraft.Entry{
		Index: setupIndex, Term: setupTerm, Kind: sqraft.EntryKind_MEMBERSHIP,
		Membership: sqraft.MembershipOf(members),
	}
	hard := r.disk.HardState()
	next := &sqraft.HardState{Term: max(setupTerm, hard.GetTerm()), Vote: hard.GetVote(), Commit: setupIndex}
	if hard.GetTerm() < setupTerm {
		next.Vote = 0
	}
	if err := r.disk.Append(next, []*sqraft.Entry{entry}); err != nil {
		r.failed = err
		r.inbox.signal()
		return err
	}
	r.startRaft(next, nil, []*sqraft.Entry{entry})
	r.event(sqevent.ReplicaBootstrapped, r.identity.Cluster(), r.identity.Deployment(), names(members))
	r.publish()
	r.inbox.signal()
	return nil
}

// join makes the membership in a cluster last and starts with an empty log.
func (r *Replica) join(cluster, deployment string, founding uint64) error {
	if r.identity.Cluster() != "" {
		return nil
	}
	record := &sqraft.IdentityRecord{
		Id: r.identity.ID(), Cluster: cluster, Deployment: deployment, Founding: founding,
	}
	if err := r.disk.SaveIdentity(record); err != nil {
		r.failed = err
		r.inbox.signal()
		return err
	}
	r.identity = newIdentity(r.cfg, record)
	r.startRaft(nil, nil, nil)
	r.publish()
	r.inbox.signal()
	return nil
}

// Deliver takes messages from another replica. It gives WrongCluster for
// messages of another cluster, to another identity or with other times.
func (r *Replica) Deliver(cluster string, from, to uint64, messages [][]byte) error {
	for _, b := range messages {
		m := &sqraft.Message{}
		if err := proto.Unmarshal(b, m); err != nil {
			return r.refuse(from, "a message cannot be decoded")
		}
		if m.GetFrom() != from || m.GetTo() != to {
			return r.refuse(from, "a message is not from or to whom its envelope says")
		}
		if err := r.admit(cluster, m); err != nil {
			return err
		}
		r.inbox.addMessage(m)
	}
	return nil
}

// admit checks that a message is meant for this replica. An empty replica joins
// the cluster of the first leader that addresses its random identity: only an
// operator who read that identity can have made it a member.
func (r *Replica) admit(cluster string, m *sqraft.Message) error {
	own := r.Identity()
	if m.GetTo() != own.ID() {
		return r.refuse(m.GetFrom(), "the message is for another identity; was the folder replaced?")
	}
	if m.GetTiming() != r.timing {
		return r.refuse(m.GetFrom(), "heartbeat, election timeout, lease or clock drift differ in the settings")
	}
	if err := r.checkDeployment(m.GetDeployment()); err != nil {
		r.noteRefusal(m.GetFrom(), err)
		return err
	}
	if own.Cluster() == "" {
		return r.admitFirst(cluster, m)
	}
	if cluster != own.Cluster() || m.GetFounding() != own.cfg.founding {
		return r.refuse(m.GetFrom(), "the message is from another cluster or another set-up")
	}
	return nil
}

func (r *Replica) admitFirst(cluster string, m *sqraft.Message) error {
	switch m.GetKind() {
	case sqraft.MessageKind_HEARTBEAT, sqraft.MessageKind_APPEND, sqraft.MessageKind_INSTALL:
	default:
		return r.refuse(m.GetFrom(), "the replica belongs to no cluster yet")
	}
	if cluster == "" {
		return r.refuse(m.GetFrom(), "the message names no cluster")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failed != nil {
		return r.failed
	}
	if r.identity.Cluster() != "" {
		return nil
	}
	if err := r.join(cluster, m.GetDeployment(), m.GetFounding()); err != nil {
		return err
	}
	r.event(sqevent.ReplicaJoined, cluster, m.GetFrom())
	return nil
}

func (r *Replica) refuse(from uint64, detail string) error {
	err := sqerror.New(sqerror.Config{Kind: sqerror.WrongCluster, Detail: detail})
	r.noteRefusal(from, err)
	return err
}

// noteRefusal logs a refusal, but not each of those that come with every
// heartbeat.
func (r *Replica) noteRefusal(from uint64, err error) {
	now := sqclock.Now().UnixNano()
	last := r.refusedAt.Load()
	if now-last < int64(refusalLogEvery) || !r.refusedAt.CompareAndSwap(last, now) {
		return
	}
	r.event(sqevent.ReplicaRefused, from, err.Error())
}
