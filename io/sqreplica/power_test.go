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
	powerCuts    = 60
	judgeCuts    = 20
	powerEvery   = 100 * time.Millisecond
	powerClients = 4
)

// ramFiles is a folder in memory. A loss of power takes what was not synced and
// fails all that comes after.
type ramFiles struct {
	mu       sync.Mutex
	files    map[string]*ramFile
	lasting  map[string]*ramFile
	off      bool
	dropSync bool
}

type ramFile struct {
	folder       *ramFiles
	data, synced []byte
}

func (m *ramFiles) do(f func()) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.off {
		return unix.EIO
	}
	f()
	return nil
}

func (m *ramFiles) List() (names []string, err error) {
	return names, m.do(func() {
		for name := range m.files {
			names = append(names, name)
		}
	})
}

func (m *ramFiles) Read(name string) (b []byte, err error) {
	err = m.do(func() { b = slices.Clone(m.files[name].data) })
	return b, err
}

func (m *ramFiles) Create(name string) (sqdisk.File, error) {
	f := &ramFile{folder: m}
	return f, m.do(func() { m.files[name] = f })
}

func (m *ramFiles) OpenAppend(name string) (f sqdisk.File, err error) {
	err = m.do(func() { f = m.files[name] })
	return f, err
}

func (m *ramFiles) Rename(from, to string) error {
	return m.do(func() {
		m.files[to] = m.files[from]
		delete(m.files, from)
	})
}

func (m *ramFiles) Remove(name string) error { return m.do(func() { delete(m.files, name) }) }

func (m *ramFiles) SyncFolder() error {
	return m.do(func() {
		m.lasting = map[string]*ramFile{}
		for name, f := range m.files {
			m.lasting[name] = f
		}
	})
}

func (f *ramFile) Write(p []byte) (int, error) {
	return len(p), f.folder.do(func() { f.data = append(f.data, p...) })
}

func (f *ramFile) Sync() error {
	return f.folder.do(func() {
		if !f.folder.dropSync {
			f.synced = slices.Clone(f.data)
		}
	})
}

func (f *ramFile) Truncate(size int64) error {
	return f.folder.do(func() { f.data = slices.Clone(f.data[:size]) })
}

func (f *ramFile) Close() error { return nil }

// cut takes the power away and returns the folder as it is found after.
func (m *ramFiles) cut(random *rand.Rand) *ramFiles {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.off = true
	left := &ramFiles{files: map[string]*ramFile{}, dropSync: m.dropSync}
	for name, f := range m.lasting {
		// Part of what was written after the last sync may have reached the disk.
		extra := f.data[min(len(f.synced), len(f.data)):]
		if m.dropSync {
			extra = nil
		}
		kept := append(slices.Clone(f.synced), extra[:random.IntN(len(extra)+1)]...)
		left.files[name] = &ramFile{folder: left, data: kept, synced: slices.Clone(kept)}
	}
	left.lasting = left.files
	return left
}

// powerLosses commits changes while replicas lose power at random moments, and
// returns what is wrong after, or "".
func powerLosses(t *testing.T, cuts int, dropSync bool) string {
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	nodes := newCluster(t, 3, func(cfg *Config) {
		fast(cfg)
		if !dropSync {
			cfg.SnapshotEntries = 40
		}
		cfg.FS = &ramFiles{files: map[string]*ramFile{}, lasting: map[string]*ramFile{}}
	})
	holder(t, nodes)
	for _, n := range nodes {
		files := n.cfg.FS.(*ramFiles)
		assert.NilError(t, files.do(func() { files.dropSync = dropSync }))
	}
	ctx, cancel := context.WithCancel(context.Background())
	var mu sync.Mutex
	var acks []string
	var clients sync.WaitGroup
	replicas := make([]*Replica, len(nodes))
	for i, n := range nodes {
		replicas[i] = n.replica
	}
	for c := range powerClients {
		clients.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				mu.Lock()
				r := replicas[i%len(replicas)]
				mu.Unlock()
				command := fmt.Sprintf("%d-%d", c, i)
				if _, err := r.Propose(ctx, []byte(command)); err == nil {
					mu.Lock()
					acks = append(acks, command)
					mu.Unlock()
				} else {
					time.Sleep(time.Millisecond)
				}
			}
		})
	}
	for range cuts {
		time.Sleep(time.Duration(random.Int64N(int64(2 * powerEvery))))
		i := random.IntN(len(nodes))
		n := nodes[i]
		n.cfg.FS = n.cfg.FS.(*ramFiles).cut(random)
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
	t.Logf("%d changes acknowledged over %d losses of power", len(acks), cuts)
	// Replicas that have just started agree on too little until a new change
	// brings the rest.
	if !within(testWait/2, func() bool { return tryPropose(nodes, "last") }) {
		return "no change can be committed"
	}
	if !within(testWait/2, func() bool { return equalStates(nodes) }) {
		return "the replicas do not come to one state"
	}
	for _, n := range nodes {
		for _, command := range acks {
			if !n.machine.seen[command] {
				return "acknowledged and lost: " + command
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
	n.out.Close()
	n.cancel = nil
}

// TestPowerLosses runs the driver on disks that lose what it did not sync.
func TestPowerLosses(t *testing.T) {
	assert.Equal(t, powerLosses(t, powerCuts, false), "")
}

func TestJudgeCatchesMissingSync(t *testing.T) {
	broken := powerLosses(t, judgeCuts, true)
	t.Logf("found: %s", broken)
	assert.Assert(t, broken != "")
}
