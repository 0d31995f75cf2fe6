package request

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
	"sequoiadock/standin/sqcaller"
)

// TestEndToEnd sends one request of each kind through a complete deployment.
func TestEndToEnd(t *testing.T) {
	c := start(t, sqcluster.Config{})
	ctx := context.Background()
	caller := newCaller(c, sqcluster.DefaultTeams()[0].Key())
	a := caller.Chat(ctx, newChat("when is the park open", 20))
	assert.Equal(t, a.Outcome, sqcaller.Complete, "%+v", a)
	q := newChat("when is the park open", 20)
	q.Stream = false
	a = caller.Chat(ctx, q)
	assert.Equal(t, a.Outcome, sqcaller.Complete, "%+v", a)
	b := caller.Call(ctx, sqcaller.CallRequest{
		Method: http.MethodPost, Path: "/booking/places", Identity: "one", Body: []byte(`{"place":1}`), Deadline: 5 * time.Second,
	})
	assert.Equal(t, b.Outcome, sqcaller.Complete, "%+v", b)
	open := newCaller(c, "")
	m := open.Call(ctx, sqcaller.CallRequest{Method: http.MethodGet, Path: "/meetups/today", Deadline: 5 * time.Second})
	assert.Equal(t, m.Outcome, sqcaller.Complete, "%+v", m)
	assert.Equal(t, m.Status, http.StatusOK)
	refused := open.Chat(ctx, newChat("no key", 5))
	assert.Equal(t, refused.Refusal.Kind, "noKey")
	assertNoKeyLeaked(t, records(t, c))
	why := c.RunCommand(ctx, "", "explain", a.Decision)
	assert.Equal(t, why.ExitCode(), 0, why.Stderr())
	t.Log(why.Stdout())
}
