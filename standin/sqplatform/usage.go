package sqplatform

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"sequoiadock/standin/sqrecord"
	"sequoiadock/standin/sqserver"
)

// usageReport is the wire form of a usage report. Its lines are kept unparsed.
type usageReport struct {
	Window          uint64          `json:"window"`
	FromUnixNano    int64           `json:"fromUnixNano"`
	ToUnixNano      int64           `json:"toUnixNano"`
	Lines           json.RawMessage `json:"lines"`
	FencingTerm     uint64          `json:"fencingTerm"`
	FencingSequence uint64          `json:"fencingSequence"`
}

// handleUsage records the report. The platform bills the first report of a
// window. It does not compare repeated reports: the tests check the record for a
// window that was reported twice with different figures.
func (p *Platform) handleUsage(c echo.Context) error {
	var u usageReport
	if err := sqserver.Decode(c, &u); err != nil {
		return err
	}
	body, err := json.Marshal(u)
	if err != nil {
		panic(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	detail := "accepted"
	if p.isStale(u.FencingTerm, u.FencingSequence) {
		detail = "fenced"
	}
	p.record(sqrecord.Entry{
		Kind: sqrecord.UsageReported, FencingTerm: u.FencingTerm, FencingSequence: u.FencingSequence, Detail: detail, Body: body,
	})
	if detail == "fenced" {
		return c.JSON(http.StatusConflict, orderResponse{Error: "fenced"})
	}
	return c.JSON(http.StatusOK, struct{}{})
}

// Spending is the total uptime of the spot or on-demand engine VMs of a zone.
type Spending struct {
	Zone string `json:"zone"`
	Spot bool   `json:"cheap"`
	// VMSeconds is in unscaled seconds: the measured time divided by the scale.
	VMSeconds float64 `json:"vmSeconds"`
}

// handleSpending serves the uptime of the engine VMs so far.
func (p *Platform) handleSpending(c echo.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	all := []Spending{}
	for _, z := range p.cfg.Zones {
		for _, spot := range []bool{false, true} {
			s := Spending{Zone: z, Spot: spot}
			for _, v := range p.vms {
				if v.Kind == KindEngine && v.Zone == z && v.Spot == spot {
					s.VMSeconds += v.uptimeSeconds(now) / p.cfg.Scale
				}
			}
			all = append(all, s)
		}
	}
	return c.JSON(http.StatusOK, all)
}

func (v *vm) uptimeSeconds(now time.Time) float64 {
	if !v.endedAt.IsZero() {
		now = v.endedAt
	}
	return now.Sub(v.startedAt).Seconds()
}
