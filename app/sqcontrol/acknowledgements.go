package sqcontrol

import (
	"time"

	"sequoiadock/io/sqrpc"
)

// acknowledgements tracks whether entries receive the holder's answers. Every
// answer has a number, which the entry returns in its next watch.
type acknowledgements struct {
	counters *termCounters
	// lastEarlierAnswer is the number of the last answer before this termState.
	lastEarlierAnswer uint64
	// confirmed is the last answer of this termState that each entry acknowledged.
	// Entries that leave are removed, because it is normal that they stop sending
	// watches.
	confirmed map[string]uint64
	// lastProgress is when an entry last acknowledged a new answer or, before that,
	// when the first watch of this termState arrived. It is zero before the first
	// watch.
	lastProgress time.Time
	// lastWatch is when an entry that is not leaving last sent a watch.
	lastWatch time.Time
}

func newAcknowledgements(counters *termCounters) acknowledgements {
	return acknowledgements{counters: counters, lastEarlierAnswer: counters.answers, confirmed: make(map[string]uint64)}
}

// recordWatch records a watch and returns the number of its answer.
func (a *acknowledgements) recordWatch(now time.Time, req *sqrpc.WatchRequest) uint64 {
	a.counters.answers++
	if req.GetLeaving() {
		delete(a.confirmed, req.GetEntry())
		return a.counters.answers
	}
	a.lastWatch = now
	if a.lastProgress.IsZero() {
		a.lastProgress = now
	}
	if known := req.GetKnownAnswer(); known > max(a.lastEarlierAnswer, a.confirmed[req.GetEntry()]) {
		a.confirmed[req.GetEntry()] = known
		a.lastProgress = now
	}
	return a.counters.answers
}

// unacknowledgedFor returns for how long no entry has acknowledged an answer
// although some should have: they send watches without an acknowledgement, or they
// acknowledged answers and then sent no more watches. It returns 0 before the first
// watch. It also returns 0 if no entry that stays has acknowledged an answer and
// none has sent a watch within limit: then no entry is running, and another holder
// would not help.
func (a *acknowledgements) unacknowledgedFor(now time.Time, limit time.Duration) time.Duration {
	if a.lastProgress.IsZero() || len(a.confirmed) == 0 && now.Sub(a.lastWatch) > limit {
		return 0
	}
	return now.Sub(a.lastProgress)
}
