package sqreplica

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"sequoiadock/io/sqrpc"
)

const (
	benchReplicas      = 3
	callsPerWorker     = 500
	recordBytes        = 100
	concurrentClients  = 64
	changesBeforeStart = 10000
	memoryChanges      = 100000
)

// meanCallTime runs f in as many goroutines as there are replicas and returns the
// mean time of a call. The replicas share one disk and one VM here.
func meanCallTime(b *testing.B, f func() error) time.Duration {
	var done sync.WaitGroup
	start := time.Now()
	for range benchReplicas {
		done.Go(func() {
			for range callsPerWorker {
				assert.Check(b, f() == nil)
			}
		})
	}
	done.Wait()
	return time.Since(start) / callsPerWorker
}

// meanSyncTime returns the mean time of appending a record and syncing it.
func meanSyncTime(b *testing.B) time.Duration {
	var files sync.Pool
	var n atomic.Int64
	files.New = func() any {
		f, err := os.Create(filepath.Join(b.TempDir(), fmt.Sprint(n.Add(1))))
		assert.Check(b, err == nil)
		return f
	}
	return meanCallTime(b, func() error {
		f := files.Get().(*os.File)
		defer files.Put(f)
		if _, err := f.Write(make([]byte, recordBytes)); err != nil {
			return err
		}
		return unix.Fdatasync(int(f.Fd()))
	})
}

// meanRoundTrip returns the mean time of an empty request to a replica.
func meanRoundTrip(b *testing.B, n *node) time.Duration {
	peer := sqrpc.NewPeerProtobufClient("http://"+n.cfg.Address, n.transport.client)
	identity := n.replica.Identity()
	return meanCallTime(b, func() error {
		_, err := peer.Deliver(context.Background(), &sqrpc.Envelope{Cluster: identity.Cluster(), To: identity.ID()})
		return err
	})
}

// commitChanges commits count changes from concurrent clients and returns the time
// taken.
func commitChanges(b *testing.B, h *node, clients, count int) time.Duration {
	b.Helper()
	var remaining atomic.Int64
	remaining.Store(int64(count))
	var done sync.WaitGroup
	start := time.Now()
	for range clients {
		done.Go(func() {
			for remaining.Add(-1) >= 0 {
				_, err := h.replica.Propose(context.Background(), []byte("a change of some thirty-two bytes"))
				assert.Check(b, err == nil)
			}
		})
	}
	done.Wait()
	return time.Since(start)
}

// BenchmarkCommit reports the time of a commit as a multiple of three syncs plus two
// round trips, and the throughput of 64 clients relative to one, all measured in
// one run.
func BenchmarkCommit(b *testing.B) {
	nodes := newCluster(b, benchReplicas, nil)
	h := waitLeaseHolder(b, nodes)
	syncTime, roundTrip := meanSyncTime(b), meanRoundTrip(b, anyOtherNode(nodes, h))
	expected := 3*syncTime + 2*roundTrip
	b.ResetTimer()
	singleTime := commitChanges(b, h, 1, b.N)
	syncs := h.replica.Status().Syncs()
	cpuTime := processCPUTime(b)
	concurrentTime := commitChanges(b, h, concurrentClients, concurrentClients*b.N)
	cpuTime = processCPUTime(b) - cpuTime
	b.StopTimer()
	perSync := float64(concurrentClients*b.N) / float64(h.replica.Status().Syncs()-syncs)
	b.ReportMetric(float64(singleTime)/float64(b.N)/float64(expected), "of3Syncs2RoundTrips")
	b.ReportMetric(float64(syncTime.Microseconds()), "µs/sync")
	b.ReportMetric(float64(roundTrip.Microseconds()), "µs/roundTrip")
	b.ReportMetric(float64(singleTime.Microseconds())/float64(b.N), "µs/commit1")
	b.ReportMetric(float64(singleTime)*concurrentClients/float64(concurrentTime), "times64Clients")
	b.ReportMetric(float64(cpuTime.Microseconds())/float64(concurrentClients*b.N), "cpuµs/commit64")
	b.ReportMetric(perSync, "commits/sync")
	b.ReportMetric(float64(concurrentClients*b.N)/concurrentTime.Seconds(), "commits64/s")
}

// BenchmarkStart compares the time to open a folder after many changes with that of
// a folder without changes.
func BenchmarkStart(b *testing.B) {
	empty := newCluster(b, 1, nil)[0]
	full := newCluster(b, 1, nil)[0]
	commitChanges(b, waitLeaseHolder(b, []*node{full}), concurrentClients, changesBeforeStart)
	for b.Loop() {
		emptyTime, fullTime := timeReopen(b, empty), timeReopen(b, full)
		b.ReportMetric(float64((fullTime-emptyTime).Microseconds())/1000, "extraMillis")
	}
}

func timeReopen(b *testing.B, n *node) time.Duration {
	n.stop()
	start := time.Now()
	n.start()
	return time.Since(start)
}

// BenchmarkMemory reports the heap size after a tenth of the changes and after all,
// to show whether it grows with their number.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		nodes := newCluster(b, benchReplicas, nil)
		h := waitLeaseHolder(b, nodes)
		commitChanges(b, h, concurrentClients, memoryChanges/10)
		early := heapMB()
		commitChanges(b, h, concurrentClients, memoryChanges)
		late := heapMB()
		b.ReportMetric(early, "earlyMB")
		b.ReportMetric(late, "lateMB")
		files, err := os.ReadDir(h.cfg.DataFolder)
		assert.NilError(b, err)
		b.ReportMetric(float64(len(files)), "files")
		b.Log(fmt.Sprint(files))
		for _, n := range nodes {
			n.stop()
		}
	}
}

// BenchmarkIdle reports the processor time of an idle replica.
func BenchmarkIdle(b *testing.B) {
	waitLeaseHolder(b, newCluster(b, benchReplicas, nil))
	cpuTime := processCPUTime(b)
	for b.Loop() {
		time.Sleep(time.Second)
	}
	b.ReportMetric(float64((processCPUTime(b)-cpuTime).Milliseconds())/float64(b.N)/benchReplicas/10, "%core/replica")
}

// processCPUTime returns the processor time that this process has used.
func processCPUTime(b *testing.B) time.Duration {
	var u unix.Rusage
	assert.NilError(b, unix.Getrusage(unix.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapMB() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / (1 << 20)
}
