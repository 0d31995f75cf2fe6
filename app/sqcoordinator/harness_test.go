package sqcoordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	sqcore "sequoiadock/core"
	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqplace"
	"sequoiadock/core/sqtable"
	"sequoiadock/core/sqwindow"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqlog"
)

// waitTimeout bounds every wait in these tests.
const waitTimeout = 20 * time.Second

// fakePlatform implements the platform and the engines in memory.
type fakePlatform struct {
	mu        sync.Mutex
	endpoints []sqplace.Endpoint
	reports   map[uint64][]sqwindow.Count
	orders    []sqcore.EndpointOrder
	// lostResponses is how many of the next usage reports are stored but answered with an
	// error.
	lostResponses int
}

func (p *fakePlatform) Endpoints(context.Context) ([]sqplace.Endpoint, int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoints, 0, nil
}

func (p *fakePlatform) ReportUsage(_ context.Context, _ sqcore.Lease, window uint64, counts []sqwindow.Count) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, ok := p.reports[window]; ok && fmt.Sprint(old) != fmt.Sprint(counts) {
		panic("a window was reported again with different counts")
	}
	p.reports[window] = counts
	if p.lostResponses > 0 {
		p.lostResponses--
		return sqerror.New(sqerror.Config{Kind: sqerror.Unreachable})
	}
	return nil
}

func (p *fakePlatform) Order(_ context.Context, _ sqcore.Lease, o sqcore.EndpointOrder) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orders = append(p.orders, o)
	return nil
}

func (p *fakePlatform) AcceptedOrders(context.Context, *sqplace.Endpoint) (uint64, bool, error) {
	return 0, false, nil
}

func (p *fakePlatform) SetStage(context.Context, sqcore.Lease, *sqplace.Endpoint, sqplace.Stage, uint64) error {
	return nil
}

// jsonWire decodes a table from the JSON form of its sqtable.Config. Coordinators use
// no other method of the interface.
type jsonWire struct{ sqcore.Wire }

func (jsonWire) ParseTable(document []byte) (*sqtable.Table, error) {
	var cfg sqtable.Config
	if err := json.Unmarshal(document, &cfg); err != nil {
		return nil, sqerror.New(sqerror.Config{Kind: sqerror.BadRequest, Cause: err})
	}
	return sqtable.New(cfg)
}

func tableDocument(version int) []byte { return []byte(`{"Version":` + strconv.Itoa(version) + `}`) }

// group is the coordinators of one deployment.
type group struct {
	t             testing.TB
	platform      *fakePlatform
	addressPrefix string
	seeds         []string
	nodes         map[int]*node
	// disks holds the disks of the coordinators that have no folder.
	disks map[int]*limitedDisk
}

// node is one running coordinator.
type node struct {
	*coordinator
	folder string
	cancel context.CancelFunc
	done   chan error
	// current is the coordinator since the disk was opened last.
	current atomic.Pointer[coordinator]
}

// networks is how many loopback networks the groups of this process can have.
const networks = 200 * 250

// firstNetwork is drawn, since other processes may run tests too; lastNetwork counts on from it.
var (
	firstNetwork = rand.IntN(networks)
	lastNetwork  atomic.Int64
)

// nextNetwork returns the prefix of a loopback network that no other group of this process has.
func nextNetwork() string {
	n := (firstNetwork + int(lastNetwork.Add(1))) % networks
	return fmt.Sprintf("127.%d.%d.", 10+n/250, n%250)
}

// newGroup starts coordinators 1 to 3 for the first time, in the given order. Each has
// its own loopback address, so that its ports cannot be in use already.
func newGroup(t testing.TB, order ...int) *group {
	g := newStoppedGroup(t)
	for _, i := range order {
		g.start(i, t.TempDir(), true)
		time.Sleep(30 * time.Millisecond)
	}
	return g
}

// newStoppedGroup returns a group of which no coordinator runs.
func newStoppedGroup(t testing.TB) *group {
	g := &group{
		t: t, platform: &fakePlatform{reports: map[uint64][]sqwindow.Count{}}, nodes: map[int]*node{},
		addressPrefix: nextNetwork(), disks: map[int]*limitedDisk{},
	}
	for _, i := range []int{1, 2, 3} {
		g.seeds = append(g.seeds, g.internalAddress(i))
	}
	t.Cleanup(func() {
		for i := range g.nodes {
			g.stop(i)
		}
	})
	return g
}

func (g *group) internalAddress(i int) string { return g.addressPrefix + strconv.Itoa(i) + ":7000" }

// start starts a coordinator and waits until it runs.
func (g *group) start(i int, folder string, firstStart bool) *node {
	n := g.launch(i, folder, firstStart)
	g.waitFor("the coordinator to start", func() bool {
		select {
		case err := <-n.done:
			g.t.Fatal(err)
		default:
		}
		return n.current.Load() != nil
	})
	n.coordinator = n.current.Load()
	return n
}

// launch starts a coordinator, which need not be able to open its disk.
func (g *group) launch(i int, folder string, firstStart bool) *node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{folder: folder, cancel: cancel, done: make(chan error, 1)}
	cfg := Config{
		Name: "c" + strconv.Itoa(i), Zone: "z" + strconv.Itoa(i), InternalAddress: g.internalAddress(i), OperatorAddress: g.addressPrefix + strconv.Itoa(i) + ":8000",
		DataFolder: folder, Seeds: g.seeds, FirstStart: firstStart, TargetVoters: 3, FreshnessLease: 4 * time.Second, TakeoverDelay: 300 * time.Millisecond,
		BillingWindow: time.Second, Wire: jsonWire{},
		NewPlatform: func(*http.Client, func(uint64) *http.Client) (sqcore.Platform, sqcore.Engines) {
			return g.platform, g.platform
		},
		OperatorHandler: func(d sqcore.Declarations) http.Handler {
			n.current.Store(d.(*coordinator))
			return http.NotFoundHandler()
		},
		Log: testLog(),
	}
	if d := g.disks[i]; d != nil {
		cfg.FS = d
	}
	go func() { n.done <- Run(ctx, cfg) }()
	g.nodes[i] = n
	return n
}

func (g *group) stop(i int) {
	n := g.nodes[i]
	delete(g.nodes, i)
	n.cancel()
	assert.Check(g.t, <-n.done == nil)
}

func (g *group) waitFor(condition string, holds func() bool) {
	g.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	g.t.Fatal("timed out waiting for " + condition)
}

// holder returns the number of the coordinator that holds the lease.
func (g *group) holder() int {
	g.t.Helper()
	found := 0
	g.waitFor("a holder", func() bool {
		for i, n := range g.nodes {
			if _, _, held := n.replica.Lease(sqclock.Now()); held {
				found = i
			}
		}
		return found != 0
	})
	return found
}

// follower returns the number of a coordinator that does not hold the lease.
func (g *group) follower() int {
	holder := g.holder()
	return holder%3 + 1
}

func clearFolder(t *testing.T, folder string) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(folder, "*"))
	assert.NilError(t, err)
	for _, path := range paths {
		assert.NilError(t, os.RemoveAll(path))
	}
}

// testLog returns a log whose lines are dropped.
func testLog() *sqlog.Log {
	return sqlog.New(sqlog.Config{Name: "c", Output: io.Discard, Level: sqevent.Error})
}
