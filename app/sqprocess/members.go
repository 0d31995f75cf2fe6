package sqprocess

import (
	"context"
	"io"
	"net/http"

	"sequoiadock/app/sqcoordinator"
	"sequoiadock/app/sqgateway"
	sqcore "sequoiadock/core"
	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqretry"
	"sequoiadock/io/sqsettings"
	sqadapter "sequoiadock/platform"
)

// freshPercent is the part of the time in which a withdrawn key must have stopped
// working for which a gateway acts on what the holder said. The rest is for a
// request that is already on its way through the gateway.
const freshPercent = 80

func coordinator(ctx context.Context, file string, stderr io.Writer) int {
	set, faults := sqsettings.ReadCoordinator(file)
	if len(faults) > 0 {
		return settingsFaults(stderr, faults)
	}
	n, b := set.Node(), set.Bounds()
	log, end := newLog(n.Name())
	defer end()
	err := sqcoordinator.Run(ctx, sqcoordinator.Config{
		Name: n.Name(), Zone: n.Zone(), InternalAddress: n.Internal(), OperatorAddress: set.Operators(), DataFolder: set.DataFolder(),
		Seeds: set.Cluster().Seeds(), FirstStart: set.FirstStart(), TargetVoters: set.Cluster().Voters(),
		FreshnessLease: b.Revoke() * freshPercent / 100, TakeoverDelay: b.Lease(), BillingWindow: b.Window(), Wire: sqadapter.Wire{},
		NewPlatform: func(plain *http.Client, guarded func(term uint64) *http.Client) (sqcore.Platform, sqcore.Engines) {
			client := sqadapter.NewClient(sqadapter.ClientConfig{Address: set.Platform(), Plain: plain, Guarded: guarded})
			return client, client
		},
		OperatorHandler: sqadapter.OperatorHandler,
		SeedUpdates: watchSettings(ctx, log, "coordinator", file, func() ([]string, []*sqerror.Error) {
			s, faults := sqsettings.ReadCoordinator(file)
			return seedsOf(s, faults)
		}),
		Log: log,
	})
	return ended(log, "coordinator", n.Name(), err, stderr)
}

func gateway(ctx context.Context, file string, stderr io.Writer) int {
	set, faults := sqsettings.ReadGateway(file)
	if len(faults) > 0 {
		return settingsFaults(stderr, faults)
	}
	n, b := set.Node(), set.Bounds()
	log, end := newLog(n.Name())
	defer end()
	err := sqgateway.Run(ctx, sqgateway.Config{
		Name: n.Name(), Zone: n.Zone(), Region: n.Region(),
		Callers: set.Callers(), Ready: set.Ready(), Directory: set.Directory(), Internal: n.Internal(),
		Seeds:  set.Cluster().Seeds(),
		Retry:  sqretry.Config{Ratio: b.RetryRatio(), ExtraRetries: b.RetryExtra(), Window: b.RetryWindow()},
		Window: b.Window(), Grace: b.Grace(), Wire: sqadapter.Wire{},
		DirectoryHandler: sqadapter.DirectoryHandler, ReadyHandler: sqadapter.ReadyHandler,
		Reload: watchSettings(ctx, log, "gateway", file, func() ([]string, []*sqerror.Error) {
			s, faults := sqsettings.ReadGateway(file)
			return seedsOf(s, faults)
		}),
		Log: log,
	})
	return ended(log, "gateway", n.Name(), err, stderr)
}

// clustered is settings that name the group.
type clustered interface {
	Cluster() sqsettings.Cluster
}

// seedsOf returns the seeds that settings name, or the faults of the settings.
func seedsOf(s clustered, faults []*sqerror.Error) ([]string, []*sqerror.Error) {
	if len(faults) > 0 {
		return nil, faults
	}
	return s.Cluster().Seeds(), nil
}
