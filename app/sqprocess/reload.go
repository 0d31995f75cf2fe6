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
	// settingsPollInterval is the period of checking whether the settings file changed,
	// since not every change is followed by a signal.
	settingsPollInterval = 1 * time.Second
	// droppedLinesInterval is the period of logging how many log lines were dropped.
	droppedLinesInterval = 5 * time.Second
	// flushTimeout bounds the writing of queued log lines when a process ends.
	flushTimeout = 300 * time.Millisecond
)

// newLog returns a log that never blocks its process; closeLog writes the queued lines.
func newLog(name string) (log *sqlog.Log, closeLog func()) {
	q := sqlog.NewAsyncWriter(os.Stdout)
	log = sqlog.New(sqlog.Config{Name: name, Output: q, Level: sqevent.Info})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for sqclock.Sleep(ctx, droppedLinesInterval) {
			if n := q.Dropped(); n > 0 {
				log.Event(sqevent.LogLinesDropped, n)
			}
		}
	}()
	return log, func() {
		cancel()
		q.Close(flushTimeout)
	}
}

// notifyHangup returns a channel that receives SIGHUP until the process ends. It is called
// before anything that takes time, and never undone: without a receiver, SIGHUP ends the
// process, also one that is stopping and still serves requests.
func notifyHangup() <-chan os.Signal {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return hup
}

// settingsWatch is what watchSettings needs to read the settings again.
type settingsWatch struct {
	log  *sqlog.Log
	role string
	file string
	// hup receives a value at every SIGHUP.
	hup       <-chan os.Signal
	readSeeds func() ([]string, []*sqerror.Error)
}

// watchSettings delivers the seeds at every SIGHUP, and when the settings file changes
// without a signal, unless the seeds are those that were delivered last. Settings with
// faults are not used, and the first fault is logged.
func watchSettings(ctx context.Context, w settingsWatch) <-chan []string {
	updates := make(chan []string)
	go func() {
		lastData, lastErr := os.ReadFile(w.file)
		tick := time.NewTicker(settingsPollInterval)
		defer tick.Stop()
		var seeds []string
		for {
			signaled := false
			select {
			case <-ctx.Done():
				return
			case <-w.hup:
				signaled = true
			case <-tick.C:
			}
			data, err := os.ReadFile(w.file)
			if !signaled && (err != nil || lastErr == nil && bytes.Equal(data, lastData)) {
				continue
			}
			lastData, lastErr = data, err
			newSeeds, faults := w.readSeeds()
			if len(faults) > 0 {
				w.log.Event(sqevent.SettingsKept, w.role, faults[0].Error())
				continue
			}
			if !signaled && slices.Equal(newSeeds, seeds) {
				continue
			}
			seeds = newSeeds
			select {
			case <-ctx.Done():
				return
			case updates <- newSeeds:
			}
		}
	}()
	return updates
}
