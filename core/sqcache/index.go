package sqcache

import "time"

// holder is one endpoint's copy of a piece, packed so that a piece with all
// its holders stays small.
type holder struct {
	endpoint uint16
	guessed  bool
	// doubt is that of the source when the copy was learned.
	doubt uint32
	// seen is in steps of seenStep from the index's origin.
	seen uint32
}

// seenStep is the resolution of a copy's age.
const seenStep = 50 * time.Millisecond

// piece is a prefix with the endpoints that hold it.
type piece struct {
	name    uint64
	holders [MaxCopies]holder
	count   uint8
	// used gives the piece a second chance when room is needed.
	used bool
}

// source is the state of one endpoint's events.
type source struct {
	known bool
	// doubt rises with each gap and each clearing; see doubt.go.
	doubt uint32
	// cleared is the doubt below which all copies are void.
	cleared uint32
	// held is the number of the endpoint's copies that are not void.
	held int
	// next is the number that the next event should have.
	next uint64
	gaps uint64
}

// Index knows which endpoint holds which piece. Endpoints are small numbers
// that the caller hands out, below MaxEndpoints. It is not safe for concurrent
// use.
type Index struct {
	cfg     Config
	origin  time.Time
	slots   map[uint64]int32
	pieces  []piece
	hand    int
	sources []source
	hits    []Hit
	// place is the position in hits of each endpoint, plus one.
	place []uint8
}

// New returns an empty index.
func New(cfg Config) *Index {
	return &Index{
		cfg:   cfg.withDefaults(),
		slots: make(map[uint64]int32),
		hits:  make([]Hit, 0, MaxCopies),
	}
}

// Len returns the number of pieces that are remembered.
func (x *Index) Len() int { return len(x.slots) }

// NextEventNumber returns the number to ask the endpoint's events from.
func (x *Index) NextEventNumber(endpoint uint32) uint64 {
	if int(endpoint) >= len(x.sources) {
		return 0
	}
	return x.sources[endpoint].next
}

// Gaps returns how many gaps the endpoint's events had.
func (x *Index) Gaps(endpoint uint32) uint64 {
	if int(endpoint) >= len(x.sources) {
		return 0
	}
	return x.sources[endpoint].gaps
}

// Forget drops all that is known of an endpoint, for instance when its number
// is handed to another one.
func (x *Index) Forget(endpoint uint32) {
	s := x.source(endpoint)
	s.raise(maxDoubt)
	s.known = false
	s.next = 0
}

// RecordDispatch notes that the entry sent a prompt of these pieces to an endpoint,
// which will then hold them unless it runs short of memory.
func (x *Index) RecordDispatch(now time.Time, endpoint uint32, pieces []uint64) {
	for _, name := range pieces {
		x.learn(now, endpoint, name, true)
	}
}

// Apply takes an endpoint's event. A number that was seen already is ignored,
// and a gap lowers the trust in all that was known of the endpoint until it is
// learned anew.
func (x *Index) Apply(now time.Time, endpoint uint32, e Event) {
	s := x.source(endpoint)
	if s.known && e.Number() < s.next {
		return
	}
	if s.known && e.Number() > s.next {
		s.raise(x.gapDoubt(s, e.Number()-s.next))
		s.gaps++
	}
	s.known = true
	s.next = e.Number() + 1
	switch e.Kind() {
	case Stored:
		x.learn(now, endpoint, e.Block(), false)
	case Removed:
		x.remove(endpoint, e.Block())
	case Cleared:
		s.raise(maxDoubt)
	}
}

// raise adds doubt; a rise by all of it makes every copy void.
func (s *source) raise(by uint32) {
	s.doubt += by
	if by >= maxDoubt {
		s.cleared = s.doubt
		s.held = 0
	}
}

// drop notes that a copy is not remembered any more.
func (x *Index) drop(h *holder) {
	if s := &x.sources[h.endpoint]; h.doubt >= s.cleared {
		s.held--
	}
}

func (x *Index) steps(now time.Time) uint32 {
	if x.origin.IsZero() {
		x.origin = now
	}
	return uint32(max(0, now.Sub(x.origin)/seenStep))
}

func (x *Index) source(endpoint uint32) *source {
	for int(endpoint) >= len(x.sources) {
		x.sources = append(x.sources, source{})
		x.place = append(x.place, 0)
	}
	return &x.sources[endpoint]
}

func (x *Index) learn(now time.Time, endpoint uint32, name uint64, guessed bool) {
	s := x.source(endpoint)
	h := holder{endpoint: uint16(endpoint), guessed: guessed, doubt: s.doubt, seen: x.steps(now)}
	p := x.slot(name)
	p.used = true
	s.held++
	oldest := 0
	for i := range p.holders[:p.count] {
		if p.holders[i].endpoint == h.endpoint {
			x.drop(&p.holders[i])
			p.holders[i] = h
			return
		}
		if p.holders[i].seen < p.holders[oldest].seen {
			oldest = i
		}
	}
	if p.count < MaxCopies {
		p.holders[p.count] = h
		p.count++
		return
	}
	x.drop(&p.holders[oldest])
	p.holders[oldest] = h
}

func (x *Index) remove(endpoint uint32, name uint64) {
	slot, ok := x.slots[name]
	if !ok {
		return
	}
	p := &x.pieces[slot]
	for i := range p.holders[:p.count] {
		if uint32(p.holders[i].endpoint) == endpoint {
			x.drop(&p.holders[i])
			p.count--
			p.holders[i] = p.holders[p.count]
			return
		}
	}
}

// slot returns the piece's place and makes one, by the clock rule, if need be.
func (x *Index) slot(name uint64) *piece {
	if slot, ok := x.slots[name]; ok {
		return &x.pieces[slot]
	}
	if len(x.pieces) < x.cfg.MaxBlocks {
		x.slots[name] = int32(len(x.pieces))
		x.pieces = append(x.pieces, piece{name: name})
		return &x.pieces[len(x.pieces)-1]
	}
	for x.pieces[x.hand].used {
		x.pieces[x.hand].used = false
		x.hand = (x.hand + 1) % len(x.pieces)
	}
	p := &x.pieces[x.hand]
	delete(x.slots, p.name)
	for i := range p.holders[:p.count] {
		x.drop(&p.holders[i])
	}
	x.slots[name] = int32(x.hand)
	x.hand = (x.hand + 1) % len(x.pieces)
	*p = piece{name: name}
	return p
}
