package sqentry

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connections bounds the number of open connections from callers. Above the
// limit it closes the connection that has been idle for longest, so that idle
// or slow callers cannot keep others out.
type connections struct {
	maxConnections int

	mu   sync.Mutex
	idle map[net.Conn]time.Time
	all  map[net.Conn]struct{}
}

func newConnections(limit int) *connections {
	return &connections{maxConnections: limit, idle: map[net.Conn]time.Time{}, all: map[net.Conn]struct{}{}}
}

// onStateChange is the server's ConnState hook.
func (l *connections) onStateChange(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew:
		l.all[c] = struct{}{}
		l.idle[c] = time.Now()
		l.closeOldestIdle()
	case http.StateIdle:
		l.idle[c] = time.Now()
	case http.StateActive:
		delete(l.idle, c)
	case http.StateClosed, http.StateHijacked:
		delete(l.idle, c)
		delete(l.all, c)
	}
}

// closeOldestIdle closes the connection that has been idle for longest if there
// are too many. The caller holds the lock.
func (l *connections) closeOldestIdle() {
	if len(l.all) <= l.maxConnections {
		return
	}
	var oldest net.Conn
	var at time.Time
	for c, since := range l.idle {
		if oldest == nil || since.Before(at) {
			oldest, at = c, since
		}
	}
	if oldest == nil {
		return
	}
	delete(l.idle, oldest)
	delete(l.all, oldest)
	oldest.Close()
}
