// Package sqreplica runs one replica of the replicated state: it drives the
// consensus of sqraft with the clock, the disk and the network.
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

// idleWake is how often a replica looks round that belongs to no cluster.
const idleWake = time.Second

// maxHold bounds how long calls wait for the batch before them.
const maxHold = 1000 * time.Microsecond

// maxSenders bounds the senders that are kept.
const maxSenders = 64

// Replica is one replica. Its methods are safe for concurrent use.
type Replica struct {
	cfg    Config
	timing uint64
	view   atomic.Pointer[view]
	inbox  *inbox
	// refusedAt is when a refused message was logged last, in nanoseconds.
	refusedAt atomic.Int64

	// mu guards what follows; Run holds it while it works.
	mu       sync.Mutex
	disk     *sqdisk.Disk
	raft     *sqraft.Raft
	identity Identity
	applied  uint64
	failed   error
	waiting  map[uint64]waiter
	reads    map[uint64]*call
	held     []sqraft.ReadBarrier
	// handOver waits until another replica leads, or is nil.
	handOver *call
	// senders are replicas that wrote to this one before it knew them as
	// members.
	senders  map[uint64]Member
	nextRead uint64
	// batchAt is when the last batch of calls began.
	batchAt time.Time
	// entriesSince and bytesSince count what was applied since the snapshot.
	entriesSince int
	bytesSince   int
}

// waiter is a proposal whose entry is not applied yet.
type waiter struct {
	term uint64
	call *call
}

// Open opens the folder and restores the state; it starts nothing. Errors are
// of the kinds DamagedFile, DiskFailed and WrongCluster.
func Open(cfg Config) (*Replica, error) {
	cfg = cfg.withDefaults()
	if cfg.Seed == 0 {
		cfg.Seed = drawID()
	}
	disk, err := sqdisk.Open(sqdisk.Config{Folder: cfg.Folder, FS: cfg.FS})
	if err != nil {
		return nil, err
	}
	r := &Replica{
		cfg: cfg, disk: disk, inbox: newInbox(),
		waiting: map[uint64]waiter{}, reads: map[uint64]*call{}, senders: map[uint64]Member{},
		timing: timingSum(cfg.timing()),
	}
	if err := r.restore(); err != nil {
		disk.Close()
		return nil, err
	}
	r.publish()
	r.registerMetrics()
	return r, nil
}

// restore brings the replica to the state on the disk.
func (r *Replica) restore() error {
	if r.disk.DroppedBytes() > 0 {
		r.event(sqevent.ReplicaTornRecord, r.disk.DroppedBytes())
	}
	record := r.disk.Identity()
	if record == nil {
		record = &sqraft.IdentityRecord{Id: drawID()}
		if err := r.disk.SaveIdentity(record); err != nil {
			return err
		}
		r.event(sqevent.ReplicaNew, record.GetId())
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
		r.applied = s.GetIndex()
	}
	r.startRaft(r.disk.HardState(), r.disk.Snapshot(), r.disk.Entries())
	r.disk.ReleaseLoaded()
	r.event(sqevent.ReplicaOpened, record.GetId(), record.GetCluster(), r.raft.LastIndex())
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

func (r *Replica) startRaft(hard *sqraft.HardState, s *sqraft.Snapshot, entries []*sqraft.Entry) {
	r.raft = sqraft.New(sqraft.Config{
		ID: r.identity.ID(), Timing: r.cfg.timing(), Seed: r.cfg.Seed, Start: sqclock.Now(),
		HardState: hard, Snapshot: s, Entries: entries,
		TrailingEntries: uint64(r.cfg.SnapshotEntries / trailDivisor),
	})
}

// Run drives the replica until ctx ends, which gives nil. It gives an error of
// kind DiskFailed when the disk fails, and of kind WrongCluster when the leader
// contradicts what is committed here. It closes the folder.
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
		wait, err := r.work()
		if err != nil {
			r.event(sqevent.ReplicaFailed, err.Error())
			r.stop(err)
			return err
		}
		timer.Reset(wait)
	}
}

// work handles all input that is there and returns when to come back.
func (r *Replica) work() (time.Duration, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	hold := r.hold()
	messages, calls := r.inbox.take(hold <= 0)
	if r.raft == nil {
		for _, c := range calls {
			c.finish(nil, notSetUp())
		}
		return idleWake, r.failed
	}
	for _, m := range messages {
		r.noteSender(m)
		if err := r.raft.Step(sqclock.Now(), m); err != nil {
			return 0, err
		}
	}
	if len(calls) > 0 {
		r.batchAt = sqclock.Now()
	}
	for _, c := range calls {
		r.start(c)
	}
	r.raft.Tick(sqclock.Now())
	if err := r.drain(); err != nil {
		return 0, err
	}
	if err := r.maybeSnapshot(); err != nil {
		return 0, err
	}
	r.publish()
	r.finishHandOver()
	wait := r.raft.NextTickAt().Sub(sqclock.Now())
	if r.inbox.hasCalls() {
		wait = min(wait, max(r.hold(), 0))
	}
	return wait, nil
}

// hold returns for how long calls should still wait, so that those that come
// while a batch is under way make up the next one. Without it, a batch begins
// with the first caller that comes back, and most syncs carry few commands.
func (r *Replica) hold() time.Duration {
	if len(r.waiting) == 0 {
		return 0
	}
	return maxHold - sqclock.Now().Sub(r.batchAt)
}

// noteSender keeps the address of a sender that is no member yet: a replica
// that joins has an empty membership and must still answer the leader.
func (r *Replica) noteSender(m *sqraft.Message) {
	if len(r.senders) >= maxSenders {
		clear(r.senders)
	}
	r.senders[m.GetFrom()] = NewMember(MemberConfig{ID: m.GetFrom(), Address: m.GetAddress()})
}

// stop ends all that waits. Authority is gone before the folder is closed.
func (r *Replica) stop(cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = cause
	r.publish()
	r.inbox.close(cause)
	r.abandon()
	if r.handOver != nil {
		r.handOver.finish(nil, cause)
	}
	r.disk.Close()
}

func (r *Replica) event(e sqevent.Event, values ...any) {
	if r.cfg.Log != nil {
		r.cfg.Log.Event(e, values...)
	}
}

func (r *Replica) noteChange(old, v *view) {
	if old == nil {
		return
	}
	if old.status.cfg.role != v.status.cfg.role || old.status.cfg.term != v.status.cfg.term {
		r.event(sqevent.ReplicaRole, string(v.status.Role()), v.status.Term(), v.status.LeaderAddress())
	}
	if len(old.members) != len(v.members) {
		r.event(sqevent.ReplicaMembers, names(v.members))
	}
}

func names(members []Member) []string {
	var list []string
	for _, m := range members {
		list = append(list, m.Name())
	}
	return list
}

func notSetUp() error {
	return sqerror.New(sqerror.Config{
		Kind: sqerror.NotSetUp, Run: sqerror.NotRun, Detail: "the replica belongs to no cluster yet",
		Advice: "set up the deployment, or add this replica by replace",
	})
}
