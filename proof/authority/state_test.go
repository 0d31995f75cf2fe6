package authority

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqrpc"
	"sequoiadock/proof/sqcluster"
)

// defaultChangeCount is the number of changes in TestKillsLoseNothing;
// SEQUOIADOCK_CHANGES overrides it.
const defaultChangeCount = 200

func changeCount() int {
	if n, err := strconv.Atoi(os.Getenv("SEQUOIADOCK_CHANGES")); err == nil {
		return n
	}
	return defaultChangeCount
}

// TestKillsLoseNothing kills control processes at random times during
// hundreds of changes, then all of them at once. Every acknowledged change must be
// in force after the restart.
func TestKillsLoseNothing(t *testing.T) {
	t.Parallel()
	c := start(t, sqcluster.Config{EntryCount: 1})
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { killAndRestartControls(t, c, stop) })
	for i := range changeCount() {
		res, err := submit(ctx, c, grantKeyCommand("key-"+strconv.Itoa(i)))
		assert.NilError(t, err)
		assert.Equal(t, res.GetError(), uint32(0), res.GetDetail())
	}
	close(stop)
	wg.Wait()
	for _, n := range c.Controls() {
		n.Kill()
	}
	for _, n := range c.Controls() {
		assert.NilError(t, n.Start())
	}
	waitHolder(t, c)
	assertKeysActive(t, c, "key-", changeCount())
}

// killAndRestartControls kills and restarts one control process at a time, so that
// a quorum stays up, until stop closes.
func killAndRestartControls(t *testing.T, c *sqcluster.Cluster, stop chan struct{}) {
	rng := rand.New(rand.NewPCG(1, 2))
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(200+rng.IntN(600)) * time.Millisecond):
		}
		n := c.Controls()[rng.IntN(len(c.Controls()))]
		n.Kill()
		if err := n.Start(); err != nil {
			t.Error(err)
			return
		}
	}
}

func assertKeysActive(t *testing.T, c *sqcluster.Cluster, prefix string, n int) {
	t.Helper()
	keys := activeKeys(t, c)
	for i := range n {
		assert.Assert(t, keys[prefix+strconv.Itoa(i)], "%s%d is lost", prefix, i)
	}
}

// TestDiskLossThenHolderKill wipes one replica's disk, replaces the replica by
// the operator's command, and right after that kills the lease holder. No change
// is lost, and the new replica is part of the quorum.
func TestDiskLossThenHolderKill(t *testing.T) {
	t.Parallel()
	c := start(t, sqcluster.Config{EntryCount: 1})
	ctx := context.Background()
	for i := range 20 {
		_, err := submit(ctx, c, grantKeyCommand("key-"+strconv.Itoa(i)))
		assert.NilError(t, err)
	}
	lost, second := followerAndHolder(t, c)
	lost.Kill()
	assert.NilError(t, lost.WipeData())
	assert.NilError(t, lost.Start())
	assert.NilError(t, c.WaitUntilHealthy(ctx, lost.Process, lost.DirectAddress()))
	_, err := c.CommandOutput(ctx, "", "replace", lost.Name(), "-address", lost.Address())
	assert.NilError(t, err)
	second.Kill()
	waitHolder(t, c)
	res, err := submit(ctx, c, grantKeyCommand("after-0"))
	assert.NilError(t, err)
	assert.Equal(t, res.GetError(), uint32(0))
	assertKeysActive(t, c, "key-", 20)
	assertKeysActive(t, c, "after-", 1)
}

// followerAndHolder returns a replica without the lease and the lease holder.
func followerAndHolder(t *testing.T, c *sqcluster.Cluster) (lost, second *sqcluster.Control) {
	t.Helper()
	h := waitHolder(t, c)
	for _, n := range c.Controls() {
		if n != h {
			return n, h
		}
	}
	return nil, nil
}

// TestWipedReplicaNeverVotes wipes the disks of two of three replicas. No replica
// may become lease holder, since the wiped ones have lost their votes and their
// promises to earlier leaders.
func TestWipedReplicaNeverVotes(t *testing.T) {
	t.Parallel()
	c := start(t, sqcluster.Config{EntryCount: 1})
	first, second := followerAndHolder(t, c)
	for _, n := range []*sqcluster.Control{first, second} {
		n.Kill()
		assert.NilError(t, n.WipeData())
		assert.NilError(t, n.Start())
		assert.NilError(t, c.WaitUntilHealthy(context.Background(), n.Process, n.DirectAddress()))
	}
	time.Sleep(5 * time.Second)
	_, _, err := c.HolderStatus(context.Background())
	assert.Equal(t, sqerror.KindOf(err), sqerror.NotHolder)
}

// TestConcurrentPublishes lets 20 operators publish on the same base version. One
// succeeds, the others get a Conflict error, and a resent command gets its first
// result again.
func TestConcurrentPublishes(t *testing.T) {
	t.Parallel()
	c := start(t, sqcluster.Config{EntryCount: 1})
	const operators = 20
	results := make([]*sqcommand.Result, operators)
	commands := make([]*sqcommand.Command, operators)
	var wg sync.WaitGroup
	for i := range operators {
		commands[i] = publishCommand(t, c, i)
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			res, err := submit(ctx, c, commands[i])
			if err != nil {
				t.Error(err)
			}
			results[i] = res
		})
	}
	wg.Wait()
	winners := 0
	for i, res := range results {
		if res.GetError() == 0 {
			winners++
			assert.Equal(t, res.GetVersion(), uint64(2))
		} else {
			assert.Equal(t, sqerror.Kind(res.GetError()), sqerror.Conflict)
		}
		resent, err := submit(context.Background(), c, commands[i])
		assert.NilError(t, err)
		assert.Equal(t, resent.GetError(), res.GetError())
		assert.Equal(t, resent.GetVersion(), res.GetVersion())
	}
	assert.Equal(t, winners, 1)
}

func publishCommand(t *testing.T, c *sqcluster.Cluster, i int) *sqcommand.Command {
	t.Helper()
	cfg := &sqcommand.Configuration{Deployment: sqcluster.Deployment}
	for _, team := range sqcluster.DefaultTeams() {
		cfg.Teams = append(cfg.Teams, &sqcommand.Team{Name: team.Name(), Share: uint32(i + 1)})
	}
	return &sqcommand.Command{
		OperationId: fmt.Sprintf("race-%d", i),
		Body:        &sqcommand.Command_Publish{Publish: &sqcommand.Publish{BaseVersion: 1, Configuration: cfg}},
	}
}

// TestDiskLostDuringReplacement wipes a replica's disk again after its replacement
// has joined but not caught up. The next replacement must remove that member, which
// would otherwise still count for the quorum: two of three replicas stay available.
func TestDiskLostDuringReplacement(t *testing.T) {
	t.Parallel()
	c := start(t, sqcluster.Config{EntryCount: 1})
	ctx := context.Background()
	lost, leaseHolder := followerAndHolder(t, c)
	wipe := func() {
		lost.Kill()
		assert.NilError(t, lost.WipeData())
		assert.NilError(t, lost.Start())
		assert.NilError(t, c.WaitUntilHealthy(ctx, lost.Process, lost.DirectAddress()))
	}
	wipe()
	s, err := c.Status(ctx, leaseHolder)
	assert.NilError(t, err)
	before := len(s.GetMembers())
	wipedStatus, err := c.Status(ctx, lost)
	assert.NilError(t, err)
	lost.Pause()
	_, err = controlClient(leaseHolder).Replace(ctx, &sqrpc.ReplaceRequest{
		Name: lost.Name(), NewId: wipedStatus.GetIdentity().GetId(), NewAddress: lost.Address(),
	})
	assert.Assert(t, err != nil, "a paused replica caught up")
	s, err = c.Status(ctx, leaseHolder)
	assert.NilError(t, err)
	assert.Equal(t, len(s.GetMembers()), before+1, "%v", s.GetMembers())
	wipe()
	_, err = c.CommandOutput(ctx, "", "replace", lost.Name(), "-address", lost.Address())
	assert.NilError(t, err)
	s, err = c.Status(ctx, leaseHolder)
	assert.NilError(t, err)
	assert.Equal(t, len(s.GetMembers()), len(c.Controls()), "%v", s.GetMembers())
	leaseHolder.Kill()
	waitHolder(t, c)
	_, err = submit(ctx, c, grantKeyCommand("after"))
	assert.NilError(t, err)
}
