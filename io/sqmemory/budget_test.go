package sqmemory

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/io/sqclock"
)

// testAccount is an account that releases its bytes when it is interrupted or closed.
type testAccount struct {
	account             *Account
	interrupted, closed atomic.Int64
	ignoresInterrupt    bool
}

func openAccount(b *Budget, progressAt time.Time) *testAccount {
	a := &testAccount{}
	a.account = b.Open(progressAt, AccountConfig{
		Group: "callers", Share: b.Limit() / 2,
		Interrupt: func() {
			a.interrupted.Add(1)
			if !a.ignoresInterrupt {
				a.account.ReleaseAll()
			}
		},
		Close: func() { a.closed.Add(1); a.account.Close() },
	})
	return a
}

// TestBudgetEvictsLongestStalled fails if room for a caller is not made by the one without
// progress for longest, or by one that progresses or is being served.
func TestBudgetEvictsLongestStalled(t *testing.T) {
	now := sqclock.Now()
	b := NewBudget(BudgetConfig{Limit: 80 << 20})
	served, oldest, old, moving := openAccount(b, now.Add(-9*minStall)), openAccount(b, now.Add(-3*minStall)), openAccount(b, now.Add(-2*minStall)), openAccount(b, now.Add(time.Minute))
	served.account.SetServing(true)
	for _, a := range []*testAccount{served, oldest, old, moving} {
		assert.Assert(t, a.account.Reserve(17<<20))
	}
	newcomer := openAccount(b, now)
	assert.Assert(t, newcomer.account.Reserve(10<<20))
	assert.Assert(t, newcomer.account.Reserve(10<<20))
	assert.Equal(t, oldest.interrupted.Load(), int64(1))
	assert.Equal(t, old.interrupted.Load(), int64(1))
	assert.Equal(t, served.interrupted.Load()+moving.interrupted.Load(), int64(0))
	assert.Assert(t, !newcomer.account.Reserve(18<<20), "no account may exceed its share or evict what progresses")
	for _, a := range []*testAccount{served, oldest, old, moving, newcomer} {
		a.account.Close()
	}
	assert.Equal(t, b.UsedBytes(), int64(0))
	assert.Assert(t, newcomer.account.Reserve(1) && b.UsedBytes() == 0, "a closed account is not counted")
}

// TestBudgetKeepsRoomForSmallAccounts fails if large bodies leave no room for ordinary
// requests.
func TestBudgetKeepsRoomForSmallAccounts(t *testing.T) {
	b := NewBudget(BudgetConfig{Limit: 80 << 20})
	now := sqclock.Now().Add(time.Minute)
	for range 2 {
		assert.Assert(t, openAccount(b, now).account.Reserve(35<<20))
	}
	assert.Assert(t, !openAccount(b, now).account.Reserve(1<<20))
	assert.Assert(t, openAccount(b, now).account.Reserve(smallAccountBytes))
}

// TestBudgetClosesWhatIgnoresInterrupt fails if an account keeps its bytes by ignoring that
// it was told to end.
func TestBudgetClosesWhatIgnoresInterrupt(t *testing.T) {
	now := sqclock.Now()
	b := NewBudget(BudgetConfig{Limit: 80 << 20})
	stuck, newcomer := openAccount(b, now.Add(-9*minStall)), openAccount(b, now)
	stuck.ignoresInterrupt = true
	assert.Assert(t, stuck.account.Reserve(40<<20))
	assert.Assert(t, !newcomer.account.Reserve(35<<20))
	assert.Equal(t, stuck.interrupted.Load(), int64(1))
	b.mu.Lock()
	stuck.account.interruptedAt = now.Add(-closeDelay)
	b.mu.Unlock()
	assert.Assert(t, newcomer.account.Reserve(35<<20))
	assert.Equal(t, stuck.closed.Load(), int64(1))
}

// TestEvictFromGroup fails if a connection is closed that makes progress, or one of another
// listener.
func TestEvictFromGroup(t *testing.T) {
	now := sqclock.Now()
	b := NewBudget(BudgetConfig{Limit: 1 << 20})
	moving, stalled := openAccount(b, now), openAccount(b, now.Add(-2*minStall))
	assert.Assert(t, !b.EvictFrom(now, "operators"))
	assert.Assert(t, b.EvictFrom(now, "callers"))
	assert.Assert(t, !b.EvictFrom(now, "callers"))
	assert.Equal(t, stalled.closed.Load(), int64(1))
	assert.Equal(t, moving.closed.Load(), int64(0))
}

// BenchmarkRequest measures what an ordinary request does with the budget beside a thousand
// other connections.
func BenchmarkRequest(b *testing.B) {
	budget := NewBudget(BudgetConfig{Limit: 64 << 20})
	now := sqclock.Now()
	for range 1000 {
		openAccount(budget, now)
	}
	a := openAccount(budget, now).account
	b.ReportAllocs()
	for b.Loop() {
		a.RecordProgress(now)
		a.Reserve(112 << 10)
		a.SetServing(true)
		a.SetReceiving(true)
		a.Reserve(4 << 10)
		a.SetReceiving(false)
		a.ReleaseAll()
		a.SetServing(false)
	}
}

// TestServedAccountIsNotInterrupted fails if a request is ended whose body arrived while
// others were evicted before it: it may run.
func TestServedAccountIsNotInterrupted(t *testing.T) {
	now := sqclock.Now()
	b := NewBudget(BudgetConfig{Limit: 80 << 20})
	first, second := openAccount(b, now.Add(-3*minStall)), openAccount(b, now.Add(-2*minStall))
	for _, a := range []*testAccount{first, second} {
		a.account.SetServing(true)
		a.account.SetReceiving(true)
		assert.Assert(t, a.account.Reserve(35<<20))
	}
	interrupt := first.account.cfg.Interrupt
	first.account.cfg.Interrupt = func() { second.account.SetReceiving(false); interrupt() }
	newcomer := openAccount(b, now)
	assert.Assert(t, !newcomer.account.Reserve(40<<20))
	assert.Equal(t, first.interrupted.Load(), int64(1))
	assert.Equal(t, second.interrupted.Load(), int64(0))
}

// TestInterruptIsForOneRequest fails if a caller gets no answer, because an earlier request of
// its connection was to be ended.
func TestInterruptIsForOneRequest(t *testing.T) {
	now := sqclock.Now()
	b := NewBudget(BudgetConfig{Limit: 80 << 20})
	a, newcomer := openAccount(b, now.Add(-9*minStall)), openAccount(b, now)
	for range 2 {
		assert.Assert(t, a.account.Reserve(40<<20))
		assert.Assert(t, newcomer.account.Reserve(35<<20))
		newcomer.account.ReleaseAll()
		b.mu.Lock()
		if !a.account.interruptedAt.IsZero() {
			a.account.interruptedAt = now.Add(-closeDelay)
		}
		b.mu.Unlock()
	}
	assert.Equal(t, a.interrupted.Load(), int64(2))
	assert.Equal(t, a.closed.Load(), int64(0))
}
