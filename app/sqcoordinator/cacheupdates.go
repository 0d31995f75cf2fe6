package sqcoordinator

import "sequoiadock/io/sqrpc"

const (
	// maxKeptCacheUpdates is how many cache updates the lease holder keeps for gateways that
	// have not seen them, maxCacheUpdatesPerResponse how many it sends in one response.
	maxKeptCacheUpdates        = 4096
	maxCacheUpdatesPerResponse = 1024
)

// cacheUpdateLog holds the cache updates that gateways reported, numbered in order of
// arrival. A cache update says that an engine has processed a shared beginning of
// prompts. The numbers start anew with each term.
type cacheUpdateLog struct {
	// nextNumber is the number that the next update gets. The kept updates have the numbers
	// from firstNumber up to nextNumber, which is not included.
	nextNumber  uint64
	firstNumber uint64
	entries     []cacheUpdateEntry
}

type cacheUpdateEntry struct {
	update     *sqrpc.CacheUpdate
	reportedBy string
}

func newCacheUpdateLog(term uint64) cacheUpdateLog {
	firstNumber := term << counterBits
	return cacheUpdateLog{firstNumber: firstNumber, nextNumber: firstNumber}
}

// exchange sets the updates of the response to those of other gateways that the sender
// has not seen, and then records the updates of the request. If the sender's last number
// is not within the kept ones, such as a number of another term, all kept updates count as
// unseen. Of more than maxCacheUpdatesPerResponse unseen updates, only the newest are sent.
func (l *cacheUpdateLog) exchange(req *sqrpc.BeatRequest, res *sqrpc.BeatResponse) {
	from := req.GetLastCacheUpdate()
	if from < l.firstNumber || from > l.nextNumber {
		from = l.firstNumber
	}
	from = max(from, l.nextNumber-min(l.nextNumber-l.firstNumber, maxCacheUpdatesPerResponse))
	for _, entry := range l.entries[from-l.firstNumber:] {
		if entry.reportedBy != req.GetGateway() {
			res.CacheUpdates = append(res.CacheUpdates, entry.update)
		}
	}
	for _, u := range req.GetCacheUpdates() {
		l.entries = append(l.entries, cacheUpdateEntry{update: u, reportedBy: req.GetGateway()})
		l.nextNumber++
	}
	if excess := len(l.entries) - maxKeptCacheUpdates; excess > 0 {
		l.entries = append(l.entries[:0:0], l.entries[excess:]...)
		l.firstNumber += uint64(excess)
	}
	res.LastCacheUpdate = l.nextNumber
}
