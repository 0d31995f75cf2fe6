package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqendpoint"
	"sequoiadock/io/sqrpc"
	"sequoiadock/proof/sqcluster"
)

// watchConfig is the configuration of a set of watchers.
type watchConfig struct {
	holder string
	count  int
	period time.Duration
	// teams is the number of teams of which each watcher reports a demand.
	teams int
	// loaded makes each watcher report changing readings, and work at some
	// endpoints.
	loaded bool
}

// watchers simulate entries. The lease holder cannot tell them from real ones.
type watchers struct {
	cfg       watchConfig
	byteCount atomic.Int64
	cancel    context.CancelFunc
	wg        sync.WaitGroup
}

func newWatchers(cfg watchConfig) *watchers { return &watchers{cfg: cfg} }

func (w *watchers) start() {
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	for i := range w.cfg.count {
		w.wg.Go(func() { w.watch(ctx, "watcher"+strconv.Itoa(i)) })
	}
}

func (w *watchers) stop() {
	w.cancel()
	w.wg.Wait()
}

// totalBytes returns how many bytes all watchers have sent and received so far.
func (w *watchers) totalBytes() int64 { return w.byteCount.Load() }

// watch polls the lease holder like an entry: it stores the versions from each
// response, and reports the known versions and the demand of its teams.
func (w *watchers) watch(ctx context.Context, name string) {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return sqendpoint.CountBytes(c, &w.byteCount), nil
	}
	client := sqrpc.NewControlProtobufClient("http://"+w.cfg.holder, &http.Client{Transport: &http.Transport{DialContext: dial}})
	req := &sqrpc.WatchRequest{Entry: name, Run: name, Zone: "zoneA", Address: "127.0.0.1:1", Internal: "127.0.0.1:2"}
	for i := range min(w.cfg.teams, busyTeams) {
		req.Demands = append(req.Demands, &sqrpc.TeamDemand{Team: "team" + strconv.Itoa(i), RunningTokens: 1000, ArrivedTokens: 5000, Running: 3})
	}
	tick := time.NewTicker(w.cfg.period)
	defer tick.Stop()
	r := newReader(name)
	for {
		req.Readings, req.Work = r.idleReadings(time.Now()), &sqrpc.Readings{}
		if w.cfg.loaded {
			req.Readings, req.Work = r.readings(), r.work()
		}
		if res, err := client.Watch(ctx, req); err == nil {
			r.update(res)
			req.KnownReadings = res.GetReadingsUntil()
			req.KnownAnswer = res.GetAnswer()
			req.KnownVersion = res.GetVersion()
			req.KnownKeyRevision = res.GetKeyRevision()
			req.KnownFleetRevision = res.GetFleetRevision()
			req.KnownEntries = res.GetEntriesHash()
			req.KnownShares = res.GetSharesHash()
			req.KnownAnswer = res.GetAnswer()
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// busyTeams is the largest number of teams with work at one entry at a time.
const busyTeams = 32

// republish publishes the same declarations again and returns how long it took
// until they were in force everywhere, in milliseconds.
func republish(ctx context.Context, c *sqcluster.Cluster) (int, error) {
	out, err := c.CommandOutput(ctx, "", "publish", "-base", "current", c.DeclarationsFolder())
	if err != nil {
		return 0, err
	}
	var version, millis int
	if _, err := fmt.Sscanf(out, "version %d is in force after %d ms", &version, &millis); err != nil {
		return 0, sqerror.New(sqerror.Config{Kind: sqerror.BadResponse, Detail: out, Cause: err})
	}
	return millis, nil
}
