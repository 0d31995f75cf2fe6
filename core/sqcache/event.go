package sqcache

// EventKind is what an engine did with a block.
type EventKind uint8

// Kinds of cache event.
const (
	Stored EventKind = iota + 1
	Removed
	Cleared
)

// ParseEventKind parses the engines' name of an event kind. It returns false
// for an unknown name.
func ParseEventKind(s string) (EventKind, bool) {
	switch s {
	case "stored":
		return Stored, true
	case "removed":
		return Removed, true
	case "cleared":
		return Cleared, true
	default:
		return 0, false
	}
}

// Event is one event of an engine's prefix cache.
type Event struct {
	cfg EventConfig
}

// EventConfig holds the parts of an Event.
type EventConfig struct {
	// Number is the sequence number of the event. Engines number their events
	// without gaps.
	Number uint64
	Kind   EventKind
	// Block is the hash of the block; it is unused for Cleared.
	Block uint64
}

// NewEvent returns the event that cfg describes.
func NewEvent(cfg EventConfig) Event { return Event{cfg: cfg} }

// Number returns the sequence number of the event.
func (e Event) Number() uint64 { return e.cfg.Number }

// Kind returns the kind of the event.
func (e Event) Kind() EventKind { return e.cfg.Kind }

// Block returns the hash of the block.
func (e Event) Block() uint64 { return e.cfg.Block }
