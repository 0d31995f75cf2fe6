package sqdecision

// DefaultCapacity is the default number of records in a Ring.
const DefaultCapacity = 4096

// RingConfig configures a Ring.
type RingConfig struct {
	// Capacity is the number of records kept; 0 takes DefaultCapacity.
	Capacity int
}

// Ring is a ring buffer of the latest records. It is not safe for concurrent use.
type Ring struct {
	records   []Record
	indexByID map[string]int
	oldest    int
	capacity  int
}

// NewRing returns an empty ring.
func NewRing(cfg RingConfig) *Ring {
	if cfg.Capacity <= 0 {
		cfg.Capacity = DefaultCapacity
	}
	return &Ring{indexByID: make(map[string]int), capacity: cfg.Capacity}
}

// Add adds a record and removes the oldest one if the ring is full. A record with
// the ID of a record in the ring replaces it, so that the outcome can be added to
// a decision later.
func (r *Ring) Add(rec Record) {
	if i, ok := r.indexByID[rec.ID()]; ok {
		r.records[i] = rec
		return
	}
	if len(r.records) < r.capacity {
		r.indexByID[rec.ID()] = len(r.records)
		r.records = append(r.records, rec)
		return
	}
	delete(r.indexByID, r.records[r.oldest].ID())
	r.indexByID[rec.ID()] = r.oldest
	r.records[r.oldest] = rec
	r.oldest = (r.oldest + 1) % r.capacity
}

// Find returns the record with an ID, and false if it is not in the ring.
func (r *Ring) Find(id string) (Record, bool) {
	i, ok := r.indexByID[id]
	if !ok {
		return Record{}, false
	}
	return r.records[i], true
}

// Len returns the number of records in the ring.
func (r *Ring) Len() int { return len(r.records) }
