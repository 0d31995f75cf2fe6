package sqlink

import "time"

// IdleChange says which idle connection to an endpoint was used most recently. The times
// are zero if there is none.
type IdleChange struct {
	Endpoint string
	// Since is when the connection was last used, Until when its idle timeout ends.
	Since, Until time.Time
}

// TakeIdleChanges calls f for each endpoint whose most recently used idle connection has
// changed since the last call. f must not call the pool.
func (p *Pool) TakeIdleChanges(f func(c IdleChange)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for endpoint := range p.idleChanged {
		c := IdleChange{Endpoint: endpoint}
		if conns := p.byEndpoint[endpoint]; conns != nil && len(conns.idle) > 0 {
			last := conns.idle[len(conns.idle)-1]
			c.Since, c.Until = last.idleSince, last.idleSince.Add(last.idleTimeout)
		}
		f(c)
	}
	clear(p.idleChanged)
}

// ConnectTime returns how long it took to open the connection, or 0 if an idle one was
// reused.
func (r *Response) ConnectTime() time.Duration {
	if r.conn.reused {
		return 0
	}
	return r.conn.connectTime
}
