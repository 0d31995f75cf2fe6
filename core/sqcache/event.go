package sqcache

// EventKind says what an engine did with a piece.
type EventKind uint8

// Kinds of cache event.
const (
	Stored EventKind = iota + 1
	Removed
	Cleared
)

// ParseEventKind returns the kind of the engine's word for it; false means
// that the word is unknown.
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

// Event is one cache event of an engine.
type Event struct {
	cfg EventConfig
}

// EventConfig holds the parts of an Event.
type EventConfig struct {
	// Number counts the engine's events without gaps at its source.
	Number uint64
	Kind   EventKind
	// Block is the name of the piece; unused for Cleared.
	Block uint64
}

// NewEvent returns the event that cfg describes.
func NewEvent(cfg EventConfig) Event { return Event{cfg: cfg} }

// Number returns the engine's number of the event.
func (e Event) Number() uint64 { return e.cfg.Number }

// Kind returns what happened.
func (e Event) Kind() EventKind { return e.cfg.Kind }

// Block returns the name of the piece.
func (e Event) Block() uint64 { return e.cfg.Block }
