package request

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
	"sequoiadock/standin/sqcaller"
	"sequoiadock/standin/sqfault"
)

// graceMillis is a stop grace that long answers outlast.
const graceMillis = 1500

// TestStopTellsWhatOutlastsTheGrace stops an entry whose streams, plain answers
// and calls run longer than the stop grace. Each caller is told so in the
// documented form; none is cut without a word.
func TestStopTellsWhatOutlastsTheGrace(t *testing.T) {
	c := start(t, sqcluster.Config{EntryTiming: map[string]int{"keepMillis": 300, "stopMillis": graceMillis}})
	for _, e := range append(c.Endpoints(sqcluster.Booking), c.Endpoints(sqcluster.Meetups)...) {
		assert.NilError(t, c.InjectFault(e.Address, sqfault.Fault{Kind: sqfault.Hang, Phase: sqfault.BeforeFirstByte}))
	}
	victim := c.Entries()[0]
	caller := onceCaller(c)
	const streams, each = 6, 4
	var streaming, all sync.WaitGroup
	streaming.Add(streams)
	chats := make([]sqcaller.ChatResult, streams+each)
	for i := range chats {
		all.Go(func() {
			q := chat("a very long story", 2*longStreamTokens)
			q.Address, q.Deadline, q.Stream = victim.CallerAddress(), time.Minute, i < streams
			var once sync.Once
			q.OnToken = func(int) { once.Do(streaming.Done) }
			chats[i] = caller.Chat(context.Background(), q)
			if q.Stream {
				once.Do(streaming.Done)
			}
		})
	}
	calls := make([]sqcaller.CallResult, 2*each)
	for i := range calls {
		all.Go(func() {
			q := sqcaller.CallRequest{Method: http.MethodGet, Path: "/meetups/today", Address: victim.CallerAddress(), Deadline: time.Minute}
			if i < each {
				q = onceCall(victim.CallerAddress(), "grace"+string(rune('a'+i)), time.Minute)
			}
			calls[i] = caller.Call(context.Background(), q)
		})
	}
	streaming.Wait()
	time.Sleep(500 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), shortWait)
	defer cancel()
	code, err := victim.Stop(ctx)
	assert.NilError(t, err)
	assert.Equal(t, code, 0)
	all.Wait()
	for _, a := range chats {
		assert.Assert(t, a.Refusal != nil, "%+v", a)
		assert.Equal(t, a.Refusal.Kind, "leaving")
		assert.Equal(t, a.Refusal.Run, "mayHaveRun")
	}
	for _, a := range calls {
		assert.Assert(t, a.Refusal != nil, "%+v", a)
		assert.Equal(t, a.Refusal.Run, "mayHaveRun", "%+v", a.Refusal)
	}
}
