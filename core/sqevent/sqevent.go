// Package sqevent is the catalogue of all events that processes log. A test
// checks that docs/EVENTS.md, the catalogue for operators, lists the same events.
package sqevent

// Level is the urgency of an event.
type Level int

// Levels in rising order of urgency.
const (
	Debug Level = iota
	Info
	Warn
	Error
)

// String returns the lower-case name of the level.
func (l Level) String() string {
	return [...]string{"debug", "info", "warn", "error"}[l]
}

// Event is one entry of the catalogue.
type Event struct {
	// Number is stable over releases.
	Number int
	Level  Level
	// Text is the constant message; variable values are in fields.
	Text string
	// Fields are the names of the event's values, in the order of their arguments.
	Fields []string
}
