package sqconfig

import (
	"strconv"

	"sequoiadock/core/sqcommand"
)

// Maximum values of the fleet's settings.
const (
	maxEngines                   = 100_000
	maxPrice                     = 1_000_000_000
	maxArrivalSeconds            = 24 * 3600
	maxBillingWindowSeconds      = 31 * 24 * 3600
	maxWeightStoreBytesPerSecond = 1 << 50
)

// deploymentFile is the content of deployment.toml.
type deploymentFile struct {
	Deployment string `toml:"deployment"`
	Fleet      struct {
		Zones                     []string `toml:"zones"`
		MinEngines                uint32   `toml:"minEngines"`
		MaxEngines                uint32   `toml:"maxEngines"`
		DearPrice                 uint32   `toml:"dearPrice"`
		CheapPrice                uint32   `toml:"cheapPrice"`
		ArrivalSeconds            uint32   `toml:"arrivalSeconds"`
		RoleChangeSeconds         uint32   `toml:"roleChangeSeconds"`
		BillingWindowSeconds      uint32   `toml:"billingWindowSeconds"`
		OrdersEnabled             bool     `toml:"ordersEnabled"`
		WeightStoreBytesPerSecond uint64   `toml:"weightStoreBytesPerSecond"`
	} `toml:"fleet"`
	Weights struct {
		Goodput   float64 `toml:"goodput"`
		WorstTeam float64 `toml:"worstTeam"`
		Cost      float64 `toml:"cost"`
		Reports   float64 `toml:"reports"`
	} `toml:"weights"`
	Limits limits `toml:"limits"`
}

// limits holds the maximum totals of the teams' own limits; 0 means no maximum.
type limits struct {
	TokensPerSecond uint64 `toml:"tokensPerSecond"`
	MaxRunning      uint32 `toml:"maxRunning"`
}

func readDeployment(c *collector, f File) {
	var d deploymentFile
	k := decode(f, &d)
	k.CheckName("deployment", d.Deployment)
	d.checkFleet(k)
	d.checkWeights(k)
	c.addFileErrors(k)
	c.limits = d.Limits
	c.cfg.Deployment = d.Deployment
	c.cfg.Fleet = d.buildFleet()
	w := &d.Weights
	c.cfg.Weights = &sqcommand.Weights{Goodput: w.Goodput, WorstTeam: w.WorstTeam, Cost: w.Cost, Reports: w.Reports}
}

func (d *deploymentFile) buildFleet() *sqcommand.Fleet {
	f := &d.Fleet
	return &sqcommand.Fleet{
		Zones:                f.Zones,
		MinEngines:           f.MinEngines,
		MaxEngines:           f.MaxEngines,
		DearPrice:            f.DearPrice,
		CheapPrice:           f.CheapPrice,
		ArrivalSeconds:       f.ArrivalSeconds,
		RoleChangeSeconds:    f.RoleChangeSeconds,
		BillingWindowSeconds: f.BillingWindowSeconds,
		OrdersEnabled:        f.OrdersEnabled,

		WeightStoreBytesPerSecond: f.WeightStoreBytesPerSecond,
	}
}

func (d *deploymentFile) checkFleet(k *checker) {
	f := &d.Fleet
	if len(f.Zones) == 0 {
		k.AddMissing("fleet.zones", `zones = ["zoneA", "zoneB", "zoneC"]`)
	}
	seen := map[string]bool{}
	for i, z := range f.Zones {
		if k.CheckName(elementPath("fleet.zones", i), z) && seen[z] {
			k.AddError(elementPath("fleet.zones", i), "zone "+strconv.Quote(z)+" is given twice", "write each availability zone once")
		}
		seen[z] = true
	}
	k.CheckNumber("fleet.maxEngines", uint64(f.MaxEngines), 1, maxEngines)
	if f.MinEngines > f.MaxEngines {
		k.AddError("fleet.minEngines", "minEngines is above maxEngines", "write at most "+strconv.Itoa(int(f.MaxEngines)))
	}
	k.CheckNumber("fleet.dearPrice", uint64(f.DearPrice), 0, maxPrice)
	if f.CheapPrice > f.DearPrice {
		k.AddError("fleet.cheapPrice", "cheapPrice is above dearPrice", "write at most "+strconv.Itoa(int(f.DearPrice)))
	}
	k.CheckNumber("fleet.arrivalSeconds", uint64(f.ArrivalSeconds), 0, maxArrivalSeconds)
	k.CheckNumber("fleet.roleChangeSeconds", uint64(f.RoleChangeSeconds), 0, maxArrivalSeconds)
	k.CheckNumber("fleet.billingWindowSeconds", uint64(f.BillingWindowSeconds), 1, maxBillingWindowSeconds)
	k.CheckNumber("fleet.weightStoreBytesPerSecond", f.WeightStoreBytesPerSecond, 0, maxWeightStoreBytesPerSecond)
}

func (d *deploymentFile) checkWeights(k *checker) {
	w := &d.Weights
	k.checkWeight("weights.goodput", w.Goodput)
	k.checkWeight("weights.worstTeam", w.WorstTeam)
	k.checkWeight("weights.cost", w.Cost)
	k.checkWeight("weights.reports", w.Reports)
	if w.Goodput == 0 && w.WorstTeam == 0 && w.Cost == 0 && w.Reports == 0 {
		k.AddError("weights", "every weight is 0", "write at least one weight above 0, such as goodput = 1")
	}
}
