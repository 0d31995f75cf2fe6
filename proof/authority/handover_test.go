package authority

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqrpc"
	"sequoiadock/proof/sqcluster"
)

// stopWithin bounds the planned stop of one control process.
const stopWithin = 20 * time.Second

// holderStops is how often the holder itself is stopped after the round of all.
const holderStops = 2

// TestRollingRestart stops and starts each control process in turn and then the
// holder again, while orders are given. The time from SIGTERM to a holder until
// another one holds the lease is logged.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	cfg := restless()
	cfg.ControlTiming = map[string]int{"pollMillis": 100, "planMillis": 200}
	cfg.EntryTiming = nil
	c := start(t, cfg)
	swing(t, c)
	for _, n := range c.Controls() {
		restart(t, c, n)
	}
	for range holderStops {
		restart(t, c, holder(t, c))
	}
	settle(t, c)
	judge(t, record(t, c))
}

// restart stops and starts n once engines have received an order. The
// mix may call for none for many seconds.
func restart(t *testing.T, c *sqcluster.Cluster, n *sqcluster.Control) {
	t.Helper()
	before, _ := orders(record(t, c))
	eventually(t, c, "engines receive an order", func() bool { n, _ := orders(record(t, c)); return n > before })
	held := holder(t, c) == n
	gap := stop(t, c, n)
	if held {
		t.Logf("%s stopped, another holder after %v", n.Name(), gap.Round(time.Millisecond))
		assert.Assert(t, gap < newHolderBound)
	}
	assert.NilError(t, n.Start())
	eventually(t, c, "the stopped replica is back", func() bool { _, err := c.Status(t.Context(), n); return err == nil })
}

// stop stops n and returns after how long another process held the lease.
func stop(t *testing.T, c *sqcluster.Cluster, n *sqcluster.Control) time.Duration {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), stopWithin)
	defer cancel()
	began := time.Now()
	n.Terminate()
	for !heldElsewhere(ctx, c, n) {
		assert.NilError(t, ctx.Err())
		time.Sleep(2 * time.Millisecond)
	}
	gap := time.Since(began)
	code, err := n.Wait(ctx)
	assert.NilError(t, err)
	assert.Equal(t, code, 0)
	return gap
}

func heldElsewhere(ctx context.Context, c *sqcluster.Cluster, old *sqcluster.Control) bool {
	for _, n := range c.Controls() {
		if n == old {
			continue
		}
		if st, err := c.Status(ctx, n); err == nil && st.GetHoldsLease() {
			return true
		}
	}
	return false
}

// TestPublishThroughHandOver stops the holder while a publish waits for a paused
// entry. The publish must end with the tenure and say that the change is
// accepted; the same operation at the next holder gets the first answer, and
// waits there until it is in force.
func TestPublishThroughHandOver(t *testing.T) {
	t.Parallel()
	c := start(t, sqcluster.Config{EntryCount: 2})
	old := holder(t, c)
	c.Entries()[0].Pause()
	defer c.Entries()[0].Continue()
	req := &sqrpc.SubmitRequest{Command: grant("during")}
	ended := make(chan error, 1)
	go func() {
		_, err := publisher(old).Publish(t.Context(), req)
		ended <- err
	}()
	eventually(t, c, "the change is committed", func() bool { return keysInForce(t, c)["during"] })
	began := time.Now()
	old.Terminate()
	err := sqrpc.FromTwirp(<-ended)
	took := time.Since(began)
	t.Logf("publish ended %v after the stop began: %v", took.Round(time.Millisecond), err)
	assert.Equal(t, sqerror.KindOf(err), sqerror.NotConfirmed)
	assert.Assert(t, took < publishEndBound)
	c.Entries()[0].Continue()
	res, err := publisher(holder(t, c)).Publish(t.Context(), req)
	assert.NilError(t, err)
	assert.Equal(t, res.GetResult().GetError(), uint32(0), res.GetResult().GetDetail())
	assert.Assert(t, res.GetInForce())
}

// publisher waits for as long as a publish may.
func publisher(n *sqcluster.Control) sqrpc.Control {
	return sqrpc.NewControlProtobufClient("http://"+n.DirectAddress(), &http.Client{Timeout: stopWithin})
}

// publishEndBound bounds the end of a publish once its holder hands over.
const publishEndBound = time.Second
