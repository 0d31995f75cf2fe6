package sqoperator

import (
	"path/filepath"
	"sort"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqrpc"
)

// Dimensions of the plot.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 5 * vg.Inch
	barWidth   = vg.Length(10)
)

// checkPlotFlag rejects a report kind or file name that can't be plotted, before
// any request is sent.
func (c *invocation) checkPlotFlag(kind string) error {
	if kind != reportBurn {
		return c.usageError("-plot is for the burn report")
	}
	if ext := filepath.Ext(c.plotFile); ext != ".png" && ext != ".svg" {
		return sqerror.New(sqerror.Config{Kind: sqerror.Usage, Detail: "-plot " + c.plotFile, Advice: "name a file that ends in .png or .svg"})
	}
	return nil
}

// plotBurn draws one group of bars for each team and service, and one bar in
// it for each window.
func plotBurn(file string, windows []*sqrpc.BurnWindow) error {
	p := plot.New()
	p.Title.Text = "Burn rate of the error budget (1 = as fast as the objective permits)"
	p.Y.Label.Text = "burn rate"
	p.Y.Min = 0
	groups, windowLengths, rates := groupBurnWindows(windows)
	for i, windowSeconds := range windowLengths {
		bars, err := plotter.NewBarChart(rates[i], barWidth)
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * vg.Length(2*i-len(windowLengths)+1) / 2
		p.Add(bars)
		p.Legend.Add(formatSeconds(windowSeconds), bars)
	}
	if len(groups) > 0 {
		p.Legend.Top = true
		p.NominalX(groups...)
		objective := plotter.NewFunction(func(float64) float64 { return 1 })
		objective.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
		p.Add(objective)
	}
	return p.Save(plotWidth, plotHeight, file)
}

// groupBurnWindows returns a group name for each team and service, the sorted
// window lengths in seconds, and the burn rates indexed by length, then group.
func groupBurnWindows(windows []*sqrpc.BurnWindow) (groups []string, lengths []uint32, rates []plotter.Values) {
	groupIndex := map[string]int{}
	seenLengths := map[uint32]bool{}
	for _, b := range windows {
		name := b.GetTeam() + " " + b.GetService()
		if _, ok := groupIndex[name]; !ok {
			groupIndex[name] = len(groups)
			groups = append(groups, name)
		}
		seenLengths[b.GetWindowSeconds()] = true
	}
	for l := range seenLengths {
		lengths = append(lengths, l)
	}
	sort.Slice(lengths, func(i, j int) bool { return lengths[i] < lengths[j] })
	for _, l := range lengths {
		values := make(plotter.Values, len(groups))
		for _, b := range windows {
			if b.GetWindowSeconds() == l {
				values[groupIndex[b.GetTeam()+" "+b.GetService()]] = b.GetRate()
			}
		}
		rates = append(rates, values)
	}
	return groups, lengths, rates
}
