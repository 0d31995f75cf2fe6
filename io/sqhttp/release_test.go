package sqhttp

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqclock"
)

// TestRefusedBodyIsReleased fails if the buffer of a body that does not fit stays reserved
// while the handler reads the rest of the body and answers.
func TestRefusedBodyIsReleased(t *testing.T) {
	var g *testGuard
	held := make(chan int64, 1)
	g = newTestGuard(t, 128<<20, ServerConfig{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// What is left of the connection's share is enough for the first buffers only.
		AccountOf(r).Reserve(AccountOf(r).Share() - requestBytes - 2<<20)
		before := g.guard.Budget().UsedBytes()
		_, err := ReadBody(w, r, testBodyLimit)
		assert.Check(t, sqerror.KindOf(err) == sqerror.Overloaded, "%v", err)
		held <- g.guard.Budget().UsedBytes() - before
	})})
	_, _ = g.post(t, strings.NewReader(strings.Repeat("x", testBodyLimit)))
	assert.Equal(t, <-held, int64(0))
}

// TestEndOfResponseIsProgress fails if a connection may be closed for another one while the
// end of a response that took long is still written.
func TestEndOfResponseIsProgress(t *testing.T) {
	g := newTestGuard(t, 128<<20, ServerConfig{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(700 * time.Millisecond)
		_, _ = io.WriteString(w, "answer")
	})})
	status, _ := g.post(t, strings.NewReader("body"))
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, !g.guard.Budget().EvictFrom(sqclock.Now(), "callers"))
}
