package sqentry

import (
	"net/http"
	"net/url"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestEndpointPath(t *testing.T) {
	const key = "walkers-key-0123456789"
	expect := func(in, want string) {
		t.Helper()
		u, err := url.ParseRequestURI(in)
		assert.NilError(t, err)
		got, ok := endpointPath(u, key)
		assert.Equal(t, got, want, in)
		assert.Equal(t, ok, want != "", in)
	}
	expect("/a/b", "/a/b")
	expect("/a/b/", "/a/b/")
	expect("/a//b", "")
	expect("/a/../b", "")
	expect("/a%2fb", "")
	expect("/a%5cb", "")
	expect("/a/"+key, "")
	expect("/a?key=x&b=1&api_key=y", "/a?b=1")
	expect("/a?b="+key, "/a")
	expect("/a?b=%zz", "")
	expect("/a%20b?x=1", "/a%20b?x=1")
}

// TestConnectionCannotDropIdentity lists the idempotency key in the Connection
// header: it must still be forwarded to the service.
func TestConnectionCannotDropIdentity(t *testing.T) {
	in := http.Header{"Connection": {"X-A, idempotency-key"}, "X-A": {"1"}, headerIdentity: {"i"}, "X-B": {"2"}}
	out := endpointHeader(in, "id", "")
	assert.DeepEqual(t, out, http.Header{headerIdentity: {"i"}, "X-B": {"2"}, "Sequoiadock-Request-Id": {"id"}})
}

func FuzzEndpointPath(f *testing.F) {
	const key = "walkers-key-0123456789"
	f.Add("/a/b?key=" + key)
	f.Add("/a/%2e%2e/b?x=" + key + "&y=2")
	f.Fuzz(func(t *testing.T, raw string) {
		u, err := url.ParseRequestURI(raw)
		if err != nil || !strings.HasPrefix(u.Path, "/") {
			return
		}
		got, ok := endpointPath(u, key)
		if !ok {
			return
		}
		assert.Assert(t, !strings.Contains(got, key), got)
		again, err := url.ParseRequestURI(got)
		assert.NilError(t, err)
		assert.Equal(t, again.Path, u.Path)
	})
}
