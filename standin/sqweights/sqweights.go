// Package sqweights is a simulated model weight store whose transfer rate is shared
// by all readers.
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

// chunkBytes is the size of one write to a reader.
const chunkBytes = 32 << 10

// Config configures a Store.
type Config struct {
	// BytesPerSecond is the total transfer rate of all readers.
	BytesPerSecond float64
	// ModelBytes is the size of the weights of each model.
	ModelBytes int64
}

// Store is a running weight store. It is safe for concurrent use.
type Store struct {
	cfg    Config
	server *sqserver.Server

	mu sync.Mutex
	// nextFree is the earliest time at which the next chunk may be sent.
	nextFree time.Time
}

// Start runs a store that listens on "ip:port".
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

// Address returns the "ip:port" that the store listens on.
func (s *Store) Address() string { return s.server.Address() }

// Stop shuts the store down gracefully, and closes all connections when ctx is done.
func (s *Store) Stop(ctx context.Context) { s.server.Shutdown(ctx) }

func (s *Store) handleWeights(c echo.Context) error {
	h := c.Response().Header()
	h.Set(echo.HeaderContentType, echo.MIMEOctetStream)
	h.Set(echo.HeaderContentLength, strconv.FormatInt(s.cfg.ModelBytes, 10))
	c.Response().WriteHeader(http.StatusOK)
	buf := make([]byte, chunkBytes)
	for remaining := s.cfg.ModelBytes; remaining > 0; {
		n := min(remaining, chunkBytes)
		wait := s.reserve(time.Now(), n)
		select {
		case <-time.After(wait):
		case <-c.Request().Context().Done():
			return nil
		}
		if _, err := c.Response().Write(buf[:n]); err != nil {
			return nil
		}
		remaining -= n
	}
	return nil
}

// reserve reserves n bytes of the shared transfer rate and returns how long the
// caller has to wait before sending them.
func (s *Store) reserve(now time.Time, n int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nextFree.Before(now) {
		s.nextFree = now
	}
	wait := s.nextFree.Sub(now)
	s.nextFree = s.nextFree.Add(time.Duration(float64(n) / s.cfg.BytesPerSecond * float64(time.Second)))
	return wait
}
