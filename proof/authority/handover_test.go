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

// stopTimeout limits the graceful shutdown of one control process.
const stopTimeout = 20 * time.Second

// holderStopCount is how many times the lease holder is restarted after each
// control process was restarted once.
const holderStopCount = 2

// TestRollingRestart restarts each control process in turn and then the lease
// holder again, while orders are sent. When the stopped process is the lease
// holder, the time from its SIGTERM until another process holds the lease is
// logged.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	cfg := frequentOrdersConfig()
	cfg.ControlTiming = map[string]int{"pollMillis": 100, "planMillis": 200}
	cfg.EntryTiming = nil
	c := start(t, cfg)
	startSwingingLoad(t, c)
	for _, n := range c.Controls() {
		restartControl(t, c, n)
	}
	for range holderStopCount {
		restartControl(t, c, waitHolder(t, c))
	}
	waitSettled(t, c)
	assertNoViolations(t, records(t, c))
}

// restartControl restarts n once engines have received a further order. The
// request mix may cause no order for many seconds.
func restartControl(t *testing.T, c *sqcluster.Cluster, n *sqcluster.Control) {
	t.Helper()
	before, _ := engineOrders(records(t, c))
	eventually(t, c, "engines receive an order", func() bool { n, _ := engineOrders(records(t, c)); return n > before })
	wasHolder := waitHolder(t, c) == n
	gap := stopControl(t, c, n)
	if wasHolder {
		t.Logf("%s stopped, another lease holder after %v", n.Name(), gap.Round(time.Millisecond))
		assert.Assert(t, gap < maxTakeOverTime)
	}
	assert.NilError(t, n.Start())
	eventually(t, c, "the restarted replica answers", func() bool { _, err := c.Status(t.Context(), n); return err == nil })
}

// stopControl sends SIGTERM to n, waits until n has exited with code 0, and returns
// the time from the signal until another process held the lease.
func stopControl(t *testing.T, c *sqcluster.Cluster, n *sqcluster.Control) time.Duration {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), stopTimeout)
	defer cancel()
	began := time.Now()
	n.Terminate()
	for !otherHoldsLease(ctx, c, n) {
		assert.NilError(t, ctx.Err())
		time.Sleep(2 * time.Millisecond)
	}
	gap := time.Since(began)
	code, err := n.Wait(ctx)
	assert.NilError(t, err)
	assert.Equal(t, code, 0)
	return gap
}

func otherHoldsLease(ctx context.Context, c *sqcluster.Cluster, old *sqcluster.Control) bool {
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

// TestPublishDuringHandOver stops the lease holder while a publish waits for a
// paused entry. The publish must end when the process gives up its lease, with an
// error that says that the change is accepted but not confirmed. The same
// operation at the next lease holder gets the first result and waits until the
// change is in force.
func TestPublishDuringHandOver(t *testing.T) {
	t.Parallel()
	c := start(t, sqcluster.Config{EntryCount: 2})
	old := waitHolder(t, c)
	c.Entries()[0].Pause()
	defer c.Entries()[0].Continue()
	req := &sqrpc.SubmitRequest{Command: grantKeyCommand("during")}
	publishErr := make(chan error, 1)
	go func() {
		_, err := publishClient(old).Publish(t.Context(), req)
		publishErr <- err
	}()
	eventually(t, c, "the change is committed", func() bool { return activeKeys(t, c)["during"] })
	began := time.Now()
	old.Terminate()
	err := sqrpc.FromTwirp(<-publishErr)
	took := time.Since(began)
	t.Logf("publish ended %v after the stop began: %v", took.Round(time.Millisecond), err)
	assert.Equal(t, sqerror.KindOf(err), sqerror.NotConfirmed)
	assert.Assert(t, took < maxPublishEndTime)
	c.Entries()[0].Continue()
	res, err := publishClient(waitHolder(t, c)).Publish(t.Context(), req)
	assert.NilError(t, err)
	assert.Equal(t, res.GetResult().GetError(), uint32(0), res.GetResult().GetDetail())
	assert.Assert(t, res.GetInForce())
}

// publishClient returns a client whose timeout is long enough for a publish.
func publishClient(n *sqcluster.Control) sqrpc.Control {
	return sqrpc.NewControlProtobufClient("http://"+n.DirectAddress(), &http.Client{Timeout: stopTimeout})
}

// maxPublishEndTime is how soon a publish must end after its lease holder began to
// shut down.
const maxPublishEndTime = time.Second
