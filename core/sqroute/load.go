package sqroute

import "time"

// LoadReportConfig holds the parts of a LoadReport.
type LoadReportConfig struct {
	// At is the time of the measurement, on the clock of the process that makes
	// the routing decisions.
	At            time.Time
	Running       int
	Queued        int
	PrefillTokens int
	DecodeTokens  int
}

// LoadReport is an endpoint's own load report. It arrives with a delay.
type LoadReport struct {
	cfg LoadReportConfig
}

// NewLoadReport returns the report that cfg describes.
func NewLoadReport(cfg LoadReportConfig) LoadReport { return LoadReport{cfg: cfg} }

// At returns the time of the measurement.
func (r LoadReport) At() time.Time { return r.cfg.At }

// LoadConfig holds the parts of a Load.
type LoadConfig struct {
	Endpoint      string
	Running       int
	PrefillTokens int
	DecodeTokens  int
}

// Load is the work in flight at an endpoint from one entry, or summed over
// several.
type Load struct {
	cfg LoadConfig
}

// NewLoad returns the load that cfg describes.
func NewLoad(cfg LoadConfig) Load { return Load{cfg: cfg} }

// Endpoint returns the endpoint's identity.
func (l Load) Endpoint() string { return l.cfg.Endpoint }

// Running returns the number of requests in flight.
func (l Load) Running() int { return l.cfg.Running }

// PrefillTokens returns the number of prompt tokens still to be prefilled.
func (l Load) PrefillTokens() int { return l.cfg.PrefillTokens }

// DecodeTokens returns the number of output tokens still to be generated.
func (l Load) DecodeTokens() int { return l.cfg.DecodeTokens }
