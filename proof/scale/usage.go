package main

import (
	"os"
	"strconv"
	"strings"
	"time"

	"sequoiadock/proof/sqcluster"
)

// clockTicks is the number of ticks per second in the processor times of /proc.
const clockTicks = 100

// usage is the processor time that a process has used so far and its resident memory.
type usage struct {
	cpuTime   time.Duration
	megabytes float64
}

// corePercent returns the use of one core between before and u, in percent.
func (u usage) corePercent(before usage, period time.Duration) float64 {
	return 100 * float64(u.cpuTime-before.cpuTime) / float64(period)
}

func readUsages(procs []*sqcluster.Process) []usage {
	all := make([]usage, len(procs))
	for i, p := range procs {
		all[i] = readUsage(p.PID())
	}
	return all
}

// readUsage reads the usage of one process from /proc. Values that cannot be read
// are 0.
func readUsage(pid int) usage {
	dir := "/proc/" + strconv.Itoa(pid)
	var u usage
	if stat, err := os.ReadFile(dir + "/stat"); err == nil {
		fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
		user, _ := strconv.Atoi(fields[11])
		system, _ := strconv.Atoi(fields[12])
		u.cpuTime = time.Duration(user+system) * time.Second / clockTicks
	}
	if status, err := os.ReadFile(dir + "/status"); err == nil {
		_, rest, _ := strings.Cut(string(status), "VmRSS:")
		kilobytes, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
		u.megabytes = kilobytes / 1024
	}
	return u
}
