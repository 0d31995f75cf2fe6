// Command standin-3 runs the cases of the third review: it starts the project's own
// processes and plays the platform, the servers and the clients beside them.
package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	gatewayCount = 3
	// seedCount is how many coordinators the settings name.
	seedCount = 3
	// Hosts of the deployment, as the last byte of a loopback address.
	firstCoordinatorHost = 1
	firstGatewayHost     = 11
	platformHost         = 61
	firstWorkerHost      = 101
)

// Offsets of the ports that all VMs use.
const (
	portInternal = iota
	portControl
	portFront
	portReady
	portDirectory
	portPlatform
	portWorker
	portCount
)

// process is one process of the project.
type process struct {
	name, role, file, log string
	cmd                   *exec.Cmd
	done                  chan struct{}
}

// shape is the size of the control plane.
type shape struct {
	// coordinators is how many processes there are, tolerated how many may be lost at once.
	coordinators, tolerated int
	// contracts are those in force, fenced says whether receivers check fences. The others are
	// bounds.
	contracts                                  string
	fenced                                     bool
	retryExtra, configApplyMillis, drainMillis int
}

// smallShape and grownShape are those of the sites crrf-dock and kloofnek-dock-grown.
var (
	smallShape = shape{coordinators: 3, tolerated: 1, contracts: smallContracts, fenced: true, retryExtra: 54, configApplyMillis: 2000, drainMillis: 3000}
	grownShape = shape{coordinators: 6, tolerated: 2, contracts: grownContracts, retryExtra: 186, configApplyMillis: 2500, drainMillis: 4000}
)

const (
	smallContracts = `["base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine", "tenants", "leader"]`
	grownContracts = `["base", "drain", "config", "cost", "retry", "recover", "health", "pool", "split", "stream", "engine", "tenants", "leader", "pressure"]`
)

// deployment is the project's processes with what they need.
type deployment struct {
	shape     shape
	record    *record
	binary    string
	folder    string
	network   string
	base      int
	platform  *platform
	processes map[string]*process
	mu        sync.Mutex
}

// newDeployment picks a free loopback network and a temporary folder.
func newDeployment(r *record, binary string, s shape) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{shape: s, record: r, binary: binary, folder: folder, processes: map[string]*process{}}
	for range 50 {
		d.network = fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), 1+rand.IntN(250))
		d.base = 20000 + rand.IntN(10000)
		if d.isFree() {
			return d, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

func (d *deployment) isFree() bool {
	for _, host := range []int{firstCoordinatorHost, firstGatewayHost, platformHost, firstWorkerHost} {
		for offset := range portCount {
			ln, err := net.Listen("tcp", d.address(host, offset))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

func (d *deployment) address(host, offset int) string {
	return fmt.Sprintf("%s%d:%d", d.network, host, d.base+offset)
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// Memory of the VMs, in megabytes.
const coreMegabytes, frontMegabytes = 280, 284

// settings returns the settings file of a process, as the templates of the deploy file make it.
func (d *deployment) settings(name string, host, megabytes int, sections string) string {
	seeds := []string{}
	for i := range seedCount {
		seeds = append(seeds, fmt.Sprintf("%q", d.address(firstCoordinatorHost+i, portControl)))
	}
	return fmt.Sprintf(`[node]
name = %q
zone = %q
region = "region"
internal = %q
memoryMegabytes = %d
linkMegabits = 1000.0
processorShare = 0.4
maxDescriptors = 4100
contracts = %s

[cluster]
seeds = [%s]
seedPort = %d
tolerated = %d

[bounds]
revokeMillis = 5000
leaseMillis = 3000
windowSeconds = 5
graceSeconds = 8
retryRatio = 0.2
retryExtra = %d
retryWindowSeconds = 10
%s`, name, zones[host%len(zones)], d.address(host, portInternal), megabytes, d.shape.contracts, strings.Join(seeds, ", "), d.base+portInternal, d.shape.tolerated, d.shape.retryExtra, sections)
}

func (d *deployment) startCoordinator(i int, firstStart bool) error {
	name, host := fmt.Sprintf("core-%d", i+1), firstCoordinatorHost+i
	data := filepath.Join(d.folder, name)
	if err := os.MkdirAll(data, 0o700); err != nil {
		return err
	}
	return d.start(name, "coordinator", d.settings(name, host, coreMegabytes, fmt.Sprintf(`fencedReceivers = %v

[coordinator]
operators = %q
dataFolder = %q
firstStart = %v

[platform]
address = %q
`, d.shape.fenced, d.address(host, portControl), data, firstStart, d.address(platformHost, portPlatform))))
}

func (d *deployment) startGateway(i int) error {
	name, host := fmt.Sprintf("front-%d", i+1), firstGatewayHost+i
	return d.start(name, "gateway", d.settings(name, host, frontMegabytes, fmt.Sprintf(`configApplyMillis = %d
drainMillis = %d

[gateway]
callers = %q
ready = %q
directory = %q
`, d.shape.configApplyMillis, d.shape.drainMillis, d.address(host, portFront), d.address(host, portReady), d.address(host, portDirectory))))
}

// start starts a process with the command of the deploy file.
func (d *deployment) start(name, role, settings string) error {
	p := &process{name: name, role: role, file: filepath.Join(d.folder, name+".toml"), log: filepath.Join(d.folder, name+".log"), done: make(chan struct{})}
	if err := os.WriteFile(p.file, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(d.binary, role, "-settings", p.file)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go func() {
		_ = p.cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	d.mu.Lock()
	d.processes[name] = p
	d.mu.Unlock()
	d.record.printf("process %s starts", name)
	return nil
}

// process returns the current process of a name.
func (d *deployment) process(name string) *process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.processes[name]
}

// startAll starts the platform and all processes.
func (d *deployment) startAll() error {
	var err error
	if d.platform, err = startPlatform(d.record, d.address(platformHost, portPlatform)); err != nil {
		return err
	}
	for i := range d.shape.coordinators {
		if err := d.startCoordinator(i, true); err != nil {
			return err
		}
	}
	for i := range gatewayCount {
		if err := d.startGateway(i); err != nil {
			return err
		}
	}
	return nil
}

// stop kills all processes and removes the folder. Logs are kept if KEEP names a folder.
func (d *deployment) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.processes {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.done
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		for _, p := range d.processes {
			if b, err := os.ReadFile(p.log); err == nil {
				_ = os.WriteFile(filepath.Join(keep, p.name+".log"), b, 0o600)
			}
		}
	}
	_ = os.RemoveAll(d.folder)
}

// declare sends a manifest until it is acknowledged.
func (d *deployment) declare(manifest string, within time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	until := time.Now().Add(within)
	for i := 0; time.Now().Before(until); i++ {
		url := "http://" + d.address(firstCoordinatorHost+i%d.shape.coordinators, portControl) + "/sequoiadock/config"
		req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader([]byte(manifest)))
		if err != nil {
			return err
		}
		req.Header.Set("Content-Type", "application/json")
		res, err := client.Do(req)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			d.record.printf("manifest acknowledged")
			return nil
		}
		if res.StatusCode/100 == 4 {
			return fmt.Errorf("the manifest is refused with %d", res.StatusCode)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("no manifest was acknowledged")
}

// awaitReady waits until all gateways say that they are ready.
func (d *deployment) awaitReady(within time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	until := time.Now().Add(within)
	for time.Now().Before(until) {
		ready := 0
		for i := range gatewayCount {
			res, err := client.Get("http://" + d.address(firstGatewayHost+i, portReady) + "/sequoiadock/ready")
			if err != nil {
				continue
			}
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == gatewayCount {
			d.record.printf("all gateways are ready")
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("not all gateways became ready")
}
