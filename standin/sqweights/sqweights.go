// Package sqweights is a weight store whose rate all readers share.
package sqweights

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"sequoiadock/standin/sqserver"
)

// block is what one reader gets at a time, in bytes.
const block = 32 << 10

// Config configures a Store.
type Config struct {
	// BytesPerSecond is in bytes a second, over all readers.
	BytesPerSecond float64
	// ModelBytes is the size of each model.
	ModelBytes int64
}

// Store is a running weight store. It is safe for concurrent use.
type Store struct {
	cfg    Config
	server *sqserver.Server

	mu sync.Mutex
	// free is when the next block may go.
	free time.Time
}

// Start opens the port "ip:port" and serves.
func Start(cfg Config, listen string) (*Store, error) {
	s := &Store{cfg: cfg}
	r := sqserver.NewRouter()
	r.GET("/v1/weights/:model/:version", s.handleWeights)
	server, err := sqserver.Start(sqserver.Config{Listen: listen, Handler: r})
	if err != nil {
		return nil, err
	}
	s.server = server
	return s, nil
}

// Address returns the "ip:port" that the store serves.
func (s *Store) Address() string { return s.server.Address() }

// Stop ends the store in order, and by force when ctx is over.
func (s *Store) Stop(ctx context.Context) { s.server.Shutdown(ctx) }

func (s *Store) handleWeights(c echo.Context) error {
	h := c.Response().Header()
	h.Set(echo.HeaderContentType, echo.MIMEOctetStream)
	h.Set(echo.HeaderContentLength, strconv.FormatInt(s.cfg.ModelBytes, 10))
	c.Response().WriteHeader(http.StatusOK)
	buf := make([]byte, block)
	for left := s.cfg.ModelBytes; left > 0; {
		n := min(left, block)
		wait := s.reserve(time.Now(), n)
		select {
		case <-time.After(wait):
		case <-c.Request().Context().Done():
			return nil
		}
		if _, err := c.Response().Write(buf[:n]); err != nil {
			return nil
		}
		left -= n
	}
	return nil
}

// reserve takes n bytes of the shared rate and returns how long to wait.
func (s *Store) reserve(now time.Time, n int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.free.Before(now) {
		s.free = now
	}
	wait := s.free.Sub(now)
	s.free = s.free.Add(time.Duration(float64(n) / s.cfg.BytesPerSecond * float64(time.Second)))
	return wait
}
