package sqengine

import (
	"container/list"
	"math/rand/v2"
	"time"
)

// maxCacheEvents limits the cache events that are kept for clients.
const maxCacheEvents = 4096

// cacheEvent is the wire form of one change of the prefix cache.
type cacheEvent struct {
	Number uint64 `json:"number"`
	Kind   string `json:"kind"`
	Block  string `json:"piece,omitempty"`
	Model  string `json:"model,omitempty"`

	created time.Time
}

type blockKey struct {
	model, block string
}

// cache holds blocks of prompt prefixes and evicts the least recently used.
// It is guarded by the engine's lock.
type cache struct {
	capacity    int
	lostPercent int
	rng         *rand.Rand
	lru         *list.List
	blocks      map[blockKey]*list.Element
	events      []cacheEvent
	lastNumber  uint64
}

func newCache(capacity, lostPercent int, seed uint64) *cache {
	return &cache{
		capacity:    capacity,
		lostPercent: lostPercent,
		rng:         rand.New(rand.NewPCG(seed, seed^0x5eed)),
		lru:         list.New(),
		blocks:      map[blockKey]*list.Element{},
	}
}

// matchPrefix returns how many leading blocks are cached, and marks them used.
func (c *cache) matchPrefix(model string, blocks []string) int {
	for i, p := range blocks {
		el, ok := c.blocks[blockKey{model, p}]
		if !ok {
			return i
		}
		c.lru.MoveToFront(el)
	}
	return len(blocks)
}

// store adds the blocks. It adds the last block first, so that the start of a
// prefix, without which the other blocks are useless, is evicted last.
func (c *cache) store(model string, blocks []string, now time.Time) {
	for i := len(blocks) - 1; i >= 0; i-- {
		k := blockKey{model, blocks[i]}
		if el, ok := c.blocks[k]; ok {
			c.lru.MoveToFront(el)
			continue
		}
		c.blocks[k] = c.lru.PushFront(k)
		c.addEvent("stored", k, now)
	}
	for c.lru.Len() > c.capacity {
		el := c.lru.Back()
		k, _ := el.Value.(blockKey)
		c.lru.Remove(el)
		delete(c.blocks, k)
		c.addEvent("removed", k, now)
	}
}

func (c *cache) clear(now time.Time) {
	c.lru.Init()
	c.blocks = map[blockKey]*list.Element{}
	c.addEvent("cleared", blockKey{}, now)
}

func (c *cache) addEvent(kind string, k blockKey, now time.Time) {
	c.lastNumber++
	if c.rng.IntN(100) < c.lostPercent {
		return
	}
	c.events = append(c.events, cacheEvent{Number: c.lastNumber, Kind: kind, Block: k.block, Model: k.model, created: now})
	if len(c.events) > maxCacheEvents {
		c.events = append([]cacheEvent{}, c.events[maxCacheEvents/4:]...)
	}
}

// cacheEventsResponse is the response to a request for cache events.
type cacheEventsResponse struct {
	// First is the number of the oldest event that is still available.
	First uint64 `json:"first"`
	// Next is the "after" parameter of the client's next request.
	Next   uint64       `json:"next"`
	Events []cacheEvent `json:"events"`
}

// eventsAfter returns the events numbered above n that were created no later than
// cutoff.
func (c *cache) eventsAfter(n uint64, cutoff time.Time) cacheEventsResponse {
	res := cacheEventsResponse{Next: n, Events: []cacheEvent{}}
	if len(c.events) > 0 {
		res.First = c.events[0].Number
	}
	for _, e := range c.events {
		if e.created.After(cutoff) {
			break
		}
		if e.Number > n {
			res.Events = append(res.Events, e)
			res.Next = e.Number
		}
	}
	return res
}
