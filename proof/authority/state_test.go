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

// killChanges is how many changes the kill test makes; SEQUOIADOCK_CHANGES
// asks for more.
const killChanges = 200

func changes() int {
	if n, err := strconv.Atoi(os.Getenv("SEQUOIADOCK_CHANGES")); err == nil {
		return n
	}
	return killChanges
}

// TestKillsLoseNothing kills control processes at random moments during
// hundreds of changes, then all of them at once. Every answered change is in
// force after the restart.
func TestKillsLoseNothing(t *testing.T) {
	t.Parallel()
	c := start(t, sqcluster.Config{EntryCount: 1})
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { killAndRestart(t, c, stop) })
	for i := range changes() {
		res, err := submit(ctx, c, grant("key-"+strconv.Itoa(i)))
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
	holder(t, c)
	expectKeys(t, c, "key-", changes())
}

// killAndRestart kills one process at a time, so that a quorum can go on.
func killAndRestart(t *testing.T, c *sqcluster.Cluster, stop chan struct{}) {
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

func expectKeys(t *testing.T, c *sqcluster.Cluster, prefix string, n int) {
	t.Helper()
	keys := keysInForce(t, c)
	for i := range n {
		assert.Assert(t, keys[prefix+strconv.Itoa(i)], "%s%d is lost", prefix, i)
	}
}

// TestLostDiskThenSecondLoss wipes one replica's disk, replaces it by an
// operator's command, and right after that kills another one: nothing is lost,
// and the new replica makes up the quorum.
func TestLostDiskThenSecondLoss(t *testing.T) {
	t.Parallel()
	c := start(t, sqcluster.Config{EntryCount: 1})
	ctx := context.Background()
	for i := range 20 {
		_, err := submit(ctx, c, grant("key-"+strconv.Itoa(i)))
		assert.NilError(t, err)
	}
	lost, keep := victims(t, c)
	lost.Kill()
	assert.NilError(t, lost.WipeData())
	assert.NilError(t, lost.Start())
	assert.NilError(t, c.WaitUntilHealthy(ctx, lost.Process, lost.DirectAddress()))
	_, err := c.CommandOutput(ctx, "", "replace", lost.Name(), "-address", lost.Address())
	assert.NilError(t, err)
	keep.Kill()
	holder(t, c)
	res, err := submit(ctx, c, grant("after-0"))
	assert.NilError(t, err)
	assert.Equal(t, res.GetError(), uint32(0))
	expectKeys(t, c, "key-", 20)
	expectKeys(t, c, "after-", 1)
}

// victims returns two replicas: one without the lease, whose disk is lost, and
// the holder, which is killed after the repair.
func victims(t *testing.T, c *sqcluster.Cluster) (lost, second *sqcluster.Control) {
	t.Helper()
	h := holder(t, c)
	for _, n := range c.Controls() {
		if n != h {
			return n, h
		}
	}
	return nil, nil
}

// TestWipedDiskNeverVotes wipes two of three disks: the deployment must not go
// on as if nothing had happened, since the wiped replicas have forgotten what
// they promised.
func TestWipedDiskNeverVotes(t *testing.T) {
	t.Parallel()
	c := start(t, sqcluster.Config{EntryCount: 1})
	first, second := victims(t, c)
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

// TestOperatorsRace lets 20 operators publish on the same version: one wins,
// the others get a typed conflict, and a resend gets the first answer.
func TestOperatorsRace(t *testing.T) {
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
	won := 0
	for i, res := range results {
		if res.GetError() == 0 {
			won++
			assert.Equal(t, res.GetVersion(), uint64(2))
		} else {
			assert.Equal(t, sqerror.Kind(res.GetError()), sqerror.Conflict)
		}
		again, err := submit(context.Background(), c, commands[i])
		assert.NilError(t, err)
		assert.Equal(t, again.GetError(), res.GetError())
		assert.Equal(t, again.GetVersion(), res.GetVersion())
	}
	assert.Equal(t, won, 1)
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

// TestDiskLostDuringReplacement loses a disk again while its replacement has
// joined but not caught up. The next replacement leaves no member behind that
// counts for the quorum: two of three replicas go on.
func TestDiskLostDuringReplacement(t *testing.T) {
	t.Parallel()
	c := start(t, sqcluster.Config{EntryCount: 1})
	ctx := context.Background()
	lost, holds := victims(t, c)
	wipe := func() {
		lost.Kill()
		assert.NilError(t, lost.WipeData())
		assert.NilError(t, lost.Start())
		assert.NilError(t, c.WaitUntilHealthy(ctx, lost.Process, lost.DirectAddress()))
	}
	wipe()
	s, err := c.Status(ctx, holds)
	assert.NilError(t, err)
	before := len(s.GetMembers())
	fresh, err := c.Status(ctx, lost)
	assert.NilError(t, err)
	lost.Pause()
	_, err = control(holds).Replace(ctx, &sqrpc.ReplaceRequest{
		Name: lost.Name(), NewId: fresh.GetIdentity().GetId(), NewAddress: lost.Address(),
	})
	assert.Assert(t, err != nil, "a paused replica caught up")
	s, err = c.Status(ctx, holds)
	assert.NilError(t, err)
	assert.Equal(t, len(s.GetMembers()), before+1, "%v", s.GetMembers())
	wipe()
	_, err = c.CommandOutput(ctx, "", "replace", lost.Name(), "-address", lost.Address())
	assert.NilError(t, err)
	s, err = c.Status(ctx, holds)
	assert.NilError(t, err)
	assert.Equal(t, len(s.GetMembers()), len(c.Controls()), "%v", s.GetMembers())
	holds.Kill()
	holder(t, c)
	_, err = submit(ctx, c, grant("after"))
	assert.NilError(t, err)
}
