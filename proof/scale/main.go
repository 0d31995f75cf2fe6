// Command scale measures the processor time, memory and traffic of the control
// processes as the numbers of entries, endpoints and teams grow, so that
// docs/CAPACITY.md can extrapolate from the slopes. It runs three control
// processes, one entry and the stand-ins. The other entries are simulated by
// watchers in this process that exchange the same messages as an entry.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqrpc"
	"sequoiadock/proof/sqcluster"
)

// plan holds the parameters of one run.
type plan struct {
	entryCounts []int
	engines     int
	teams       int
	period      time.Duration
	watchPeriod time.Duration
	// rate is the number of requests per second at the entry; 0 leaves the entry idle.
	rate float64
}

func main() {
	p, err := parseFlags(os.Args[1:])
	if err == nil {
		err = measureAll(context.Background(), p)
	}
	sqcluster.CleanUp()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func parseFlags(args []string) (plan, error) {
	f := flag.NewFlagSet("scale", flag.ContinueOnError)
	entries := f.String("entries", "8,50,150,340", "numbers of entries, separated by commas")
	engines := f.Int("engines", 20, "number of engines")
	teams := f.Int("teams", 8, "number of teams")
	period := f.Duration("period", 8*time.Second, "how long each number is measured")
	watch := f.Duration("watch", 250*time.Millisecond, "period of the watch")
	rate := f.Float64("rate", 0, "requests a second at the entry")
	if err := f.Parse(args); err != nil {
		return plan{}, sqerror.New(sqerror.Config{Kind: sqerror.Usage, Cause: err})
	}
	p := plan{engines: *engines, teams: *teams, period: *period, watchPeriod: *watch, rate: *rate}
	for _, word := range strings.Split(*entries, ",") {
		n, err := strconv.Atoi(word)
		if err != nil || n < 1 {
			return plan{}, sqerror.New(sqerror.Config{Kind: sqerror.Usage, Detail: word + " is no number of entries"})
		}
		p.entryCounts = append(p.entryCounts, n)
	}
	return p, nil
}

// measureAll starts the deployment and prints one line of results for each number
// of entries.
func measureAll(ctx context.Context, p plan) error {
	folder, err := os.MkdirTemp("", "scale")
	if err != nil {
		return sqerror.New(sqerror.Config{Kind: sqerror.OutputFailed, Cause: err})
	}
	defer func() { _ = os.RemoveAll(folder) }()
	cfg := sqcluster.Config{Folder: folder, EntryCount: 1, EntryTiming: map[string]int{"watchMillis": int(p.watchPeriod.Milliseconds())}}
	cfg.Fleet.Engines.Count = p.engines
	if p.rate > 0 {
		// Answers take as long as those of real engines, so that as many
		// requests run at the same time.
		cfg.Fleet.Fleet.Scale = 1
	}
	for i := range p.teams {
		cfg.Declarations.Teams = append(cfg.Declarations.Teams, sqcluster.NewTeam("team"+strconv.Itoa(i), 1+i%4))
	}
	c, err := sqcluster.Start(ctx, cfg)
	if err != nil {
		return err
	}
	defer c.Kill()
	fmt.Printf("%d engines, %d teams, watch every %v, %v a line\n", p.engines, p.teams, p.watchPeriod, p.period)
	if err := printSizes(ctx, c); err != nil {
		return err
	}
	fmt.Println("entries  holder core%  holder MB  follower core%  follower MB  entry core%  entry MB  watch B/s  poll B/s  running  in force ms")
	for _, n := range p.entryCounts {
		if err := measureOne(ctx, c, p, n); err != nil {
			return err
		}
	}
	return nil
}

// measureOne measures n entries, of which n-1 are watchers, and prints one line.
func measureOne(ctx context.Context, c *sqcluster.Cluster, p plan, n int) error {
	holder, err := c.WaitForHolder(ctx)
	if err != nil {
		return err
	}
	w := newWatchers(watchConfig{holder: holder.DirectAddress(), count: n - 1, period: p.watchPeriod, teams: p.teams, loaded: p.rate > 0})
	w.start()
	defer w.stop()
	stopLoad := p.startLoad(ctx, c)
	defer stopLoad()
	time.Sleep(warmUp)
	procs := []*sqcluster.Process{holder.Process, follower(c, holder).Process, c.Entries()[0].Process}
	before := readUsages(procs)
	bytesBefore, polledBefore := w.totalBytes(), readMetric(ctx, c, pollBytes)
	time.Sleep(p.period)
	after := readUsages(procs)
	watchRate := float64(w.totalBytes()-bytesBefore) / p.period.Seconds() / float64(max(1, n-1))
	pollRate := (readMetric(ctx, c, pollBytes) - polledBefore) / p.period.Seconds()
	running := readMetric(ctx, c, runningNow)
	inForce, err := republish(ctx, c)
	if err != nil {
		return err
	}
	fmt.Printf("%7d", n)
	for i := range procs {
		fmt.Printf("  %12.2f  %9.1f", after[i].corePercent(before[i], p.period), after[i].megabytes)
	}
	fmt.Printf("  %9.0f  %8.0f  %7.0f  %11d\n", watchRate, pollRate, running, inForce)
	return nil
}

// warmUp is how long each number of entries runs before the measurement starts.
const warmUp = 8 * time.Second

// printSizes prints the sizes of the parts of a complete Watch response, in bytes.
// An entry that knows no version yet receives such a response.
func printSizes(ctx context.Context, c *sqcluster.Cluster) error {
	holder, err := c.WaitForHolder(ctx)
	if err != nil {
		return err
	}
	client := sqrpc.NewControlProtobufClient("http://"+holder.DirectAddress(), &http.Client{})
	res, err := client.Watch(ctx, &sqrpc.WatchRequest{Entry: "probe", Leaving: true})
	if err != nil {
		return sqrpc.FromTwirp(err)
	}
	keys := &sqrpc.WatchResponse{Keys: res.GetKeys()}
	endpoints := &sqrpc.WatchResponse{Endpoints: res.GetEndpoints()}
	fmt.Printf("bytes: configuration %d, %d keys %d, %d endpoints %d, all %d\n", proto.Size(res.GetConfiguration()),
		len(res.GetKeys()), proto.Size(keys), len(res.GetEndpoints()), proto.Size(endpoints), proto.Size(res))
	return nil
}

// follower returns a control process that does not hold the lease, or holder if
// there is no other one.
func follower(c *sqcluster.Cluster, holder *sqcluster.Control) *sqcluster.Control {
	for _, n := range c.Controls() {
		if n != holder {
			return n
		}
	}
	return holder
}
