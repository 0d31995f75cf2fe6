package sqentry

import (
	"context"
	"sync"
	"time"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqevent"
	"sequoiadock/io/sqclock"
)

// flushInterval is the time between usage batches. Usage counted since the last
// batch is lost when the process is killed.
const flushInterval = time.Second

// usage counts the requests and tokens that teams used. Batches are numbered
// and sent one at a time, and each is counted once however often it is sent.
type usage struct {
	mu             sync.Mutex
	current        map[usageKey]*sqcommand.UsageLine
	unacknowledged *sqcommand.UsageBatch
	lastNumber     uint64
}

type usageKey struct {
	team, service, model string
}

func newUsage() *usage {
	return &usage{current: map[usageKey]*sqcommand.UsageLine{}}
}

func (u *usage) add(team, service, model string, promptTokens, outputTokens int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	key := usageKey{team, service, model}
	line, ok := u.current[key]
	if !ok {
		line = &sqcommand.UsageLine{Team: team, Service: service, Model: model}
		u.current[key] = line
	}
	line.PromptTokens += uint64(max(0, promptTokens))
	line.OutputTokens += uint64(max(0, outputTokens))
	line.Requests++
}

// nextBatch returns the batch to send. An unacknowledged batch is returned
// again unchanged, so that its counts never change under its number.
func (u *usage) nextBatch(entry, run string) *sqcommand.UsageBatch {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.unacknowledged != nil || len(u.current) == 0 {
		return u.unacknowledged
	}
	u.lastNumber++
	u.unacknowledged = &sqcommand.UsageBatch{Entry: entry, Run: run, Number: u.lastNumber}
	for _, l := range u.current {
		u.unacknowledged.Lines = append(u.unacknowledged.Lines, l)
	}
	u.current = map[usageKey]*sqcommand.UsageLine{}
	return u.unacknowledged
}

func (u *usage) acknowledgeBatch() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.unacknowledged = nil
}

// flushUsage sends the usage counted so far and reports whether nothing is left
// to send.
func (e *entry) flushUsage(ctx context.Context) bool {
	for ctx.Err() == nil {
		b := e.usage.nextBatch(e.cfg.Name, e.runID)
		if b == nil {
			return true
		}
		_, err := e.watch.Submit(ctx, &sqcommand.Command{
			OperationId: e.watch.OperationID(),
			AtUnixNano:  sqclock.Wall().UnixNano(),
			Body:        &sqcommand.Command_RecordUsage{RecordUsage: &sqcommand.RecordUsage{Batch: b}},
		})
		if err != nil {
			e.cfg.Log.Event(sqevent.UsageBatchFailed, e.runID, b.GetNumber(), err.Error())
			return false
		}
		e.usage.acknowledgeBatch()
	}
	return false
}

func (e *entry) usageLoop(ctx context.Context) {
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			flush, cancel := context.WithTimeout(ctx, 5*flushInterval)
			e.flushUsage(flush)
			cancel()
		}
	}
}
