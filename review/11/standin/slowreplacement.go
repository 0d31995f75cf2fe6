package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	// growthChanges is how many versions of the manifest are sent before disks are lost.
	growthChanges = 580
	// maxGrowthTime bounds the time in which they are sent.
	maxGrowthTime = 70 * time.Second
	// wipeDown is how long a VM that loses its disk is down.
	wipeDown = time.Second
	// catchUp is after how long a VM that is back no longer counts as lost.
	catchUp = 6 * time.Second
	// readTime is how long the operator tries to read the manifest back.
	readTime = 25 * time.Second
)

// wipe kills the coordinators at once and starts them again with empty disks.
func (d *deployment) wipe(indexes ...int) error {
	for _, i := range indexes {
		p := d.process(fmt.Sprintf("core-%d", i+1))
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.done
		if err := os.RemoveAll(filepath.Join(d.folder, p.name)); err != nil {
			return err
		}
		d.record.printf("%s goes down and loses its disk", p.name)
	}
	time.Sleep(wipeDown)
	for _, i := range indexes {
		if err := d.startCoordinator(i, false); err != nil {
			return err
		}
	}
	return nil
}

// readBack asks all coordinators for the manifest until one answers, and returns its version.
func (d *deployment) readBack(within time.Duration) (version string, ok bool) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	until := time.Now().Add(within)
	last := ""
	for i := 0; time.Now().Before(until); i++ {
		host := firstCoordinatorHost + i%d.shape.coordinators
		res, err := client.Get("http://" + d.address(host, portControl) + "/sequoiadock/config")
		if err != nil {
			last = err.Error()
			time.Sleep(50 * time.Millisecond)
			continue
		}
		body, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK && err == nil {
			head, _, _ := strings.Cut(string(body), ",")
			d.record.printf("core-%d answers the read with 200, %s", host-firstCoordinatorHost+1, head)
			return strings.TrimPrefix(head, `{"version":`), true
		}
		last = res.Status
		time.Sleep(50 * time.Millisecond)
	}
	d.record.printf("no coordinator answers a read with 200; the last answer is %q", last)
	return "", false
}

// playSlowReplacement loses as many disks as are tolerated, and as many others each time those
// have been back for catchUpS.
func playSlowReplacement(d *deployment, trouble bool) (bool, error) {
	acknowledged := 0
	for startedAt := time.Now(); acknowledged < growthChanges && time.Since(startedAt) < maxGrowthTime; acknowledged++ {
		if err := d.declare(manyRoutes(acknowledged+1), 20*time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	for i := 0; trouble && i < d.shape.coordinators; i += d.shape.tolerated {
		var lost []int
		for k := range d.shape.tolerated {
			lost = append(lost, i+k)
		}
		if err := d.wipe(lost...); err != nil {
			return false, err
		}
		time.Sleep(catchUp + 200*time.Millisecond)
	}
	version, ok := d.readBack(readTime)
	return !ok || version != fmt.Sprint(acknowledged), nil
}
