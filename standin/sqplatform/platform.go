// Package sqplatform is the platform: the late list of VMs, endpoint orders by
// availability zone, reclaimed spot endpoints and usage reports.
package sqplatform

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"sequoiadock/standin/sqfault"
	"sequoiadock/standin/sqrecord"
	"sequoiadock/standin/sqserver"
)

// Host runs the endpoints that are ordered.
type Host interface {
	// StartEngine runs a new engine and returns its "ip:port".
	StartEngine(vm, zone string, cheap bool) (string, error)
	// StopEngine takes the VM away, whatever runs on it.
	StopEngine(vm string)
}

// Config configures a Platform.
type Config struct {
	Host   Host
	Record *sqrecord.Record
	// ListLag is how late the list of VMs is.
	ListLag time.Duration
	// Arrival is the time from an order to a live endpoint.
	Arrival time.Duration
	// ReleaseDelay is the time from a release to the end of the VM.
	ReleaseDelay time.Duration
	// CheapStock and DearStock are the endpoints that each zone can add.
	CheapStock, DearStock int
	Zones                 []string
	// HonoursFencing makes the platform refuse an old fencing number.
	HonoursFencing bool
	// Scale multiplies every duration.
	Scale float64
}

// stockKey names the stock of a zone.
type stockKey struct {
	zone  string
	cheap bool
}

// Platform is a running platform. It is safe for concurrent use.
type Platform struct {
	cfg    Config
	faults *sqfault.Plan
	server *sqserver.Server

	mu       sync.Mutex
	vms      []*vm
	lists    []vmList
	stock    map[stockKey]int
	answers  map[string]orderAnswer
	ordered  int
	term     uint64
	sequence uint64
}

// Start opens the port "ip:port" and serves.
func Start(cfg Config, listen string) (*Platform, error) {
	if cfg.Scale == 0 {
		cfg.Scale = 1
	}
	p := &Platform{
		cfg: cfg, faults: sqfault.NewPlan(),
		stock: map[stockKey]int{}, answers: map[string]orderAnswer{},
	}
	for _, z := range cfg.Zones {
		p.stock[stockKey{z, true}] = cfg.CheapStock
		p.stock[stockKey{z, false}] = cfg.DearStock
	}
	server, err := sqserver.Start(sqserver.Config{Listen: listen, Handler: p.router()})
	if err != nil {
		return nil, err
	}
	p.server = server
	return p, nil
}

// Address returns the "ip:port" that the platform serves.
func (p *Platform) Address() string { return p.server.Address() }

// Stop ends the platform in order, and by force when ctx is over.
func (p *Platform) Stop(ctx context.Context) { p.server.Shutdown(ctx) }

func (p *Platform) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * p.cfg.Scale)
}

func (p *Platform) router() *echo.Echo {
	r := sqserver.NewRouter()
	r.GET("/v1/vms", p.withFaults(p.handleVMs))
	r.POST("/v1/endpointOrders", p.withFaults(p.handleOrder))
	r.POST("/v1/usageReports", p.withFaults(p.handleUsage))
	r.POST("/standin/reclaim", p.handleReclaim)
	r.POST("/standin/restock", p.handleRestock)
	r.POST("/standin/leave", p.handleLeave)
	r.POST("/standin/advertise", p.handleAdvertise)
	r.GET("/standin/spending", p.handleSpending)
	r.GET("/standin/vms", p.handleTrueVMs)
	r.GET("/standin/records", sqserver.Records(p.cfg.Record))
	p.faults.Register(r, func(what string) {
		p.record(sqrecord.Entry{Kind: sqrecord.FaultSet, Detail: what})
	})
	return r
}

// withFaults carries out the faults before an answer and after the work that
// it tells of.
func (p *Platform) withFaults(h echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		done := c.Request().Context().Done()
		p.faults.Wait(done)
		if c.Request().Method == http.MethodGet {
			return h(c)
		}
		f := p.faults.Take()
		if f.Is(sqfault.Reset, sqfault.BeforeRun) {
			panic(http.ErrAbortHandler)
		}
		if f.Is(sqfault.Delay, sqfault.BeforeRun) {
			time.Sleep(f.Delay())
		}
		if f.Kind == sqfault.Reset || f.Kind == sqfault.Hang {
			lost := echo.New().NewContext(c.Request(), echo.NewResponse(discard{}, nil))
			if err := h(lost); err != nil {
				return err
			}
			if f.Kind == sqfault.Hang {
				<-done
			}
			panic(http.ErrAbortHandler)
		}
		return h(c)
	}
}

// discard is an answer that is lost.
type discard struct{}

// Header returns headers that nobody reads.
func (discard) Header() http.Header { return http.Header{} }

// Write takes b and forgets it.
func (discard) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader forgets the status.
func (discard) WriteHeader(int) {}

func (p *Platform) record(e sqrecord.Entry) {
	e.Source = "platform"
	p.cfg.Record.Append(e)
}
