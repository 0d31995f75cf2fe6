// Package sqservice is a plain booking service: calls that read, and calls that
// must not be repeated and are kept in a ledger.
package sqservice

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"sequoiadock/standin/sqfault"
	"sequoiadock/standin/sqrecord"
	"sequoiadock/standin/sqserver"
)

// maxBody bounds a call, in bytes.
const maxBody = 1 << 20

// listed is the number of bookings that a list shows.
const listed = 20

// Config configures a Service.
type Config struct {
	// Name is the endpoint's identity in the platform's list.
	Name   string
	Ledger *Ledger
	Record *sqrecord.Record
	// CallDuration is how long a call takes.
	CallDuration time.Duration
	// MaxRunning bounds the calls at the same time.
	MaxRunning int
	// LoadLag is how late load reports are.
	LoadLag time.Duration
	// Scale multiplies every duration.
	Scale float64
}

// Service is one endpoint of a plain service. It is safe for concurrent use.
type Service struct {
	cfg    Config
	faults *sqfault.Plan
	server *sqserver.Server

	mu      sync.Mutex
	running int
	loads   []load
}

type load struct {
	AtUnixNano int64 `json:"atUnixNano"`
	Running    int   `json:"running"`
	Queued     int   `json:"queued"`
}

type refusal struct {
	Error string `json:"error"`
}

// Start opens the port "ip:port" and serves.
func Start(cfg Config, listen string) (*Service, error) {
	if cfg.Scale == 0 {
		cfg.Scale = 1
	}
	if cfg.MaxRunning == 0 {
		cfg.MaxRunning = 64
	}
	s := &Service{cfg: cfg, faults: sqfault.NewPlan()}
	server, err := sqserver.Start(sqserver.Config{Listen: listen, Handler: s.router()})
	if err != nil {
		return nil, err
	}
	s.server = server
	return s, nil
}

// Address returns the "ip:port" that the service serves.
func (s *Service) Address() string { return s.server.Address() }

// Name returns the endpoint's identity.
func (s *Service) Name() string { return s.cfg.Name }

// Crash breaks every connection and closes the port. The ledger stays.
func (s *Service) Crash() { s.server.Crash() }

// Restart serves the same address again.
func (s *Service) Restart() error { return s.server.Restart() }

// Stop ends the service in order, and by force when ctx is over.
func (s *Service) Stop(ctx context.Context) { s.server.Shutdown(ctx) }

// Running returns the number of calls that run.
func (s *Service) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

func (s *Service) router() *echo.Echo {
	r := sqserver.NewRouter()
	r.GET("/load", s.handleLoad)
	r.POST("/standin/crash", sqserver.Crash(s))
	r.GET("/standin/records", sqserver.Records(s.cfg.Record))
	r.GET("/standin/ledger", func(c echo.Context) error { return c.JSON(http.StatusOK, s.cfg.Ledger.list()) })
	s.faults.Register(r, func(what string) {
		s.cfg.Record.Append(sqrecord.Entry{Source: s.cfg.Name, Kind: sqrecord.FaultSet, Detail: what})
	})
	r.Any("/*", s.handleCall)
	return r
}

// handleCall carries out any other call. GET and HEAD read; the rest go into
// the ledger.
func (s *Service) handleCall(c echo.Context) error {
	s.noteKey(c.Request())
	f := s.faults.Take()
	s.faults.Wait(c.Request().Context().Done())
	content, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBody))
	if err != nil {
		return c.JSON(http.StatusRequestEntityTooLarge, refusal{Error: "tooLarge"})
	}
	if !s.enter() {
		c.Response().Header().Set("Sequoiadock-Not-Started", "true")
		return c.JSON(http.StatusServiceUnavailable, refusal{Error: "notStarted"})
	}
	defer s.leave()
	if s.faultBeforeRun(c, f) {
		return nil
	}
	time.Sleep(time.Duration(float64(s.cfg.CallDuration) * s.cfg.Scale))
	status, body := s.carryOut(c.Request(), content)
	if s.faultAfterRun(c, f) {
		return nil
	}
	return c.JSON(status, body)
}

func (s *Service) carryOut(r *http.Request, content []byte) (int, any) {
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		s.cfg.Record.Append(sqrecord.Entry{
			Source: s.cfg.Name, Kind: sqrecord.CallRead, Argument: r.Method + " " + r.URL.Path,
			RequestID: r.Header.Get("Sequoiadock-Request-Id"),
		})
		all := s.cfg.Ledger.list()
		return http.StatusOK, struct {
			Total    int       `json:"total"`
			Bookings []booking `json:"bookings"`
		}{len(all), all[max(0, len(all)-listed):]}
	}
	if !json.Valid(content) {
		quoted, err := json.Marshal(string(content))
		if err != nil {
			panic(err)
		}
		content = quoted
	}
	return s.cfg.Ledger.run(s.cfg.Name, r, content)
}

// noteKey records a caller's key, which must never get this far.
func (s *Service) noteKey(r *http.Request) {
	for _, h := range []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "Cookie"} {
		if r.Header.Get(h) != "" {
			s.cfg.Record.Append(sqrecord.Entry{Source: s.cfg.Name, Kind: sqrecord.KeySeen, Detail: h})
		}
	}
}

func (s *Service) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.cfg.MaxRunning {
		return false
	}
	s.running++
	s.reportLoad(time.Now())
	return true
}

func (s *Service) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.reportLoad(time.Now())
}

func (s *Service) lag() time.Duration {
	return time.Duration(float64(s.cfg.LoadLag) * s.cfg.Scale)
}

// reportLoad keeps a report for those who ask later; the lock is held.
func (s *Service) reportLoad(now time.Time) {
	s.loads = append(s.loads, load{AtUnixNano: now.UnixNano(), Running: s.running})
	late := now.Add(-s.lag()).UnixNano()
	for len(s.loads) > 1 && s.loads[1].AtUnixNano <= late {
		s.loads = s.loads[1:]
	}
}

func (s *Service) handleLoad(c echo.Context) error {
	s.faults.Wait(c.Request().Context().Done())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportLoad(time.Now())
	return c.JSON(http.StatusOK, s.loads[0])
}
