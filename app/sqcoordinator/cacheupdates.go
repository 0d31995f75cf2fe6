package sqcoordinator

import (
	"time"

	"google.golang.org/protobuf/proto"

	"sequoiadock/io/sqrpc"
)

const (
	// maxKeptCacheUpdates is how many cache updates the lease holder keeps for gateways that
	// have not seen them, maxCacheUpdatesPerResponse how many it sends in one response.
	maxKeptCacheUpdates        = 4096
	maxCacheUpdatesPerResponse = 1024
	// cacheBatchInterval is how long updates are collected before they are sent, and
	// maxCacheBatch how many at most.
	cacheBatchInterval = 40 * time.Millisecond
	maxCacheBatch      = 256
)

// cacheUpdateLog holds the cache updates that gateways reported, numbered in order of
// arrival. A cache update says that an engine has processed a shared beginning of
// prompts. The numbers start anew with each term. Updates are encoded once, in batches that
// all gateways are sent as they are.
type cacheUpdateLog struct {
	// open collects the updates of the next batch, since openedAt.
	open     []*sqrpc.CacheUpdate
	openedAt time.Time
	// batches are in order. nextNumber is the number after the last update of the last one.
	batches    []cacheBatch
	kept       int
	nextNumber uint64
}

// cacheBatch holds the updates with the numbers from first on.
type cacheBatch struct {
	first   uint64
	updates []*sqrpc.CacheUpdate
	encoded []byte
}

func newCacheUpdateLog(term uint64) cacheUpdateLog {
	return cacheUpdateLog{nextNumber: term << counterBits}
}

// exchange records the updates of the request, and sets those of the response: the batches
// that the sender has not seen. If the sender's last number is of another term, or is not
// kept any more, all kept updates count as unseen. Of more than maxCacheUpdatesPerResponse
// unseen updates, only the newest batches are sent.
func (l *cacheUpdateLog) exchange(now time.Time, req *sqrpc.BeatRequest, res *sqrpc.BeatResponse) error {
	reporter := sqrpc.ReporterHash(req.GetGateway())
	if len(l.open) == 0 {
		l.openedAt = now
	}
	for _, u := range req.GetCacheUpdates() {
		u.Reporter = reporter
		l.open = append(l.open, u)
	}
	if err := l.closeBatch(now); err != nil {
		return err
	}
	count := 0
	from := len(l.batches)
	for from > 0 && l.batches[from-1].first >= req.GetLastCacheUpdate() && count+len(l.batches[from-1].updates) <= maxCacheUpdatesPerResponse {
		from--
		count += len(l.batches[from].updates)
	}
	for _, b := range l.batches[from:] {
		if req.GetNumber() != 0 {
			res.CacheUpdateLists = append(res.CacheUpdateLists, b.encoded)
			continue
		}
		for _, u := range b.updates {
			if u.GetReporter() != reporter {
				res.CacheUpdates = append(res.CacheUpdates, u)
			}
		}
	}
	res.LastCacheUpdate = l.nextNumber
	return nil
}

// closeBatch encodes the collected updates once they are old or many enough, and drops the
// oldest batches beyond maxKeptCacheUpdates.
func (l *cacheUpdateLog) closeBatch(now time.Time) error {
	if len(l.open) == 0 || len(l.open) < maxCacheBatch && now.Sub(l.openedAt) < cacheBatchInterval {
		return nil
	}
	encoded, err := proto.Marshal(&sqrpc.CacheUpdateList{Updates: l.open})
	if err != nil {
		l.open = nil
		return err
	}
	l.batches = append(l.batches, cacheBatch{first: l.nextNumber, updates: l.open, encoded: encoded})
	l.nextNumber += uint64(len(l.open))
	l.kept += len(l.open)
	l.open = nil
	for l.kept > maxKeptCacheUpdates {
		l.kept -= len(l.batches[0].updates)
		l.batches = l.batches[1:]
	}
	return nil
}
