// Package sqprocess starts the long-running processes: it reads and checks the
// settings, turns signals into a graceful stop, and maps failures to exit codes.
package sqprocess

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"sequoiadock/app/sqcontrol"
	"sequoiadock/app/sqentry"
	"sequoiadock/core/sqevent"
	"sequoiadock/io/sqlog"
	"sequoiadock/io/sqsettings"
)

// Exit codes of the processes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitSettings = 3
)

// Run runs the process that name stands for, "control", "entry", "coordinator"
// or "gateway", and returns its exit code. The second result is false for any other name.
func Run(name string, args []string, stderr io.Writer) (code int, known bool) {
	switch name {
	case "control":
		return start(name, args, stderr, control), true
	case "entry":
		return start(name, args, stderr, entry), true
	case "coordinator":
		return start(name, args, stderr, coordinator), true
	case "gateway":
		return start(name, args, stderr, gateway), true
	default:
		return exitUsage, false
	}
}

// start parses the flags of a process and runs it until a signal.
func start(name string, args []string, stderr io.Writer, run func(ctx context.Context, file string, stderr io.Writer) int) int {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	file := flags.String("settings", "", "the TOML `file` with the settings of the process")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	if *file == "" || flags.NArg() > 0 {
		fmt.Fprintf(stderr, "usage: sequoiadock %s -settings FILE\n", name)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return run(ctx, *file, stderr)
}

func control(ctx context.Context, file string, stderr io.Writer) int {
	set, faults := sqsettings.ReadControl(file)
	if len(faults) > 0 {
		return settingsFaults(stderr, faults)
	}
	n, t := set.Node(), set.Timing()
	log := sqlog.New(sqlog.Config{Name: n.Name(), Output: os.Stdout, Level: sqevent.Info})
	err := sqcontrol.Run(ctx, sqcontrol.Config{
		Deployment: n.Deployment(), Name: n.Name(), Zone: n.Zone(),
		Listen: n.Listen(), Advertise: n.Advertise(), DataFolder: n.DataFolder(),
		Controls: set.Controls(), Platform: set.Platform(),
		Timings: sqcontrol.Timings{
			Heartbeat: t.Heartbeat(), Election: t.Election(), Lease: t.Lease(),
			Fresh: t.Fresh(), Poll: t.Poll(), Plan: t.Plan(),
		},
		Policy: sqcontrol.Policy{Roles: set.Roles(), Stock: set.Stock(), Models: set.Models()},
		Log:    log,
	})
	return ended(log, "control", n.Name(), err, stderr)
}

func entry(ctx context.Context, file string, stderr io.Writer) int {
	set, faults := sqsettings.ReadEntry(file)
	if len(faults) > 0 {
		return settingsFaults(stderr, faults)
	}
	n, t, l := set.Node(), set.Timing(), set.Limits()
	log := sqlog.New(sqlog.Config{Name: n.Name(), Output: os.Stdout, Level: sqevent.Info})
	err := sqentry.Run(ctx, sqentry.Config{
		Deployment: n.Deployment(), Name: n.Name(), Zone: n.Zone(),
		CallersListen: n.Callers(), CallersAdvertise: n.AdvertiseCallers(),
		InternalListen: n.Internal(), InternalAdvertise: n.AdvertiseInternal(),
		Controls: set.Controls(),
		Timings: sqentry.Timings{
			FreshnessLease: t.Fresh(), RenewInterval: t.Watch(), PollInterval: t.Poll(), AddressTTL: t.Keep(), StopGrace: t.Stop(),
		},
		Limits: sqentry.Limits{
			MaxBodyBytes: l.MaxBodyBytes(), MaxHeaderBytes: l.MaxHeaderBytes(), MaxRequests: l.MaxRunning(), PollBytesPerSecond: l.PollBytes(),
		},
		Policies: sqentry.Policies{Router: set.Router(), Admission: set.Admission()},
		Log:      log,
	})
	return ended(log, "entry", n.Name(), err, stderr)
}

func ended(log *sqlog.Log, role, name string, err error, stderr io.Writer) int {
	if err == nil {
		return exitOK
	}
	log.Event(sqevent.Failed, role, name, err.Error())
	fmt.Fprintln(stderr, err)
	return exitFailed
}
