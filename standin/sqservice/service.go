// Package sqservice simulates a plain booking service for tests. It serves calls
// that read, and non-idempotent calls that it keeps in a ledger.
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

// maxBodyBytes bounds the body of a call.
const maxBodyBytes = 1 << 20

// maxListed bounds the bookings in the response to a read.
const maxListed = 20

// Config configures a Service.
type Config struct {
	// Name is the endpoint's identity in the platform's list.
	Name   string
	Ledger *Ledger
	Record *sqrecord.Record
	// CallDuration is the execution time of a call.
	CallDuration time.Duration
	// MaxRunning bounds the concurrent calls; 0 means 64.
	MaxRunning int
	// LoadLag is the age of the load reports that are served.
	LoadLag time.Duration
	// Scale multiplies every duration; 0 means 1.
	Scale float64
}

// Service is one endpoint of a plain service. It is safe for concurrent use.
type Service struct {
	cfg    Config
	faults *sqfault.Injector
	server *sqserver.Server

	mu          sync.Mutex
	running     int
	loadReports []loadReport
}

type loadReport struct {
	AtUnixNano int64 `json:"atUnixNano"`
	Running    int   `json:"running"`
	Queued     int   `json:"queued"`
}

type errorBody struct {
	Error string `json:"error"`
}

// Start listens on "ip:port" and serves. It returns an error if it cannot listen.
func Start(cfg Config, listen string) (*Service, error) {
	if cfg.Scale == 0 {
		cfg.Scale = 1
	}
	if cfg.MaxRunning == 0 {
		cfg.MaxRunning = 64
	}
	s := &Service{cfg: cfg, faults: sqfault.NewInjector()}
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

// Crash resets every connection and closes the port. The ledger is kept.
func (s *Service) Crash() { s.server.Crash() }

// Restart serves the same address again after a crash.
func (s *Service) Restart() error { return s.server.Restart() }

// Stop shuts the service down gracefully, or at once when ctx ends.
func (s *Service) Stop(ctx context.Context) { s.server.Shutdown(ctx) }

// Running returns the number of running calls.
func (s *Service) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

func (s *Service) router() *echo.Echo {
	r := sqserver.NewRouter()
	r.GET("/load", s.handleLoad)
	r.POST("/standin/crash", sqserver.CrashHandler(s))
	r.GET("/standin/records", sqserver.RecordsHandler(s.cfg.Record))
	r.GET("/standin/ledger", func(c echo.Context) error { return c.JSON(http.StatusOK, s.cfg.Ledger.list()) })
	s.faults.RegisterRoutes(r, func(what string) {
		s.cfg.Record.Append(sqrecord.Entry{Source: s.cfg.Name, Kind: sqrecord.FaultSet, Detail: what})
	})
	r.Any("/*", s.handleCall)
	return r
}

// handleCall executes the calls of the simulated service. GET and HEAD read; all
// other methods add to the ledger.
func (s *Service) handleCall(c echo.Context) error {
	s.recordKey(c.Request())
	f := s.faults.NextFault()
	s.faults.WaitWhilePaused(c.Request().Context().Done())
	content, err := io.ReadAll(http.MaxBytesReader(c.Response().Writer, c.Request().Body, maxBodyBytes))
	if err != nil {
		return c.JSON(http.StatusRequestEntityTooLarge, errorBody{Error: "tooLarge"})
	}
	if !s.acquireSlot() {
		c.Response().Header().Set("Sequoiadock-Not-Started", "true")
		return c.JSON(http.StatusServiceUnavailable, errorBody{Error: "notStarted"})
	}
	defer s.releaseSlot()
	if s.injectBeforeRun(c, f) {
		return nil
	}
	time.Sleep(time.Duration(float64(s.cfg.CallDuration) * s.cfg.Scale))
	status, body := s.execute(c.Request(), content)
	if s.injectAfterRun(c, f) {
		return nil
	}
	return c.JSON(status, body)
}

func (s *Service) execute(r *http.Request, content []byte) (int, any) {
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		s.cfg.Record.Append(sqrecord.Entry{
			Source: s.cfg.Name, Kind: sqrecord.CallRead, Argument: r.Method + " " + r.URL.Path,
			RequestID: r.Header.Get("Sequoiadock-Request-Id"),
		})
		all := s.cfg.Ledger.list()
		return http.StatusOK, struct {
			Total    int       `json:"total"`
			Bookings []booking `json:"bookings"`
		}{len(all), all[max(0, len(all)-maxListed):]}
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

// recordKey records the headers that carry a caller's key. A key must never
// reach an endpoint.
func (s *Service) recordKey(r *http.Request) {
	for _, h := range []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "Cookie"} {
		if r.Header.Get(h) != "" {
			s.cfg.Record.Append(sqrecord.Entry{Source: s.cfg.Name, Kind: sqrecord.CredentialSeen, Detail: h})
		}
	}
}

func (s *Service) acquireSlot() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.cfg.MaxRunning {
		return false
	}
	s.running++
	s.addLoadReport(time.Now())
	return true
}

func (s *Service) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.addLoadReport(time.Now())
}

func (s *Service) lag() time.Duration {
	return time.Duration(float64(s.cfg.LoadLag) * s.cfg.Scale)
}

// addLoadReport stores a load report and drops the ones that are older than
// needed for the lag. The caller holds the lock.
func (s *Service) addLoadReport(now time.Time) {
	s.loadReports = append(s.loadReports, loadReport{AtUnixNano: now.UnixNano(), Running: s.running})
	cutoff := now.Add(-s.lag()).UnixNano()
	for len(s.loadReports) > 1 && s.loadReports[1].AtUnixNano <= cutoff {
		s.loadReports = s.loadReports[1:]
	}
}

func (s *Service) handleLoad(c echo.Context) error {
	s.faults.WaitWhilePaused(c.Request().Context().Done())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addLoadReport(time.Now())
	return c.JSON(http.StatusOK, s.loadReports[0])
}
