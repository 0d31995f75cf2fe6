// Package sqreplica runs one replica of the replicated state machine: it connects
// the Raft implementation of sqraft to the clock, the disk and the network.
package sqreplica

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqraft"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqdisk"
)

// idlePollInterval is the interval at which a replica without a cluster checks its
// input.
const idlePollInterval = time.Second

// maxBatchDelay is the longest time that calls wait for the batch before them.
const maxBatchDelay = 1000 * time.Microsecond

// maxRecentSenders bounds the entries of Replica.recentSenders.
const maxRecentSenders = 64

// Replica is one replica of the state machine. Its methods are safe for concurrent
// use.
type Replica struct {
	cfg        Config
	timingHash uint64
	view       atomic.Pointer[view]
	inbox      *inbox
	// lastRefusalLogAt is when a refused message was last logged, in nanoseconds
	// on sqclock's clock.
	lastRefusalLogAt atomic.Int64

	// mu guards the fields below; Run holds it while it processes input.
	mu               sync.Mutex
	disk             *sqdisk.Disk
	raft             *sqraft.Raft
	identity         Identity
	appliedIndex     uint64
	failed           error
	pendingProposals map[uint64]pendingProposal
	pendingReads     map[uint64]*call
	confirmedReads   []sqraft.ReadBarrier
	// transferCall is the call of the leadership transfer in progress, or nil. It
	// finishes when another replica leads.
	transferCall *call
	// recentSenders holds the replicas that sent messages to this one. Their
	// addresses are used while this replica does not know them as members.
	recentSenders map[uint64]Member
	lastReadID    uint64
	// batchStartedAt is when the last batch of calls was started.
	batchStartedAt time.Time
	// entriesSinceSnapshot and bytesSinceSnapshot count the entries and the
	// command bytes that were applied since the last snapshot.
	entriesSinceSnapshot int
	bytesSinceSnapshot   int
}

// pendingProposal is a call whose entry is not applied yet.
type pendingProposal struct {
	term uint64
	call *call
}

// Open opens the folder and restores the state; Run starts the replica. Errors are
// of the kinds DamagedFile, DiskFailed and WrongCluster.
func Open(cfg Config) (*Replica, error) {
	cfg = cfg.withDefaults()
	if cfg.Seed == 0 {
		cfg.Seed = randomID()
	}
	disk, err := sqdisk.Open(sqdisk.Config{Folder: cfg.DataFolder, FS: cfg.FS})
	if err != nil {
		return nil, err
	}
	r := &Replica{
		cfg: cfg, disk: disk, inbox: newInbox(),
		pendingProposals: map[uint64]pendingProposal{}, pendingReads: map[uint64]*call{}, recentSenders: map[uint64]Member{},
		timingHash: hashTiming(cfg.timing()),
	}
	if err := r.restore(); err != nil {
		disk.Close()
		return nil, err
	}
	r.publishView()
	r.registerMetrics()
	return r, nil
}

// restore loads the state of the replica from the disk.
func (r *Replica) restore() error {
	if r.disk.DroppedBytes() > 0 {
		r.logEvent(sqevent.ReplicaTornRecord, r.disk.DroppedBytes())
	}
	record := r.disk.Identity()
	if record == nil {
		record = &sqraft.IdentityRecord{Id: randomID()}
		if err := r.disk.SaveIdentity(record); err != nil {
			return err
		}
		r.logEvent(sqevent.ReplicaIdentityCreated, record.GetId())
	}
	r.identity = newIdentity(r.cfg, record)
	if record.GetCluster() == "" {
		return nil
	}
	if err := r.checkDeployment(record.GetDeployment()); err != nil {
		return err
	}
	if s := r.disk.Snapshot(); s != nil {
		if err := r.cfg.StateMachine.Restore(s.GetState()); err != nil {
			return err
		}
		r.appliedIndex = s.GetIndex()
	}
	r.startRaft(r.disk.HardState(), r.disk.Snapshot(), r.disk.Entries())
	r.disk.ReleaseLoaded()
	r.logEvent(sqevent.ReplicaOpened, record.GetId(), record.GetCluster(), r.raft.LastIndex())
	return nil
}

func (r *Replica) checkDeployment(name string) error {
	if r.cfg.Deployment == "" || r.cfg.Deployment == name {
		return nil
	}
	return sqerror.New(sqerror.Config{
		Kind:   sqerror.WrongCluster,
		Detail: "the deployment is " + name + " but the settings say " + r.cfg.Deployment,
		Advice: "give each deployment its own data folder and addresses",
	})
}

func (r *Replica) startRaft(hardState *sqraft.HardState, s *sqraft.Snapshot, entries []*sqraft.Entry) {
	r.raft = sqraft.New(sqraft.Config{
		ID: r.identity.ID(), Timing: r.cfg.timing(), Seed: r.cfg.Seed, Start: sqclock.Now(),
		HardState: hardState, Snapshot: s, Entries: entries,
		TrailingEntries: uint64(r.cfg.SnapshotEntries / trailingEntriesDivisor),
	})
}

// Run runs the replica until ctx is done, and then returns nil. It returns an error
// of kind DiskFailed when the disk fails, and of kind WrongCluster when messages
// of the leader conflict with entries committed here. It closes the folder.
func (r *Replica) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			r.stop(sqerror.New(sqerror.Config{Kind: sqerror.Stopped, Detail: "the replica has stopped"}))
			return nil
		case <-r.inbox.wake:
		case <-timer.C:
		}
		wait, err := r.processInput()
		if err != nil {
			r.logEvent(sqevent.ReplicaFailed, err.Error())
			r.stop(err)
			return err
		}
		timer.Reset(wait)
	}
}

// processInput processes all queued messages and calls and returns how long to
// wait before the next call of processInput.
func (r *Replica) processInput() (time.Duration, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delay := r.batchDelay()
	messages, calls := r.inbox.take(delay <= 0)
	if r.raft == nil {
		for _, c := range calls {
			c.finish(nil, notSetUpError())
		}
		return idlePollInterval, r.failed
	}
	for _, m := range messages {
		r.recordSender(m)
		if err := r.raft.Step(sqclock.Now(), m); err != nil {
			return 0, err
		}
	}
	if len(calls) > 0 {
		r.batchStartedAt = sqclock.Now()
	}
	for _, c := range calls {
		r.startCall(c)
	}
	r.raft.Tick(sqclock.Now())
	if err := r.processReady(); err != nil {
		return 0, err
	}
	if err := r.maybeSnapshot(); err != nil {
		return 0, err
	}
	r.publishView()
	r.finishTransfer()
	wait := r.raft.NextTickAt().Sub(sqclock.Now())
	if r.inbox.hasCalls() {
		wait = min(wait, max(r.batchDelay(), 0))
	}
	return wait, nil
}

// batchDelay returns how much longer queued calls should wait, so that the calls
// that arrive while a batch is in progress form the next batch. Without this
// delay, a batch would start with the first caller that returns, and most syncs
// would cover few commands.
func (r *Replica) batchDelay() time.Duration {
	if len(r.pendingProposals) == 0 {
		return 0
	}
	return maxBatchDelay - sqclock.Now().Sub(r.batchStartedAt)
}

// recordSender stores the address of the sender of m, which may not be a member
// yet: a replica that joins has an empty membership and must still respond to the
// leader.
func (r *Replica) recordSender(m *sqraft.Message) {
	if len(r.recentSenders) >= maxRecentSenders {
		clear(r.recentSenders)
	}
	r.recentSenders[m.GetFrom()] = NewMember(MemberConfig{ID: m.GetFrom(), Address: m.GetAddress()})
}

// stop fails all queued and pending calls. It ends the lease before it closes the
// folder.
func (r *Replica) stop(cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = cause
	r.publishView()
	r.inbox.close(cause)
	r.failPending()
	if r.transferCall != nil {
		r.transferCall.finish(nil, cause)
	}
	r.disk.Close()
}

func (r *Replica) logEvent(e sqevent.Event, values ...any) {
	if r.cfg.Log != nil {
		r.cfg.Log.Event(e, values...)
	}
}

func (r *Replica) logChanges(old, v *view) {
	if old == nil {
		return
	}
	if old.status.cfg.role != v.status.cfg.role || old.status.cfg.term != v.status.cfg.term {
		r.logEvent(sqevent.ReplicaRole, string(v.status.Role()), v.status.Term(), v.status.LeaderAddress())
	}
	if len(old.members) != len(v.members) {
		r.logEvent(sqevent.ReplicaMembers, memberNames(v.members))
	}
}

func memberNames(members []Member) []string {
	var list []string
	for _, m := range members {
		list = append(list, m.Name())
	}
	return list
}

func notSetUpError() error {
	return sqerror.New(sqerror.Config{
		Kind: sqerror.NotBootstrapped, Execution: sqerror.NotRun, Detail: "the replica belongs to no cluster yet",
		Advice: "set up the deployment, or add this replica by replace",
	})
}
