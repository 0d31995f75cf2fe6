package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Ports that all nodes of the deployment use, each at an address of its own.
const (
	internalPort  = 7660
	directoryPort = 8404
	frontPort     = 8405
	readyPort     = 8406
	controlPort   = 8407
	platformPort  = 8408
	workerPort    = 8080
)

// Last bytes of the nodes' addresses.
const (
	platformHost        = 1
	firstCoordinator    = 11
	firstGateway        = 21
	firstWorker         = 101
	coordinatorsInGroup = 3
)

// lab is one small deployment with its stand-ins.
type lab struct {
	trouble bool
	folder  string
	// network is the first three bytes of all addresses.
	network   string
	startedAt time.Time
	platform  *platform
	roles     map[string]role
	// spares is how many coordinators start beside the first members of the group.
	spares    int
	processes []*process

	mu   sync.Mutex
	file *os.File
}

// newLab chooses free addresses, starts the platform and opens the record.
func newLab(recordFile string, trouble bool) (*lab, error) {
	file, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	l := &lab{trouble: trouble, startedAt: time.Now(), file: file}
	if l.folder, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	if l.roles, err = readDeployFile(filepath.Join(projectRoot(), "deploy", "system.toml")); err != nil {
		return nil, err
	}
	for range 20 {
		l.network = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		if l.platform, err = startPlatform(l, l.address(platformHost, platformPort)); err == nil {
			l.record("disruption %v, network %s0", trouble, l.network)
			return l, nil
		}
	}
	return nil, fmt.Errorf("no free addresses: %w", err)
}

// projectRoot returns the folder of the project, which holds this program's folder
// review/1/bin.
func projectRoot() string {
	program, err := os.Executable()
	if err != nil {
		return "."
	}
	return filepath.Join(filepath.Dir(program), "..", "..", "..")
}

func (l *lab) address(host, port int) string {
	return net.JoinHostPort(fmt.Sprintf("%s%d", l.network, host), fmt.Sprint(port))
}

// record writes a line with the time since the start.
func (l *lab) record(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.file, "%9.3f  %s\n", time.Since(l.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and stand-ins.
func (l *lab) close() {
	for _, p := range l.processes {
		p.kill()
	}
	l.platform.close()
	_ = os.RemoveAll(l.folder)
	_ = l.file.Close()
}

// startDeployment starts the coordinators and some gateways, declares the manifest and
// waits until all gateways are ready.
func (l *lab) startDeployment(gateways int, m *manifest) error {
	for i := range coordinatorsInGroup + l.spares {
		l.processes = append(l.processes, l.newProcess("coordinator", fmt.Sprintf("core-%d", i+1), firstCoordinator+i))
	}
	for i := range gateways {
		l.processes = append(l.processes, l.newProcess("gateway", fmt.Sprintf("front-%d", i+1), firstGateway+i))
	}
	for _, p := range l.processes {
		if err := p.start(true); err != nil {
			return err
		}
	}
	if err := l.declare(m, 15*time.Second); err != nil {
		return err
	}
	return l.awaitReady(15 * time.Second)
}

func (l *lab) gateways() []*process {
	var list []*process
	for _, p := range l.processes {
		if p.role == "gateway" {
			list = append(list, p)
		}
	}
	return list
}

func (l *lab) awaitReady(timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for _, g := range l.gateways() {
		for !g.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", g.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	l.record("all gateways are ready")
	return nil
}
