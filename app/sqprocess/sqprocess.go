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
	exitFailure  = 1
	exitUsage    = 2
	exitSettings = 3
)

// Run runs the process with the given name, "control", "entry", "coordinator" or
// "gateway", and returns its exit code. Known is false for any other name.
func Run(name string, args []string, stderr io.Writer) (code int, known bool) {
	switch name {
	case "control":
		return runUntilSignal(name, args, stderr, runControl), true
	case "entry":
		return runUntilSignal(name, args, stderr, runEntry), true
	case "coordinator":
		return runUntilSignal(name, args, stderr, runCoordinator), true
	case "gateway":
		return runUntilSignal(name, args, stderr, runGateway), true
	default:
		return exitUsage, false
	}
}

// process is what a process gets from its command line and its environment.
type process struct {
	// file is the path of the settings file.
	file   string
	stderr io.Writer
	// hup receives a value at every SIGHUP. A process whose settings do not change while
	// it runs need not read it.
	hup <-chan os.Signal
}

// runUntilSignal parses the flags of a process and runs it until SIGTERM or SIGINT.
func runUntilSignal(name string, args []string, stderr io.Writer, run func(ctx context.Context, p process) int) int {
	hup := notifyHangup()
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
	return run(ctx, process{file: *file, stderr: stderr, hup: hup})
}

func runControl(ctx context.Context, p process) int {
	settings, faults := sqsettings.ReadControl(p.file)
	if len(faults) > 0 {
		return printSettingsFaults(p.stderr, faults)
	}
	n, t := settings.Node(), settings.Timing()
	log := sqlog.New(sqlog.Config{Name: n.Name(), Output: os.Stdout, Level: sqevent.Info})
	err := sqcontrol.Run(ctx, sqcontrol.Config{
		Deployment: n.Deployment(), Name: n.Name(), Zone: n.Zone(),
		ListenAddress: n.ListenAddress(), AdvertiseAddress: n.AdvertiseAddress(), DataFolder: n.DataFolder(),
		ControlAddresses: settings.ControlAddresses(), PlatformAddress: settings.PlatformAddress(),
		Timings: sqcontrol.Timings{
			HeartbeatInterval: t.HeartbeatInterval(), ElectionTimeout: t.ElectionTimeout(), LeaseDuration: t.LeaseDuration(),
			FreshnessLease: t.FreshnessLease(), PollInterval: t.PollInterval(), PlanInterval: t.PlanInterval(),
		},
		Policies: sqcontrol.Policies{Roles: settings.RolePolicy(), EndpointOrders: settings.EndpointOrderPolicy(), Models: settings.ModelPolicy()},
		Log:      log,
	})
	return reportExit(log, "control", n.Name(), err, p.stderr)
}

func runEntry(ctx context.Context, p process) int {
	settings, faults := sqsettings.ReadEntry(p.file)
	if len(faults) > 0 {
		return printSettingsFaults(p.stderr, faults)
	}
	n, t, l := settings.Node(), settings.Timing(), settings.Limits()
	log := sqlog.New(sqlog.Config{Name: n.Name(), Output: os.Stdout, Level: sqevent.Info})
	err := sqentry.Run(ctx, sqentry.Config{
		Deployment: n.Deployment(), Name: n.Name(), Zone: n.Zone(),
		CallerAddress: n.CallerAddress(), AdvertiseCallerAddress: n.AdvertiseCallerAddress(),
		InternalAddress: n.InternalAddress(), AdvertiseInternalAddress: n.AdvertiseInternalAddress(),
		ControlAddresses: settings.ControlAddresses(),
		Timings: sqentry.Timings{
			MaxFreshnessLease: t.MaxFreshnessLease(), RenewInterval: t.WatchInterval(), PollInterval: t.PollInterval(), AddressTTL: t.AddressTTL(), DrainTimeout: t.DrainTimeout(),
		},
		Limits: sqentry.Limits{
			MaxBodyBytes: l.MaxBodyBytes(), MaxHeaderBytes: l.MaxHeaderBytes(), MaxRunning: l.MaxRequests(), PollBytesPerSecond: l.PollBytesPerSecond(),
		},
		Policies: sqentry.Policies{Router: settings.RoutingPolicy(), Admission: settings.AdmissionPolicy()},
		Log:      log,
	})
	return reportExit(log, "entry", n.Name(), err, p.stderr)
}

// reportExit logs and prints the error that ended a process, if there is one, and
// returns the exit code.
func reportExit(log *sqlog.Log, role, name string, err error, stderr io.Writer) int {
	if err == nil {
		return exitOK
	}
	log.Event(sqevent.Failed, role, name, err.Error())
	fmt.Fprintln(stderr, err)
	return exitFailure
}
