package sqcoordinator

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqquorum"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqreplica"
	"sequoiadock/io/sqrpc"
)

const (
	// foundEvery, announceEvery and membersEvery are the periods of the loops that
	// keep the group whole.
	foundEvery    = 100 * time.Millisecond
	announceEvery = 300 * time.Millisecond
	membersEvery  = 200 * time.Millisecond
	// changeTimeout bounds one change of the membership.
	changeTimeout = 1500 * time.Millisecond
	// caughtUpWithin is how many entries a learner may lack when it is promoted.
	caughtUpWithin = 64
)

// found makes the seeds the first members of the group when the deployment
// starts for the first time. Every seed asks all seeds for their identities and
// sets itself up with the same list, so the order of the starts does not matter.
// A replica whose disk is not empty, or that starts later, does nothing here.
func (c *coordinator) found(ctx context.Context) {
	seeds := c.cfg.Seeds
	if !c.cfg.FirstStart || !slices.Contains(seeds, c.cfg.InternalAddress) {
		return
	}
	for c.replica.Identity().Cluster() == "" {
		if members := c.askSeeds(ctx, seeds); members != nil {
			if err := c.replica.Setup(groupName(members), deployment, members); err != nil {
				c.log.Event(sqevent.FoundingFailed, err.Error())
			}
		}
		if !sqclock.Sleep(ctx, foundEvery) {
			return
		}
	}
}

// askSeeds returns the seeds as members, or nil if one does not answer.
func (c *coordinator) askSeeds(ctx context.Context, seeds []string) []sqreplica.Member {
	var members []sqreplica.Member
	for _, address := range seeds {
		id, err := c.coordinatorAt(address).Identify(ctx, &sqrpc.IdentityRequest{})
		if err != nil || id.GetAddress() != address {
			return nil
		}
		members = append(members, sqreplica.NewMember(sqreplica.MemberConfig{
			ID: id.GetId(), Name: id.GetName(), Address: id.GetAddress(), Zone: id.GetZone(),
		}))
	}
	return members
}

// groupName names a group by its first members.
func groupName(members []sqreplica.Member) string {
	var ids []string
	for _, m := range members {
		ids = append(ids, strconv.FormatUint(m.ID(), 16))
	}
	slices.Sort(ids)
	return strconv.FormatUint(xxhash.Sum64String(strings.Join(ids, ",")), 16)
}

func (c *coordinator) coordinatorAt(address string) sqrpc.Coordinator {
	return sqrpc.NewCoordinatorProtobufClient("http://"+address, c.client)
}

// announce tells the holder that this replica runs, whether it is a member or
// not. The holder thereby finds replicas that can take a lost one's place.
func (c *coordinator) announce(ctx context.Context) {
	every(ctx, announceEvery, func() {
		id := c.replica.Identity()
		req := &sqrpc.AnnounceRequest{
			Id: id.ID(), Name: c.cfg.Name, Zone: c.cfg.Zone, Address: c.cfg.InternalAddress,
			WallUnixNano: sqclock.Wall().UnixNano(),
		}
		if _, _, held := c.replica.Authority(sqclock.Now()); held {
			if _, err := c.Announce(ctx, req); err != nil {
				c.log.Event(sqevent.HolderSilent, c.cfg.InternalAddress, err.Error())
			}
			return
		}
		address := c.locator.Holder()
		res, err := c.coordinatorAt(address).Announce(ctx, req)
		if err != nil {
			sqrpc.MoveOn(sqclock.Now(), c.locator, address, sqrpc.FromTwirp(err))
			return
		}
		c.locator.Set(union(res.GetControls(), *c.seeds.Load()))
	})
}

// union returns the addresses of both lists, each once.
func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

// keepMembers replaces lost members while this process holds the lease.
func (c *coordinator) keepMembers(ctx context.Context) {
	every(ctx, membersEvery, func() {
		now := sqclock.Now()
		t, err := c.current(now)
		if err != nil {
			return
		}
		change := sqquorum.NextChange(now, c.groupView(now, t))
		if change.Kind == sqquorum.None {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, changeTimeout)
		defer cancel()
		if err := c.change(ctx, change); err != nil {
			c.log.Event(sqevent.MemberChangeFailed, change.Kind.String(), change.ID, change.Reason, err.Error())
			return
		}
		c.log.Event(sqevent.MemberChanged, change.Kind.String(), change.ID, change.Reason)
	})
}

func (c *coordinator) change(ctx context.Context, change sqquorum.Change) error {
	switch change.Kind {
	case sqquorum.Add:
		m := change.Candidate
		return c.replica.AddLearner(ctx, sqreplica.NewMember(sqreplica.MemberConfig{
			ID: m.ID, Name: m.Name, Address: m.Address, Zone: m.Zone, Learner: true,
		}))
	case sqquorum.Promote:
		return c.replica.Promote(ctx, change.ID)
	default:
		return c.replica.Remove(ctx, change.ID)
	}
}

// groupView returns the members and the replicas that announced themselves.
func (c *coordinator) groupView(now time.Time, t *tenure) sqquorum.View {
	status := c.replica.Status()
	own := c.replica.Identity().ID()
	v := sqquorum.View{TargetVoters: c.cfg.TargetVoters}
	c.mu.Lock()
	defer c.mu.Unlock()
	members := map[uint64]bool{}
	for _, m := range c.replica.Members() {
		members[m.ID()] = true
		seen := t.since
		if a, ok := t.announced[m.ID()]; ok {
			seen = a.LastSeen
		}
		if m.ID() == own {
			seen = now
		}
		match := status.Match(m.ID())
		v.Members = append(v.Members, sqquorum.Member{
			ID: m.ID(), Address: m.Address(), Zone: m.Zone(), Learner: m.Learner(), Leader: m.ID() == own, LastSeen: seen,
			CaughtUp: match > 0 && match+caughtUpWithin >= status.Committed(),
		})
	}
	for id, a := range t.announced {
		if !members[id] {
			v.Candidates = append(v.Candidates, a)
		}
	}
	return v
}
