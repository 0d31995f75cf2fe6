package sqentry

import (
	"context"
	"sync"
	"time"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqevent"
	"sequoiadock/io/sqclock"
)

// flushEvery is the time between usage batches. What was counted since the last
// batch is lost when the process is killed.
const flushEvery = time.Second

// usage counts what teams used. Batches are numbered, one is sent at a time,
// and each counts once however often it is sent.
type usage struct {
	mu    sync.Mutex
	open  map[usageKey]*sqcommand.UsageLine
	batch *sqcommand.UsageBatch
	last  uint64
}

type usageKey struct {
	team, service, model string
}

func newUsage() *usage {
	return &usage{open: map[usageKey]*sqcommand.UsageLine{}}
}

func (u *usage) add(team, service, model string, prompt, output int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	key := usageKey{team, service, model}
	l, ok := u.open[key]
	if !ok {
		l = &sqcommand.UsageLine{Team: team, Service: service, Model: model}
		u.open[key] = l
	}
	l.PromptTokens += uint64(max(0, prompt))
	l.OutputTokens += uint64(max(0, output))
	l.Requests++
}

// next returns the batch to send: the last one until it was accepted, so that
// its figures never change under its number.
func (u *usage) next(entry, run string) *sqcommand.UsageBatch {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.batch != nil || len(u.open) == 0 {
		return u.batch
	}
	u.last++
	u.batch = &sqcommand.UsageBatch{Entry: entry, Run: run, Number: u.last}
	for _, l := range u.open {
		u.batch.Lines = append(u.batch.Lines, l)
	}
	u.open = map[usageKey]*sqcommand.UsageLine{}
	return u.batch
}

func (u *usage) accepted() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.batch = nil
}

// flushUsage sends what was counted; it returns whether nothing is left.
func (e *entry) flushUsage(ctx context.Context) bool {
	for ctx.Err() == nil {
		b := e.usage.next(e.cfg.Name, e.run)
		if b == nil {
			return true
		}
		_, err := e.watch.Submit(ctx, &sqcommand.Command{
			OperationId: e.watch.OperationID(),
			AtUnixNano:  sqclock.Wall().UnixNano(),
			Body:        &sqcommand.Command_RecordUsage{RecordUsage: &sqcommand.RecordUsage{Batch: b}},
		})
		if err != nil {
			e.cfg.Log.Event(sqevent.UsageBatchFailed, e.run, b.GetNumber(), err.Error())
			return false
		}
		e.usage.accepted()
	}
	return false
}

func (e *entry) usageLoop(ctx context.Context) {
	t := time.NewTicker(flushEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			flush, cancel := context.WithTimeout(ctx, 5*flushEvery)
			e.flushUsage(flush)
			cancel()
		}
	}
}
