// Package sqserver runs the HTTP server of a stand-in, a simulated endpoint,
// platform or weight store for tests. The server can crash and restart at the
// same address.
package sqserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"sequoiadock/standin/sqfailure"
)

// Config configures a Server.
type Config struct {
	// Listen is "ip:port"; port 0 picks a free port.
	Listen  string
	Handler http.Handler
}

// Server is a running HTTP server.
type Server struct {
	cfg     Config
	address string

	mu    sync.Mutex
	http  *http.Server
	conns map[net.Conn]bool
	down  bool
}

// Start listens on cfg.Listen and serves in the background.
func Start(cfg Config) (*Server, error) {
	s := &Server{cfg: cfg, address: cfg.Listen, conns: map[net.Conn]bool{}}
	if err := s.listen(); err != nil {
		return nil, err
	}
	return s, nil
}

// NewRouter returns an echo router that logs nothing and answers /healthz.
func NewRouter() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	return e
}

// Address returns the "ip:port" that the server listens on.
func (s *Server) Address() string { return s.address }

func (s *Server) listen() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return sqfailure.New(sqfailure.Config{Action: "listen", Detail: s.address, Cause: err})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = l.Addr().String()
	s.http = &http.Server{
		Handler:           s.cfg.Handler,
		ConnState:         s.trackConn,
		ReadHeaderTimeout: 10 * time.Second,
	}
	s.down = false
	server := s.http
	go func() { _ = server.Serve(l) }()
	return nil
}

func (s *Server) trackConn(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = true
	case http.StateClosed:
		delete(s.conns, c)
	case http.StateActive, http.StateIdle, http.StateHijacked:
		// A hijacked connection stays tracked, so that Crash resets it too.
	}
}

// Crash closes the port and resets every connection, as if the process died.
func (s *Server) Crash() {
	s.mu.Lock()
	if s.down {
		s.mu.Unlock()
		return
	}
	s.down = true
	server := s.http
	conns := s.conns
	s.conns = map[net.Conn]bool{}
	s.mu.Unlock()
	for c := range conns {
		Reset(c)
	}
	_ = server.Close()
}

// Restart listens on the same address again after Crash.
func (s *Server) Restart() error { return s.listen() }

// Shutdown waits for running requests until ctx is done, then closes all
// connections.
func (s *Server) Shutdown(ctx context.Context) {
	s.mu.Lock()
	server := s.http
	s.down = true
	s.mu.Unlock()
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close()
	}
}

// Reset closes c so that the peer sees a connection reset, not a clean close.
func Reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
