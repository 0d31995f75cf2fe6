package sqprocess

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"sequoiadock/core/sqerror"
	"sequoiadock/core/sqevent"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqlog"
)

const (
	// settingsEvery is the period of looking whether the settings file changed:
	// not every change comes with a signal.
	settingsEvery = 1 * time.Second
	// droppedEvery is the period of saying how many log lines were dropped.
	droppedEvery = 5 * time.Second
	// flushTimeout bounds the writing of log lines that wait when a process ends.
	flushTimeout = 300 * time.Millisecond
)

// newLog returns a log that never blocks its process; end writes what waits.
func newLog(name string) (log *sqlog.Log, end func()) {
	q := sqlog.NewQueue(os.Stdout)
	log = sqlog.New(sqlog.Config{Name: name, Output: q, Level: sqevent.Info})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for sqclock.Sleep(ctx, droppedEvery) {
			if n := q.Dropped(); n > 0 {
				log.Event(sqevent.LinesDropped, n)
			}
		}
	}()
	return log, func() {
		cancel()
		q.Close(flushTimeout)
	}
}

// watchSettings delivers the seeds whenever the settings file changes, at SIGHUP
// or without a signal. Settings with faults are logged and not used.
func watchSettings(ctx context.Context, log *sqlog.Log, role, file string, read func() ([]string, []*sqerror.Error)) <-chan []string {
	changed := make(chan []string)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		defer signal.Stop(hup)
		last, lastErr := os.ReadFile(file)
		tick := time.NewTicker(settingsEvery)
		defer tick.Stop()
		var seeds []string
		for {
			asked := false
			select {
			case <-ctx.Done():
				return
			case <-hup:
				asked = true
			case <-tick.C:
			}
			data, err := os.ReadFile(file)
			if !asked && (err != nil || lastErr == nil && bytes.Equal(data, last)) {
				continue
			}
			last, lastErr = data, err
			next, faults := read()
			if len(faults) > 0 {
				log.Event(sqevent.SettingsKept, role, faults[0].Error())
				continue
			}
			if !asked && slices.Equal(next, seeds) {
				continue
			}
			seeds = next
			select {
			case <-ctx.Done():
				return
			case changed <- next:
			}
		}
	}()
	return changed
}
