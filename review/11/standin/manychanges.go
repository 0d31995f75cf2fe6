package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// manyRouteCount is how many routes the manifest grows to, manyChangeCount how many
	// versions follow, at changeInterval. Without trouble, only fewChangeCount follow.
	manyRouteCount  = 1400
	manyChangeCount = 780
	fewChangeCount  = 60
	changeInterval  = 110 * time.Millisecond
	// maxSendTime bounds the time in which changes are sent.
	maxSendTime = 98 * time.Second
	// coordinatorMemory is the memory of a core VM.
	coordinatorMemory = 280 << 20
	// checkInterval is the time between two looks at the memory of a process, and
	// restartDelay the time after which the platform starts a killed process again.
	checkInterval = 200 * time.Millisecond
	restartDelay  = time.Second
	// maxEnds is how often processes of the core may end by themselves.
	maxEnds = 2
)

// manyRoutes returns a manifest with many routes, in which one timeout depends on the version.
func manyRoutes(version int) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for i := range manyRouteCount {
		timeout := 8000
		if i == version%manyRouteCount {
			timeout = 7000
		}
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"r-%07d","host":"review.example","pathPrefix":"/ask%04d/","kind":"streaming","timeoutMs":%d,"targetLatencyMs":600,"priority":1,`+
			`"trafficSplit":[{"service":"assistant","weight":90},{"service":"desk","weight":10}],"maxAttempts":2,"public":false,"sticky":true,"resumable":true,"gapTargetMs":150}`,
			i, i, timeout)
	}
	b.WriteString(`],"services":[{"name":"assistant","healthPath":"/health","maxConnections":170,"protocol":"h1","tls":false},` +
		`{"name":"desk","healthPath":"/health","maxConnections":100,"protocol":"h1","tls":false}],` +
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},` +
		`"tenants":[{"name":"tenant-1","apiKeys":["key-1"],"priority":1}]}`)
	return b.String()
}

// residentBytes returns the memory of a process.
func residentBytes(pid int) int {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kilobytes << 10
		}
	}
	return 0
}

// memoryWatch does what the platform does: it kills a coordinator that uses more than its
// memory, and starts it again.
type memoryWatch struct {
	d    *deployment
	mu   sync.Mutex
	ends map[int]int
	err  error
}

// run watches one coordinator until stop is closed.
func (m *memoryWatch) run(stop <-chan struct{}, i int) {
	name := fmt.Sprintf("core-%d", i+1)
	for {
		select {
		case <-stop:
			return
		case <-time.After(checkInterval):
		}
		p := m.d.process(name)
		used := residentBytes(p.cmd.Process.Pid)
		if used <= coordinatorMemory {
			continue
		}
		m.d.record.printf("%s uses %d MB of %d MB and is killed", name, used>>20, coordinatorMemory>>20)
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.done
		time.Sleep(restartDelay)
		m.mu.Lock()
		m.ends[i]++
		if err := m.d.startCoordinator(i, false); err != nil {
			m.err = err
		}
		m.mu.Unlock()
	}
}

// playManyChanges sends some hundred changes of a manifest with many routes, one after the
// other.
func playManyChanges(d *deployment, trouble bool) (bool, error) {
	m := &memoryWatch{d: d, ends: map[int]int{}}
	stop := make(chan struct{})
	var watches sync.WaitGroup
	for i := range d.shape.coordinators {
		watches.Go(func() { m.run(stop, i) })
	}
	changes := manyChangeCount
	if !trouble {
		changes = fewChangeCount
	}
	d.record.printf("each manifest has %d bytes", len(manyRoutes(1)))
	startedAt := time.Now()
	for v := 1; v <= changes && time.Since(startedAt) < maxSendTime; v++ {
		next := time.Now().Add(changeInterval)
		if err := d.declare(manyRoutes(v), 20*time.Second); err != nil {
			return false, err
		}
		if v%20 == 0 {
			for i := range d.shape.coordinators {
				p := d.process(fmt.Sprintf("core-%d", i+1))
				d.record.printf("after change %d: %s holds %d MB", v, p.name, residentBytes(p.cmd.Process.Pid)>>20)
			}
		}
		time.Sleep(time.Until(next))
	}
	close(stop)
	watches.Wait()
	total := 0
	for _, n := range m.ends {
		total += n
	}
	d.record.printf("%d coordinators of %d ended for their memory, %d times in all", len(m.ends), d.shape.coordinators, total)
	return 2*len(m.ends) >= d.shape.coordinators && total > maxEnds, m.err
}
