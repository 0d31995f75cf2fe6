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

// Host starts and stops the engines that run on ordered VMs.
type Host interface {
	// StartEngine starts a new engine and returns its "ip:port".
	StartEngine(vm, zone string, spot bool) (string, error)
	// StopEngine removes a VM, together with the engine or service on it.
	StopEngine(vm string)
}

// Config configures a Platform.
type Config struct {
	Host   Host
	Record *sqrecord.Record
	// ListLag is the age of the list of VMs that is served.
	ListLag time.Duration
	// ProvisionDelay is the time from an add order to a live endpoint.
	ProvisionDelay time.Duration
	// ReleaseDelay is the time from a release order to the removal of the VM.
	ReleaseDelay time.Duration
	// SpotStock and OnDemandStock are the numbers of endpoints that each zone
	// can add.
	SpotStock, OnDemandStock int
	Zones                    []string
	// HonoursFencing makes the platform refuse an outdated fencing number.
	HonoursFencing bool
	// Scale multiplies every duration; 0 means 1.
	Scale float64
}

// stockKey identifies the spot or on-demand stock of a zone.
type stockKey struct {
	zone string
	spot bool
}

// Platform is a running platform. It is safe for concurrent use.
type Platform struct {
	cfg    Config
	faults *sqfault.Injector
	server *sqserver.Server

	mu           sync.Mutex
	vms          []*vm
	listHistory  []vmList
	stock        map[stockKey]int
	responses    map[string]orderResponse
	orderedCount int
	maxTerm      uint64
	maxSequence  uint64
}

// Start listens on "ip:port" and serves. It returns an error if it cannot listen.
func Start(cfg Config, listen string) (*Platform, error) {
	if cfg.Scale == 0 {
		cfg.Scale = 1
	}
	p := &Platform{
		cfg: cfg, faults: sqfault.NewInjector(),
		stock: map[stockKey]int{}, responses: map[string]orderResponse{},
	}
	for _, z := range cfg.Zones {
		p.stock[stockKey{z, true}] = cfg.SpotStock
		p.stock[stockKey{z, false}] = cfg.OnDemandStock
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

// Stop shuts the platform down gracefully, or at once when ctx ends.
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
	r.GET("/standin/vms", p.handleCurrentVMs)
	r.GET("/standin/records", sqserver.RecordsHandler(p.cfg.Record))
	p.faults.RegisterRoutes(r, func(what string) {
		p.record(sqrecord.Entry{Kind: sqrecord.FaultSet, Detail: what})
	})
	return r
}

// withFaults injects the planned faults before the handler runs, or discards
// the handler's response after it ran.
func (p *Platform) withFaults(h echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		done := c.Request().Context().Done()
		p.faults.WaitWhilePaused(done)
		if c.Request().Method == http.MethodGet {
			return h(c)
		}
		f := p.faults.NextFault()
		if f.Is(sqfault.Reset, sqfault.BeforeRun) {
			panic(http.ErrAbortHandler)
		}
		if f.Is(sqfault.Delay, sqfault.BeforeRun) {
			time.Sleep(f.Delay())
		}
		if f.Kind == sqfault.Reset || f.Kind == sqfault.Hang {
			discarded := echo.New().NewContext(c.Request(), echo.NewResponse(discardWriter{}, nil))
			if err := h(discarded); err != nil {
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

// discardWriter is a response writer that discards the response.
type discardWriter struct{}

// Header returns headers that are not sent.
func (discardWriter) Header() http.Header { return http.Header{} }

// Write discards b.
func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader discards the status.
func (discardWriter) WriteHeader(int) {}

func (p *Platform) record(e sqrecord.Entry) {
	e.Source = "platform"
	p.cfg.Record.Append(e)
}
