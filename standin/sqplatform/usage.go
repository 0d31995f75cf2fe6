package sqplatform

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"sequoiadock/standin/sqrecord"
	"sequoiadock/standin/sqserver"
)

// usageReport is the wire form of a report, with its lines as they came.
type usageReport struct {
	Window          uint64          `json:"window"`
	FromUnixNano    int64           `json:"fromUnixNano"`
	ToUnixNano      int64           `json:"toUnixNano"`
	Lines           json.RawMessage `json:"lines"`
	FencingTerm     uint64          `json:"fencingTerm"`
	FencingSequence uint64          `json:"fencingSequence"`
}

// handleUsage records the report. The platform bills what it gets first; tests
// judge whether a window came twice with different figures.
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
	if p.fenced(u.FencingTerm, u.FencingSequence) {
		detail = "fenced"
	}
	p.record(sqrecord.Entry{
		Kind: sqrecord.UsageReported, Term: u.FencingTerm, Sequence: u.FencingSequence, Detail: detail, Body: body,
	})
	if detail == "fenced" {
		return c.JSON(http.StatusConflict, orderAnswer{Error: "fenced"})
	}
	return c.JSON(http.StatusOK, struct{}{})
}

// Spending is the time that VMs of one kind and zone were there.
type Spending struct {
	Zone string `json:"zone"`
	Spot bool   `json:"cheap"`
	// VMSeconds is in seconds of the model, not of the scaled run.
	VMSeconds float64 `json:"vmSeconds"`
}

// handleSpending says what the engines cost so far.
func (p *Platform) handleSpending(c echo.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	all := []Spending{}
	for _, z := range p.cfg.Zones {
		for _, cheap := range []bool{false, true} {
			s := Spending{Zone: z, Spot: cheap}
			for _, v := range p.vms {
				if v.Kind == KindEngine && v.Zone == z && v.Spot == cheap {
					s.VMSeconds += v.seconds(now) / p.cfg.Scale
				}
			}
			all = append(all, s)
		}
	}
	return c.JSON(http.StatusOK, all)
}

func (v *vm) seconds(now time.Time) float64 {
	if !v.until.IsZero() {
		now = v.until
	}
	return now.Sub(v.since).Seconds()
}
