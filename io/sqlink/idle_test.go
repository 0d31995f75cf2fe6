package sqlink

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqmeter"
)

// TestIdleChanges fails if the pool does not tell when an endpoint gets, loses or uses its
// idle connection, or until when the endpoint's idle timeout lets it be used.
func TestIdleChanges(t *testing.T) {
	e := serve(t, func(_ int, req *http.Request, w net.Conn) bool {
		write(w, response(req.Header.Get(idHeader), "hello"))
		return true
	})
	p := NewPool()
	traffic := &sqmeter.Traffic{}
	p.CountTraffic(traffic)
	changes := func() (list []IdleChange) {
		p.TakeIdleChanges(func(c IdleChange) { list = append(list, c) })
		return list
	}
	connectTime := func() time.Duration {
		r, err := p.Do(context.Background(), e.call("1"))
		assert.NilError(t, err)
		_, err = r.Read(make([]byte, 100))
		for err == nil {
			_, err = r.Read(make([]byte, 100))
		}
		defer r.Close()
		return r.ConnectTime()
	}
	assert.Equal(t, len(changes()), 0)
	assert.Assert(t, connectTime() > 0)
	first := changes()
	assert.Equal(t, len(first), 1)
	assert.Equal(t, first[0].Until.Sub(first[0].Since), 5*time.Second*keepAliveUsePercent/100)
	assert.Equal(t, len(changes()), 0)
	assert.Equal(t, connectTime(), time.Duration(0))
	assert.Assert(t, changes()[0].Since.After(first[0].Since))
	p.CloseIdle(sqclock.Now(), func(string) bool { return false })
	assert.DeepEqual(t, changes(), []IdleChange{{Endpoint: "e1"}})
	assert.Assert(t, traffic.Read() > 2*int64(len("hello")) && traffic.Written() > 0)
}
