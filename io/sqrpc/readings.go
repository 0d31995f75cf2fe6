package sqrpc

import "time"

// readingAgeUnit is the unit of Ages in Readings.
const readingAgeUnit = 10 * time.Millisecond

// Reading is one endpoint's row of Readings.
type Reading struct {
	// Index is the index of the endpoint in the endpoint list of the fleet revision.
	Index int
	// Age is the time since the endpoint measured its load, rounded down to 10 ms.
	Age             time.Duration
	Running, Queued uint32
	// PrefillTokens and DecodeTokens are the tokens of work in flight.
	PrefillTokens, DecodeTokens uint32
}

// ReadingsBuilder builds Readings from rows, which must be added in ascending order
// of Index.
type ReadingsBuilder struct {
	msg       *Readings
	lastIndex int
}

// NewReadingsBuilder returns a builder without rows.
func NewReadingsBuilder() *ReadingsBuilder { return &ReadingsBuilder{msg: &Readings{}} }

// Add adds a row with all columns.
func (b *ReadingsBuilder) Add(r Reading) {
	b.AddInFlight(r)
	b.msg.Ages = append(b.msg.Ages, uint32(r.Age/readingAgeUnit))
	b.msg.Queued = append(b.msg.Queued, r.Queued)
}

// AddInFlight adds a row of work in flight, which has neither Age nor Queued.
func (b *ReadingsBuilder) AddInFlight(r Reading) {
	b.msg.Places = append(b.msg.Places, uint32(r.Index-b.lastIndex))
	b.lastIndex = r.Index
	b.msg.Running = append(b.msg.Running, r.Running)
	b.msg.PrefillTokens = append(b.msg.PrefillTokens, r.PrefillTokens)
	b.msg.DecodeTokens = append(b.msg.DecodeTokens, r.DecodeTokens)
}

// AddUnreachable adds the index of an endpoint that does not respond.
func (b *ReadingsBuilder) AddUnreachable(index int) {
	b.msg.Silent = append(b.msg.Silent, uint32(index))
}

// Readings returns the message with all added rows.
func (b *ReadingsBuilder) Readings() *Readings { return b.msg }

// Rows returns the rows with all columns. It returns false and no rows if a column
// does not have a value for each row.
func (x *Readings) Rows() ([]Reading, bool) {
	rows, ok := x.InFlightRows()
	if !ok || len(x.GetAges()) != len(rows) || len(x.GetQueued()) != len(rows) {
		return nil, false
	}
	for i := range rows {
		rows[i].Age = time.Duration(x.GetAges()[i]) * readingAgeUnit
		rows[i].Queued = x.GetQueued()[i]
	}
	return rows, true
}

// InFlightRows returns the rows of work in flight, without Age and Queued. It returns
// false and no rows if one of the other columns does not have a value for each row.
func (x *Readings) InFlightRows() ([]Reading, bool) {
	n := len(x.GetPlaces())
	if len(x.GetRunning()) != n || len(x.GetPrefillTokens()) != n || len(x.GetDecodeTokens()) != n {
		return nil, false
	}
	rows := make([]Reading, n)
	index := 0
	for i, delta := range x.GetPlaces() {
		index += int(delta)
		rows[i] = Reading{
			Index: index, Running: x.GetRunning()[i],
			PrefillTokens: x.GetPrefillTokens()[i], DecodeTokens: x.GetDecodeTokens()[i],
		}
	}
	return rows, true
}
