package sqcontrol

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/io/sqclock"
)

// TestQuiet: an exchange without an answer forbids the hand-over for a while.
func TestQuiet(t *testing.T) {
	answers := httptest.NewServer(http.NotFoundHandler())
	defer answers.Close()
	h := &holder{cfg: Config{Timings: Timings{LeaseDuration: time.Second}}}
	c := &http.Client{Transport: answered{next: http.DefaultTransport, note: h.noteUnanswered}}
	expect := func(url string, quiet, later bool) {
		t.Helper()
		res, err := c.Get(url)
		if err == nil {
			assert.NilError(t, res.Body.Close())
		}
		now := sqclock.Now()
		assert.Equal(t, h.quiet(now), quiet)
		assert.Equal(t, h.quiet(now.Add(callTimeout+2*time.Second)), later)
	}
	expect(answers.URL, true, true)
	answers.Close()
	expect(answers.URL, false, true)
}

// TestGrace: what has begun goes on for a bounded time.
func TestGrace(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	work, end := grace(ctx, 2*time.Second)
	defer end()
	cancel()
	assert.NilError(t, work.Err())
	select {
	case <-work.Done():
	case <-time.After(10 * time.Second):
		t.Fatal("the grace does not end")
	}
}
