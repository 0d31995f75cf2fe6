package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the case "removal".
const (
	// spareHost is the machine of the core whose coordinator is not a member at first.
	spareHost = firstCoordinator + coordinatorsInGroup
	// freezeTime is how long a machine is frozen, diskDownTime how long the one is down that
	// loses its disk.
	freezeTime   = 4 * time.Second
	diskDownTime = 1500 * time.Millisecond
	// readBackTime is how long the operator asks for the manifest at the end.
	readBackTime = 6 * time.Second
	// servedTime is the time before the end whose requests are counted.
	servedTime = 3 * time.Second
)

// playRemoval has four machines of the core, three of which are the members of the group.
// One member loses its disk and comes back with an empty one. The disruption is that
// another member is frozen just before: one disk is lost in all, and all machines are back
// soon.
func playRemoval(l *lab) (int, error) {
	for i := range 3 {
		w := newWorker(l, workerConfig{
			service: passService, version: "v1", address: l.address(firstWorker+i, workerPort), slots: 6, queue: 24,
			workTime: func(*http.Request) time.Duration { return 30 * time.Millisecond },
		})
		if err := l.platform.add(w); err != nil {
			return 0, err
		}
	}
	l.spares = 1
	if err := l.startDeployment(2, newManifest()); err != nil {
		return 0, err
	}
	group := &clients{lab: l}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { group.sendEvery(ctx, 50*time.Millisecond, lookupPath+"pass", 1500*time.Millisecond) })
	time.Sleep(3 * time.Second)
	leader, followers := l.findLeader()
	if leader == nil || len(followers) < 2 {
		return 0, fmt.Errorf("no coordinator answers the operator")
	}
	l.record("%s holds the lease", leader.name)
	frozen, wiped := followers[0], followers[1]
	frozenAt := time.Now()
	if l.trouble {
		frozen.signal(syscall.SIGSTOP)
		l.awaitAddition(leader, freezeTime)
	}
	if err := wiped.loseDisk(diskDownTime); err != nil {
		return 0, err
	}
	if l.trouble {
		time.Sleep(time.Until(frozenAt.Add(freezeTime)))
		frozen.signal(syscall.SIGCONT)
	}
	back := time.Now()
	l.record("all machines are back")
	time.Sleep(recoveryTime)
	version := l.readBack(readBackTime)
	last := group.between(time.Now().Add(-servedTime), time.Now())
	stop()
	wg.Wait()
	l.record("%v after all machines are back the operator reads version %d; of the last %d requests %.3f are served",
		time.Since(back).Round(time.Second), version, len(last), servedShare(last))
	if version < newManifest().Version {
		l.record("CONFIG: the manifest that was acknowledged cannot be read back")
		return 1, nil
	}
	return 0, nil
}

// loseDisk kills the process and starts it again later, with an empty folder.
func (p *process) loseDisk(down time.Duration) error {
	p.signal(syscall.SIGKILL)
	<-p.exited
	if err := os.RemoveAll(fmt.Sprint(p.fields["dataDir"])); err != nil {
		return err
	}
	p.lab.record("%s has lost its disk", p.name)
	time.Sleep(down)
	return p.start(false)
}

// awaitAddition waits until the log of the process says that it has added a member.
func (l *lab) awaitAddition(p *process, timeout time.Duration) {
	file := filepath.Join(l.folder, p.name+".log")
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		data, err := os.ReadFile(file)
		if err == nil && strings.Contains(string(data), `"change":"add"`) {
			l.record("%s has added a member", p.name)
			return
		}
	}
	l.record("%s has added no member", p.name)
}

// operatorClient does not follow redirects.
var operatorClient = &http.Client{Timeout: time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}

// askOperatorPort asks a coordinator for the manifest. The status is 0 if no answer comes.
func (p *process) askOperatorPort() (status int, version uint64) {
	res, err := operatorClient.Get(fmt.Sprintf("http://%s/sequoiadock/config", p.lab.address(p.host, controlPort)))
	if err != nil {
		return 0, 0
	}
	defer res.Body.Close()
	var m manifest
	body, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != http.StatusOK || json.Unmarshal(body, &m) != nil {
		return res.StatusCode, 0
	}
	return res.StatusCode, m.Version
}

// findLeader returns the member that answers the operator itself, and the other members.
func (l *lab) findLeader() (leader *process, followers []*process) {
	for _, p := range l.processes {
		if p.role != "coordinator" || p.host == spareHost {
			continue
		}
		if status, _ := p.askOperatorPort(); status == http.StatusOK {
			leader = p
		} else {
			followers = append(followers, p)
		}
	}
	return leader, followers
}

// readBack asks all coordinators in turn for the manifest and returns its version, or 0 if
// none has it.
func (l *lab) readBack(timeout time.Duration) uint64 {
	statuses := map[string]int{}
	defer func() { l.record("answers to the operator: %v", statuses) }()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, p := range l.processes {
			if p.role != "coordinator" {
				continue
			}
			status, version := p.askOperatorPort()
			statuses[fmt.Sprintf("%s %d", p.name, status)]++
			if status == http.StatusOK {
				return version
			}
		}
	}
	return 0
}
