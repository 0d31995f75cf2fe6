package sqrpc

import "time"

// readingAgeUnit is the unit of the ages in Readings.
const readingAgeUnit = 10 * time.Millisecond

// Reading is one row of Readings.
type Reading struct {
	// Index is that of the endpoint in the list of the fleet revision.
	Index int
	// Age is the time since the endpoint measured, in whole units of 10 ms.
	Age             time.Duration
	Running, Queued uint32
	// PrefillTokens and DecodeTokens are in tokens.
	PrefillTokens, DecodeTokens uint32
}

// ReadingsBuilder makes Readings of rows in the order of their places.
type ReadingsBuilder struct {
	out  *Readings
	last int
}

// NewReadingsBuilder returns a writer without rows.
func NewReadingsBuilder() *ReadingsBuilder { return &ReadingsBuilder{out: &Readings{}} }

// Add adds a row with every figure.
func (w *ReadingsBuilder) Add(r Reading) {
	w.AddInFlight(r)
	w.out.Ages = append(w.out.Ages, uint32(r.Age/readingAgeUnit))
	w.out.Queued = append(w.out.Queued, r.Queued)
}

// AddInFlight adds a row of work in flight, which has neither age nor queue.
func (w *ReadingsBuilder) AddInFlight(r Reading) {
	w.out.Places = append(w.out.Places, uint32(r.Index-w.last))
	w.last = r.Index
	w.out.Running = append(w.out.Running, r.Running)
	w.out.PrefillTokens = append(w.out.PrefillTokens, r.PrefillTokens)
	w.out.DecodeTokens = append(w.out.DecodeTokens, r.DecodeTokens)
}

// AddUnreachable adds the place of an endpoint that does not answer.
func (w *ReadingsBuilder) AddUnreachable(place int) {
	w.out.Silent = append(w.out.Silent, uint32(place))
}

// Readings returns what was added.
func (w *ReadingsBuilder) Readings() *Readings { return w.out }

// Rows returns the rows with every figure; none, and false, when a column does
// not have a figure for each row.
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

// InFlightRows returns the rows of work in flight; none, and false, when a column
// does not have a figure for each row.
func (x *Readings) InFlightRows() ([]Reading, bool) {
	n := len(x.GetPlaces())
	if len(x.GetRunning()) != n || len(x.GetPrefillTokens()) != n || len(x.GetDecodeTokens()) != n {
		return nil, false
	}
	rows := make([]Reading, n)
	place := 0
	for i, step := range x.GetPlaces() {
		place += int(step)
		rows[i] = Reading{
			Index: place, Running: x.GetRunning()[i],
			PrefillTokens: x.GetPrefillTokens()[i], DecodeTokens: x.GetDecodeTokens()[i],
		}
	}
	return rows, true
}
