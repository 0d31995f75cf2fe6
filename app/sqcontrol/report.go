package sqcontrol

import (
	"context"
	"time"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqstate"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqrpc"
)

// Report kinds.
const (
	reportBurn     = "burn"
	reportUsage    = "usage"
	reportSpending = "spending"
)

// Report implements sqrpc.Control.
func (s *server) Report(_ context.Context, req *sqrpc.ReportRequest) (*sqrpc.ReportResponse, error) {
	now := sqclock.Now()
	t, err := s.holder.currentTerm(now)
	if err != nil {
		return nil, sqrpc.ToTwirp(err)
	}
	res := &sqrpc.ReportResponse{}
	switch req.GetKind() {
	case reportBurn:
		res.Burn = s.holder.burnWindows(now, t)
	case reportUsage:
		s.machine.Read(func(state *sqstate.State) { res.Usage = state.UsageWindows() })
	case reportSpending:
		res.Spending = s.holder.spending(now, t)
	default:
		return nil, sqrpc.ToTwirp(sqerror.New(sqerror.Config{
			Kind: sqerror.NotFound, Detail: "no report " + req.GetKind(), Advice: "ask for burn, usage or spending",
		}))
	}
	return res, nil
}

func (h *holder) burnWindows(now time.Time, t *termState) []*sqrpc.BurnWindow {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []*sqrpc.BurnWindow
	for _, b := range t.burn.Burns(now) {
		out = append(out, &sqrpc.BurnWindow{
			Team: b.Key().Team(), Service: b.Key().Service(), WindowSeconds: uint32(b.Window().Seconds()),
			Good: b.Good(), Bad: b.Bad(), ObjectivePercent: b.ObjectivePercent(), Rate: b.Rate(),
		})
	}
	return out
}

// spending sums the hours and the price of the endpoints that are listed now, by
// zone and price class, from when this holder first saw them.
func (h *holder) spending(now time.Time, t *termState) []*sqrpc.SpendingLine {
	var fleet *sqcommand.Fleet
	h.machine.Read(func(s *sqstate.State) { fleet = s.Configuration().GetFleet() })
	type endpointClass struct {
		zone string
		spot bool
	}
	lines := make(map[endpointClass]*sqrpc.SpendingLine)
	var out []*sqrpc.SpendingLine
	for _, e := range h.endpoints(t) {
		key := endpointClass{e.Zone(), e.Spot()}
		line := lines[key]
		if line == nil {
			line = &sqrpc.SpendingLine{Zone: e.Zone(), Cheap: e.Spot()}
			lines[key] = line
			out = append(out, line)
		}
		hours := now.Sub(e.FirstListed()).Hours()
		price := fleet.GetDearPrice()
		if e.Spot() {
			price = fleet.GetCheapPrice()
		}
		line.Hours += hours
		line.Price += hours * float64(price)
	}
	return out
}
