package sqreplica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqdisk"
)

const (
	powerLossCount        = 60
	meanPowerLossInterval = 100 * time.Millisecond
	powerLossClients      = 4
)

// ramFS implements sqdisk.FS in memory. A power loss drops data that was not synced,
// and all operations after it fail.
type ramFS struct {
	mu         sync.Mutex
	files      map[string]*ramFile
	durable    map[string]*ramFile
	poweredOff bool
	dropSync   bool
}

type ramFile struct {
	fs           *ramFS
	data, synced []byte
}

func (m *ramFS) ifPowered(f func()) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.poweredOff {
		return unix.EIO
	}
	f()
	return nil
}

func (m *ramFS) List() (names []string, err error) {
	return names, m.ifPowered(func() {
		for name := range m.files {
			names = append(names, name)
		}
	})
}

func (m *ramFS) Read(name string) (b []byte, err error) {
	err = m.ifPowered(func() { b = slices.Clone(m.files[name].data) })
	return b, err
}

func (m *ramFS) Create(name string) (sqdisk.File, error) {
	f := &ramFile{fs: m}
	return f, m.ifPowered(func() { m.files[name] = f })
}

func (m *ramFS) OpenAppend(name string) (f sqdisk.File, err error) {
	err = m.ifPowered(func() { f = m.files[name] })
	return f, err
}

func (m *ramFS) Rename(from, to string) error {
	return m.ifPowered(func() {
		m.files[to] = m.files[from]
		delete(m.files, from)
	})
}

func (m *ramFS) Remove(name string) error { return m.ifPowered(func() { delete(m.files, name) }) }

func (m *ramFS) SyncFolder() error {
	return m.ifPowered(func() {
		m.durable = map[string]*ramFile{}
		for name, f := range m.files {
			m.durable[name] = f
		}
	})
}

func (f *ramFile) Write(p []byte) (int, error) {
	return len(p), f.fs.ifPowered(func() { f.data = append(f.data, p...) })
}

func (f *ramFile) Sync() error {
	return f.fs.ifPowered(func() {
		if !f.fs.dropSync {
			f.synced = slices.Clone(f.data)
		}
	})
}

func (f *ramFile) Truncate(size int64) error {
	return f.fs.ifPowered(func() { f.data = slices.Clone(f.data[:size]) })
}

func (f *ramFile) Close() error { return nil }

// cutPower simulates a power loss and returns the folder as a restarted replica
// finds it.
func (m *ramFS) cutPower(rng *rand.Rand) *ramFS {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.poweredOff = true
	recovered := &ramFS{files: map[string]*ramFile{}, dropSync: m.dropSync}
	for name, f := range m.durable {
		// Part of what was written after the last sync may have reached the disk.
		extra := f.data[min(len(f.synced), len(f.data)):]
		if m.dropSync {
			extra = nil
		}
		kept := append(slices.Clone(f.synced), extra[:rng.IntN(len(extra)+1)]...)
		recovered.files[name] = &ramFile{fs: recovered, data: kept, synced: slices.Clone(kept)}
	}
	recovered.durable = recovered.files
	return recovered
}

// runPowerLosses commits changes while replicas lose power at random moments, and
// returns a description of the first fault found, or "".
func runPowerLosses(t *testing.T, count int, dropSync bool) string {
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 0))
	nodes := newCluster(t, 3, func(cfg *Config) {
		shortTimings(cfg)
		if !dropSync {
			cfg.SnapshotEntries = 40
		}
		cfg.FS = &ramFS{files: map[string]*ramFile{}, durable: map[string]*ramFile{}}
	})
	waitLeaseHolder(t, nodes)
	for _, n := range nodes {
		files := n.cfg.FS.(*ramFS)
		assert.NilError(t, files.ifPowered(func() { files.dropSync = dropSync }))
	}
	ctx, cancel := context.WithCancel(context.Background())
	var mu sync.Mutex
	var acknowledged []string
	var clients sync.WaitGroup
	replicas := make([]*Replica, len(nodes))
	for i, n := range nodes {
		replicas[i] = n.replica
	}
	for c := range powerLossClients {
		clients.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				mu.Lock()
				r := replicas[i%len(replicas)]
				mu.Unlock()
				command := fmt.Sprintf("%d-%d", c, i)
				if _, err := r.Propose(ctx, []byte(command)); err == nil {
					mu.Lock()
					acknowledged = append(acknowledged, command)
					mu.Unlock()
				} else {
					time.Sleep(time.Millisecond)
				}
			}
		})
	}
	for range count {
		time.Sleep(time.Duration(rng.Int64N(int64(2 * meanPowerLossInterval))))
		i := rng.IntN(len(nodes))
		n := nodes[i]
		n.cfg.FS = n.cfg.FS.(*ramFS).cutPower(rng)
		n.stopAfterPowerLoss()
		if err := n.tryStart(); err != nil {
			cancel()
			clients.Wait()
			return err.Error()
		}
		mu.Lock()
		replicas[i] = n.replica
		mu.Unlock()
	}
	cancel()
	clients.Wait()
	t.Logf("%d changes acknowledged over %d power losses", len(acknowledged), count)
	// Restarted replicas may know an old commit index. Committing a new change
	// commits and applies the entries before it.
	if !pollUntil(testTimeout/2, func() bool { return tryPropose(nodes, "last") }) {
		return "no change can be committed"
	}
	if !pollUntil(testTimeout/2, func() bool { return equalStates(nodes) }) {
		return "the replicas do not reach equal states"
	}
	for _, n := range nodes {
		for _, command := range acknowledged {
			if !n.machine.applied[command] {
				return "lost although acknowledged: " + command
			}
		}
	}
	return ""
}

func tryPropose(nodes []*node, command string) bool {
	for _, n := range nodes {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err := n.replica.Propose(ctx, []byte(command))
		cancel()
		if err == nil {
			return true
		}
	}
	return false
}

func (n *node) stopAfterPowerLoss() {
	_ = n.server.Close()
	n.cancel()
	err := <-n.done
	assert.Check(n.tb, err == nil || sqerror.KindOf(err) == sqerror.DiskFailed, "%v", err)
	n.transport.Close()
	n.cancel = nil
}

// TestPowerLosses runs replicas on disks that lose unsynced data, and checks that
// no acknowledged change is lost.
func TestPowerLosses(t *testing.T) {
	assert.Equal(t, runPowerLosses(t, powerLossCount, false), "")
}

// TestJudgeCatchesMissingSync checks that runPowerLosses finds a fault when files are
// not synced, with as many power losses as TestPowerLosses has.
func TestJudgeCatchesMissingSync(t *testing.T) {
	problem := runPowerLosses(t, powerLossCount, true)
	t.Logf("found: %s", problem)
	assert.Assert(t, problem != "")
}
