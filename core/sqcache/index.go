package sqcache

import "time"

// blockCopy is one endpoint's copy of a block. Its fields are small to limit
// the memory of a block with all its copies.
type blockCopy struct {
	endpoint    uint16
	unconfirmed bool
	// decay is the endpoint's decay when the copy was recorded.
	decay uint32
	// recordedAt is the time when the copy was recorded, in units of ageStep
	// from the index's origin.
	recordedAt uint32
}

// ageStep is the resolution of a copy's age.
const ageStep = 50 * time.Millisecond

// block is one prefix cache block and the endpoints that hold it. Its hash
// covers the prompt from the start to the end of the block.
type block struct {
	hash   uint64
	copies [MaxCopies]blockCopy
	count  uint8
	// referenced gives the block a second chance when the clock algorithm looks
	// for a block to evict.
	referenced bool
}

// endpointState is the state of one endpoint's event stream.
type endpointState struct {
	hasEvents bool
	// decay grows with each gap and each Cleared event; see confidence.go.
	decay uint32
	// validFrom is the decay below which all copies are invalid.
	validFrom uint32
	// validCopies is the number of the endpoint's valid copies.
	validCopies int
	// nextEvent is the expected number of the next event.
	nextEvent uint64
	gaps      uint64
}

// Index records which endpoint holds which block. Endpoints are numbers below
// MaxEndpoints that the caller assigns; small ones use less memory. It is not
// safe for concurrent use.
type Index struct {
	cfg       Config
	origin    time.Time
	positions map[uint64]int32
	blocks    []block
	clockHand int
	endpoints []endpointState
	hits      []Hit
	// hitPositions holds, for each endpoint, its position in hits plus one; 0
	// means none.
	hitPositions []uint8
}

// New returns an empty index.
func New(cfg Config) *Index {
	return &Index{
		cfg:       cfg.withDefaults(),
		positions: make(map[uint64]int32),
		hits:      make([]Hit, 0, MaxCopies),
	}
}

// Len returns the number of blocks in the index.
func (x *Index) Len() int { return len(x.positions) }

// NextEventNumber returns the number from which to request the endpoint's
// events.
func (x *Index) NextEventNumber(endpoint uint32) uint64 {
	if int(endpoint) >= len(x.endpoints) {
		return 0
	}
	return x.endpoints[endpoint].nextEvent
}

// Gaps returns the number of gaps in the endpoint's events.
func (x *Index) Gaps(endpoint uint32) uint64 {
	if int(endpoint) >= len(x.endpoints) {
		return 0
	}
	return x.endpoints[endpoint].gaps
}

// Forget discards all knowledge of an endpoint, for instance before its number
// is reused for another one.
func (x *Index) Forget(endpoint uint32) {
	s := x.endpointState(endpoint)
	s.addDecay(maxDecay)
	s.hasEvents = false
	s.nextEvent = 0
}

// RecordDispatch records that the entry sent a prompt with these blocks to an
// endpoint. The endpoint will hold them unless it runs out of memory, so the
// copies count as unconfirmed.
func (x *Index) RecordDispatch(now time.Time, endpoint uint32, blocks []uint64) {
	for _, hash := range blocks {
		x.addCopy(now, endpoint, hash, true)
	}
}

// Apply applies an endpoint's event. An event with a number that was already
// applied is ignored. A gap in the numbers lowers the confidence in each copy
// at the endpoint until the copy is recorded again.
func (x *Index) Apply(now time.Time, endpoint uint32, e Event) {
	s := x.endpointState(endpoint)
	if s.hasEvents && e.Number() < s.nextEvent {
		return
	}
	if s.hasEvents && e.Number() > s.nextEvent {
		s.addDecay(x.gapDecay(s, e.Number()-s.nextEvent))
		s.gaps++
	}
	s.hasEvents = true
	s.nextEvent = e.Number() + 1
	switch e.Kind() {
	case Stored:
		x.addCopy(now, endpoint, e.Block(), false)
	case Removed:
		x.removeCopy(endpoint, e.Block())
	case Cleared:
		s.addDecay(maxDecay)
	}
}

// addDecay increases the decay. An increase by maxDecay makes all copies
// invalid.
func (s *endpointState) addDecay(by uint32) {
	s.decay += by
	if by >= maxDecay {
		s.validFrom = s.decay
		s.validCopies = 0
	}
}

// discard updates the count of valid copies for a copy that is removed from the
// index.
func (x *Index) discard(c *blockCopy) {
	if s := &x.endpoints[c.endpoint]; c.decay >= s.validFrom {
		s.validCopies--
	}
}

func (x *Index) ageSteps(now time.Time) uint32 {
	if x.origin.IsZero() {
		x.origin = now
	}
	return uint32(max(0, now.Sub(x.origin)/ageStep))
}

func (x *Index) endpointState(endpoint uint32) *endpointState {
	for int(endpoint) >= len(x.endpoints) {
		x.endpoints = append(x.endpoints, endpointState{})
		x.hitPositions = append(x.hitPositions, 0)
	}
	return &x.endpoints[endpoint]
}

func (x *Index) addCopy(now time.Time, endpoint uint32, hash uint64, unconfirmed bool) {
	s := x.endpointState(endpoint)
	c := blockCopy{endpoint: uint16(endpoint), unconfirmed: unconfirmed, decay: s.decay, recordedAt: x.ageSteps(now)}
	b := x.findOrAddBlock(hash)
	b.referenced = true
	s.validCopies++
	oldest := 0
	for i := range b.copies[:b.count] {
		if b.copies[i].endpoint == c.endpoint {
			x.discard(&b.copies[i])
			b.copies[i] = c
			return
		}
		if b.copies[i].recordedAt < b.copies[oldest].recordedAt {
			oldest = i
		}
	}
	if b.count < MaxCopies {
		b.copies[b.count] = c
		b.count++
		return
	}
	x.discard(&b.copies[oldest])
	b.copies[oldest] = c
}

func (x *Index) removeCopy(endpoint uint32, hash uint64) {
	position, ok := x.positions[hash]
	if !ok {
		return
	}
	b := &x.blocks[position]
	for i := range b.copies[:b.count] {
		if uint32(b.copies[i].endpoint) == endpoint {
			x.discard(&b.copies[i])
			b.count--
			b.copies[i] = b.copies[b.count]
			return
		}
	}
}

// findOrAddBlock returns the block with a hash. If the block is new and the
// index is full, it evicts another one by the clock algorithm.
func (x *Index) findOrAddBlock(hash uint64) *block {
	if position, ok := x.positions[hash]; ok {
		return &x.blocks[position]
	}
	if len(x.blocks) < x.cfg.MaxBlocks {
		x.positions[hash] = int32(len(x.blocks))
		x.blocks = append(x.blocks, block{hash: hash})
		return &x.blocks[len(x.blocks)-1]
	}
	for x.blocks[x.clockHand].referenced {
		x.blocks[x.clockHand].referenced = false
		x.clockHand = (x.clockHand + 1) % len(x.blocks)
	}
	b := &x.blocks[x.clockHand]
	delete(x.positions, b.hash)
	for i := range b.copies[:b.count] {
		x.discard(&b.copies[i])
	}
	x.positions[hash] = int32(x.clockHand)
	x.clockHand = (x.clockHand + 1) % len(x.blocks)
	*b = block{hash: hash}
	return b
}
