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
	// bootstrapInterval, announceInterval and membershipInterval are the periods of the
	// loops bootstrap, announce and updateMembers.
	bootstrapInterval  = 100 * time.Millisecond
	announceInterval   = 300 * time.Millisecond
	membershipInterval = 200 * time.Millisecond
	// membershipChangeTimeout bounds one membership change.
	membershipChangeTimeout = 1500 * time.Millisecond
	// maxLagEntries is how many committed log entries a learner may lack when it is
	// promoted to a voter.
	maxLagEntries = 64
	// maxLagBytes is how many bytes these entries may have. With 4 MB a second, they
	// take a quarter of a second.
	maxLagBytes = 1 << 20
)

// bootstrap makes the seeds the first members of the group when the deployment
// starts for the first time. Every seed asks all seeds for their identities and
// initializes its replica with the same list, so the order in which they start does
// not matter. The function does nothing if the replica already belongs to a cluster, or
// if this process is not a seed on its first start.
func (c *coordinator) bootstrap(ctx context.Context) {
	seeds := c.cfg.Seeds
	if !c.cfg.FirstStart || !slices.Contains(seeds, c.cfg.InternalAddress) {
		return
	}
	for c.replica.Identity().Cluster() == "" {
		if members := c.identifySeeds(ctx, seeds); members != nil {
			if err := c.replica.Bootstrap(clusterID(members), deploymentName, members); err != nil {
				c.log.Event(sqevent.BootstrapFailed, err.Error())
			}
		}
		if !sqclock.Sleep(ctx, bootstrapInterval) {
			return
		}
	}
}

// identifySeeds returns the seeds as members, or nil if any seed does not answer.
func (c *coordinator) identifySeeds(ctx context.Context, seeds []string) []sqreplica.Member {
	var members []sqreplica.Member
	for _, address := range seeds {
		id, err := c.coordinatorClient(address).Identify(ctx, &sqrpc.IdentityRequest{})
		if err != nil || id.GetAddress() != address {
			return nil
		}
		members = append(members, sqreplica.NewMember(sqreplica.MemberConfig{
			ID: id.GetId(), Name: id.GetName(), Address: id.GetAddress(), Zone: id.GetZone(),
		}))
	}
	return members
}

// clusterID derives the identity of the cluster from its first members.
func clusterID(members []sqreplica.Member) string {
	var ids []string
	for _, m := range members {
		ids = append(ids, strconv.FormatUint(m.ID(), 16))
	}
	slices.Sort(ids)
	return strconv.FormatUint(xxhash.Sum64String(strings.Join(ids, ",")), 16)
}

func (c *coordinator) coordinatorClient(address string) sqrpc.Coordinator {
	return sqrpc.NewCoordinatorProtobufClient("http://"+address, c.client)
}

// announce tells the lease holder that this replica runs, whether it is a member of
// the group or not. The holder learns in this way which replicas can replace a failed
// member.
func (c *coordinator) announce(ctx context.Context) {
	every(ctx, announceInterval, func() {
		id := c.replica.Identity()
		req := &sqrpc.AnnounceRequest{
			Id: id.ID(), Name: c.cfg.Name, Zone: c.cfg.Zone, Address: c.cfg.InternalAddress,
			WallUnixNano: sqclock.Wall().UnixNano(),
		}
		if _, _, held := c.replica.Lease(sqclock.Now()); held {
			if _, err := c.Announce(ctx, req); err != nil {
				c.log.Event(sqevent.HolderPollFailed, c.cfg.InternalAddress, err.Error())
			}
			return
		}
		address := c.locator.Holder()
		res, err := c.coordinatorClient(address).Announce(ctx, req)
		if err != nil {
			sqrpc.ReportFailure(sqclock.Now(), c.locator, address, sqrpc.FromTwirp(err))
			return
		}
		c.locator.SetAddresses(mergeAddresses(res.GetControls(), *c.seeds.Load()))
	})
}

// mergeAddresses returns the addresses of both lists, sorted and without duplicates.
func mergeAddresses(a, b []string) []string {
	merged := slices.Concat(a, b)
	slices.Sort(merged)
	return slices.Compact(merged)
}

// updateMembers replaces failed members while this process holds the lease. The steps of
// a replacement follow each other at once: between two of them, the group bears less.
func (c *coordinator) updateMembers(ctx context.Context) {
	every(ctx, membershipInterval, func() {
		for c.changeMembers(ctx) {
		}
	})
}

// changeMembers makes the next membership change, and reports whether it did.
func (c *coordinator) changeMembers(ctx context.Context) bool {
	now := sqclock.Now()
	t, err := c.currentTerm(now)
	if err != nil {
		return false
	}
	change := sqquorum.NextChange(now, c.groupView(now, t))
	if change.Kind == sqquorum.None {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, membershipChangeTimeout)
	defer cancel()
	if err := c.applyMembershipChange(ctx, change); err != nil {
		c.log.Event(sqevent.MemberChangeFailed, change.Kind.String(), change.ID, change.Reason, err.Error())
		return false
	}
	c.log.Event(sqevent.MemberChanged, change.Kind.String(), change.ID, change.Reason)
	return true
}

func (c *coordinator) applyMembershipChange(ctx context.Context, change sqquorum.Change) error {
	switch change.Kind {
	case sqquorum.Add:
		m := change.Candidate
		return c.replica.AddLearner(ctx, sqreplica.NewMember(sqreplica.MemberConfig{
			ID: m.ID, Name: m.Name, Address: m.Address, Zone: m.Zone, Learner: true,
		}))
	case sqquorum.Promote:
		return c.replica.PromoteLearner(ctx, change.ID)
	default:
		return c.replica.RemoveMember(ctx, change.ID)
	}
}

// groupView returns the members of the group and, as candidates, the other replicas
// that announced themselves. A member that has not announced itself in this term
// counts as last seen when the term started, or was resumed.
func (c *coordinator) groupView(now time.Time, t *termState) sqquorum.View {
	status := c.replica.Status()
	ownID := c.replica.Identity().ID()
	v := sqquorum.View{TargetVoters: c.cfg.TargetVoters}
	c.mu.Lock()
	defer c.mu.Unlock()
	members := map[uint64]bool{}
	for _, m := range c.replica.Members() {
		members[m.ID()] = true
		// Nothing was received while the lease had ended.
		lastSeen := t.resumedAt
		if a, ok := t.announcements[m.ID()]; ok && a.LastSeen.After(lastSeen) {
			lastSeen = a.LastSeen
		}
		if m.ID() == ownID {
			lastSeen = now
		}
		v.Members = append(v.Members, sqquorum.Member{
			ID: m.ID(), Address: m.Address(), Zone: m.Zone(), Learner: m.Learner(), Leader: m.ID() == ownID, LastSeen: lastSeen,
			CaughtUp: isCaughtUp(status.MatchIndex(m.ID()), status.CommitIndex(), status.LagBytes(m.ID())),
		})
	}
	for id, a := range t.announcements {
		if !members[id] {
			v.Candidates = append(v.Candidates, a)
		}
	}
	return v
}

// isCaughtUp reports whether a member has all committed entries, or nearly all: match is the
// last one that it has, commit the last committed one, and lagBytes the size of those between.
func isCaughtUp(match, commit uint64, lagBytes int) bool {
	return match > 0 && match+maxLagEntries >= commit && lagBytes <= maxLagBytes
}
