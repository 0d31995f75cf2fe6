package sqgateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqplace"
	"sequoiadock/io/sqlink"
)

// releaseTimeout bounds the giving back of a handle.
const releaseTimeout = 500 * time.Millisecond

// release gives back a KV cache that nobody will fetch. It goes on after the
// request has ended.
func (x *request) release(e *sqplace.Endpoint, source string) {
	_, handle, _ := strings.Cut(source, "/")
	call := &sqlink.Call{
		Endpoint: e.ID(), Address: e.Address(), Method: http.MethodDelete, Host: e.Address(), Header: http.Header{},
		Target: x.g.cfg.Wire.ReleasePath(handle),
	}
	id := x.attempt.ID
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		reply, err := x.g.pool.Do(ctx, call)
		if err != nil {
			x.g.log.Event(sqevent.PrefillFailed, id, e.ID(), 0, "the handle was not given back: "+err.Error())
			return
		}
		reply.Close()
	}()
}

func errDeclined(status int) error {
	return sqerror.New(sqerror.Config{
		Kind: sqerror.EndpointFailed, Run: sqerror.NotRun, Detail: "the endpoint answered " + http.StatusText(status),
	})
}
