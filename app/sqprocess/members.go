package sqprocess

import (
	"context"
	"net/http"
	"runtime/debug"

	"sequoiadock/app/sqcoordinator"
	"sequoiadock/app/sqgateway"
	sqcore "sequoiadock/core"
	"sequoiadock/core/sqdirectory"
	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqquota"
	"sequoiadock/core/sqretry"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqsettings"
	sqadapter "sequoiadock/platform"
)

// freshnessLeasePercent is the freshness lease of gateways as a percentage of the time
// within which a withdrawn key must stop working. The rest of that time is for requests
// that a gateway is already handling.
const freshnessLeasePercent = 80

// A coordinator's heap is small, and each heartbeat leaves some garbage: at the usual
// percentage, a third of the processor time at hundreds of gateways is garbage collection.
// Beyond the memory limit of the process, the heap is collected as often as needed.
const coordinatorGCPercent = 400

func runCoordinator(ctx context.Context, p process) int {
	settings, faults := sqsettings.ReadCoordinator(p.file)
	if len(faults) > 0 {
		return printSettingsFaults(p.stderr, faults)
	}
	debug.SetGCPercent(coordinatorGCPercent)
	n, b := settings.Node(), settings.Bounds()
	log, closeLog := newLog(n.Name())
	defer closeLog()
	err := sqcoordinator.Run(ctx, sqcoordinator.Config{
		Name: n.Name(), Zone: n.Zone(), InternalAddress: n.InternalAddress(), OperatorAddress: settings.OperatorAddress(), DataFolder: settings.DataFolder(),
		Seeds: settings.Cluster().Seeds(), FirstStart: settings.FirstStart(), TargetVoters: settings.Cluster().Voters(),
		FreshnessLease: b.RevocationTimeout() * freshnessLeasePercent / 100, TakeoverDelay: b.TakeoverDelay(), FencedReceivers: b.FencedReceivers(), BillingWindow: b.BillingWindow(), Quota: quotaBounds(b), Wire: sqadapter.Wire{},
		LimitedMemory: sqadapter.LimitsMemory(n.Contracts()),
		NewPlatform: func(plain *http.Client, guarded func(term uint64) *http.Client) (sqcore.Platform, sqcore.Engines) {
			client := sqadapter.NewClient(sqadapter.ClientConfig{Address: settings.PlatformAddress(), ReadClient: plain, LeaseClient: guarded, Wall: sqclock.Wall, Now: sqclock.Now})
			return client, client
		},
		MemoryBytes: n.VM().MemoryBytes(), MaxDescriptors: n.VM().MaxDescriptors(),
		OperatorHandler: sqadapter.OperatorHandler,
		SeedUpdates: watchSettings(ctx, settingsWatch{log: log, role: "coordinator", file: p.file, hup: p.hup, readSeeds: func() ([]string, []*sqerror.Error) {
			s, faults := sqsettings.ReadCoordinator(p.file)
			return seedsOf(s, faults)
		}}),
		Log: log,
	})
	return reportExit(log, "coordinator", n.Name(), err, p.stderr)
}

func runGateway(ctx context.Context, p process) int {
	settings, faults := sqsettings.ReadGateway(p.file)
	if len(faults) > 0 {
		return printSettingsFaults(p.stderr, faults)
	}
	n, b := settings.Node(), settings.Bounds()
	log, closeLog := newLog(n.Name())
	defer closeLog()
	err := sqgateway.Run(ctx, sqgateway.Config{
		Name: n.Name(), Zone: n.Zone(), Region: n.Region(),
		CallerAddress: settings.CallerAddress(), ReadinessAddress: settings.ReadinessAddress(), DirectoryAddress: settings.DirectoryAddress(), InternalAddress: n.InternalAddress(),
		Seeds:         settings.Cluster().Seeds(),
		Retry:         sqretry.Config{Ratio: b.RetryRatio(), ExtraRetries: b.ExtraRetries(), Window: b.RetryWindow()},
		BillingWindow: b.BillingWindow(), StopGracePeriod: b.StopGracePeriod(), TableApplyTimeout: b.TableApplyTimeout(), DrainTimeout: b.DrainTimeout(), Quota: quotaBounds(b), Wire: sqadapter.Wire{},
		VM:          sqdirectory.VM{MemoryBytes: n.VM().MemoryBytes(), LinkMegabits: n.VM().LinkMegabits(), ProcessorShare: n.VM().ProcessorShare()},
		MemoryBytes: n.VM().MemoryBytes(), MaxDescriptors: n.VM().MaxDescriptors(),
		LimitedMemory: sqadapter.LimitsMemory(n.Contracts()), MaxEndpointBodyBytes: int(b.MaxEndpointBodyBytes()),
		DirectoryHandler: sqadapter.DirectoryHandler, ReadyHandler: sqadapter.ReadyHandler,
		SeedUpdates: watchSettings(ctx, settingsWatch{log: log, role: "gateway", file: p.file, hup: p.hup, readSeeds: func() ([]string, []*sqerror.Error) {
			s, faults := sqsettings.ReadGateway(p.file)
			return seedsOf(s, faults)
		}}),
		Log: log,
	})
	return reportExit(log, "gateway", n.Name(), err, p.stderr)
}

// quotaBounds returns how far all gateways together may exceed a team's quota.
func quotaBounds(b sqsettings.Bounds) sqquota.Bounds {
	return sqquota.Bounds{Window: b.QuotaWindow(), Overrun: b.QuotaOverrun(), Slack: b.QuotaSlack()}
}

// clusterSettings is implemented by settings with a cluster section.
type clusterSettings interface {
	Cluster() sqsettings.Cluster
}

// seedsOf returns the seeds in the settings, or the faults if there are any.
func seedsOf(s clusterSettings, faults []*sqerror.Error) ([]string, []*sqerror.Error) {
	if len(faults) > 0 {
		return nil, faults
	}
	return s.Cluster().Seeds(), nil
}
