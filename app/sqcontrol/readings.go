package sqcontrol

import (
	"time"

	"sequoiadock/core/sqfleet"
	"sequoiadock/io/sqrpc"
)

const (
	// unchangedInterval is the time after which a reading with an unchanged load is
	// forwarded all the same, so that entries know that it is recent.
	unchangedInterval = 800 * time.Millisecond
	// minSilence is how long no reading of an endpoint must have arrived before a
	// single entry's report that the endpoint does not answer counts.
	minSilence = 700 * time.Millisecond
	// maxReadingAge is the age from which a reading is no longer forwarded.
	maxReadingAge = 3 * time.Second
)

// readingTable keeps the endpoint loads that entries read, so that each entry
// receives those that the others read.
type readingTable struct {
	// changes counts the changes of readings. It starts above the counts of earlier
	// holders.
	changes  uint64
	readings map[string]*endpointReading
	// fleetRevision is the revision of endpointIDs, the endpoint list in the order
	// in which entries have it. Messages name an endpoint by its place, the index
	// in this list.
	fleetRevision uint64
	endpointIDs   []string
}

// endpointReading is the last reading of one endpoint.
type endpointReading struct {
	load sqfleet.LoadReport
	// measuredAt is when the endpoint measured the load, receivedAt when the holder
	// received a reading, and silentAt when an entry reported that the endpoint
	// does not answer.
	measuredAt, receivedAt, silentAt time.Time
	change                           uint64
	// reportedBy is the entry that reported the last change.
	reportedBy string
}

func newReadingTable(changes uint64) *readingTable {
	return &readingTable{changes: changes, readings: make(map[string]*endpointReading)}
}

// syncFleet updates the endpoint list to the current fleet revision and removes the
// readings of unlisted endpoints.
func (r *readingTable) syncFleet(fleet *sqfleet.Table) {
	if r.endpointIDs != nil && r.fleetRevision == fleet.Revision() {
		return
	}
	r.fleetRevision = fleet.Revision()
	r.endpointIDs = make([]string, 0, len(r.endpointIDs))
	listed := make(map[string]bool, len(r.endpointIDs))
	for _, e := range fleet.All() {
		r.endpointIDs = append(r.endpointIDs, e.ID())
		listed[e.ID()] = true
	}
	for id := range r.readings {
		if !listed[id] {
			delete(r.readings, id)
		}
	}
}

// recordReport records what an entry read. A report of another fleet revision is
// ignored, because its places would name other endpoints.
func (r *readingTable) recordReport(now time.Time, fleet *sqfleet.Table, req *sqrpc.WatchRequest) {
	in := req.GetReadings()
	if in == nil || req.GetKnownFleetRevision() != fleet.Revision() {
		return
	}
	r.syncFleet(fleet)
	rows, _ := in.Rows()
	for _, row := range rows {
		if row.Index >= len(r.endpointIDs) {
			break
		}
		r.recordLoad(now, req.GetEntry(), r.endpointIDs[row.Index], now.Add(-row.Age), sqfleet.LoadReport{
			Running: row.Running, Queued: row.Queued,
			PrefillTokens: uint64(row.PrefillTokens), DecodeTokens: uint64(row.DecodeTokens),
		})
	}
	for _, place := range in.GetSilent() {
		if int(place) < len(r.endpointIDs) {
			r.recordSilence(now, req.GetEntry(), r.endpointIDs[place])
		}
	}
}

// reading returns the reading of an endpoint and adds an empty one if there is
// none.
func (r *readingTable) reading(id string) *endpointReading {
	reading := r.readings[id]
	if reading == nil {
		reading = &endpointReading{}
		r.readings[id] = reading
	}
	return reading
}

func (r *readingTable) recordLoad(now time.Time, reporter, id string, measuredAt time.Time, load sqfleet.LoadReport) {
	reading := r.reading(id)
	if !measuredAt.After(reading.measuredAt) {
		return
	}
	wasSilent := reading.silentAt.After(reading.receivedAt)
	unchanged := reading.load == load && measuredAt.Sub(reading.measuredAt) < unchangedInterval
	reading.receivedAt = now
	if unchanged && !wasSilent {
		return
	}
	r.changes++
	reading.load, reading.measuredAt, reading.reportedBy, reading.change = load, measuredAt, reporter, r.changes
}

// recordSilence records an entry's report that an endpoint does not answer, unless
// a reading of the endpoint arrived within minSilence.
func (r *readingTable) recordSilence(now time.Time, reporter, id string) {
	reading := r.reading(id)
	if now.Sub(reading.receivedAt) < minSilence {
		return
	}
	r.changes++
	reading.silentAt, reading.reportedBy, reading.change = now, reporter, r.changes
}

// fillReadings adds to a response the readings of other entries that the requesting
// entry does not know. The places are those of the fleet revision in the response.
func (r *readingTable) fillReadings(now time.Time, fleet *sqfleet.Table, req *sqrpc.WatchRequest, res *sqrpc.WatchResponse) {
	r.syncFleet(fleet)
	out := sqrpc.NewReadingsBuilder()
	for place, id := range r.endpointIDs {
		reading := r.readings[id]
		if reading == nil || reading.change <= req.GetKnownReadings() || reading.reportedBy == req.GetEntry() {
			continue
		}
		if reading.silentAt.After(reading.receivedAt) {
			if now.Sub(reading.silentAt) < maxReadingAge {
				out.AddUnreachable(place)
			}
			continue
		}
		if now.Sub(reading.receivedAt) > maxReadingAge {
			continue
		}
		out.Add(sqrpc.Reading{
			Index: place, Age: now.Sub(reading.measuredAt), Running: reading.load.Running, Queued: reading.load.Queued,
			PrefillTokens: uint32(reading.load.PrefillTokens), DecodeTokens: uint32(reading.load.DecodeTokens),
		})
	}
	res.ReadingsUntil = r.changes
	if message := out.Readings(); len(message.GetPlaces())+len(message.GetSilent()) > 0 {
		res.Readings = message
	}
}

// recentReadingAge is how recent a reading must be for an entry not to need the sum
// of the other entries' work: an entry uses readings up to an age of two seconds,
// and its next watch comes within one.
const recentReadingAge = 900 * time.Millisecond

// fillWork adds to a response the other entries' work at the endpoints without a
// recent reading.
func (r *readingTable) fillWork(now time.Time, fleet *sqfleet.Table, others map[string]workSum, res *sqrpc.WatchResponse) {
	r.syncFleet(fleet)
	out := sqrpc.NewReadingsBuilder()
	for place, id := range r.endpointIDs {
		w, ok := others[id]
		if reading := r.readings[id]; !ok || reading != nil && now.Sub(reading.measuredAt) < recentReadingAge {
			continue
		}
		out.AddInFlight(sqrpc.Reading{
			Index: place, Running: w.running, PrefillTokens: uint32(w.prefill), DecodeTokens: uint32(w.decode),
		})
	}
	if message := out.Readings(); len(message.GetPlaces()) > 0 {
		res.OtherWork = message
	}
}

// recentLoad returns an endpoint's load if it was measured within recentReadingAge.
func (r *readingTable) recentLoad(now time.Time, id string) (sqfleet.LoadReport, bool) {
	reading := r.readings[id]
	if reading == nil || now.Sub(reading.measuredAt) >= recentReadingAge {
		return sqfleet.LoadReport{}, false
	}
	return reading.load, true
}

// resolveLoads returns the work that an entry reports by place, with the ids of the
// endpoints. It returns false if the places are those of another fleet revision
// than the holder's own.
func (r *readingTable) resolveLoads(fleet *sqfleet.Table, req *sqrpc.WatchRequest) ([]*sqrpc.EndpointLoad, bool) {
	if req.GetKnownFleetRevision() != fleet.Revision() {
		return nil, false
	}
	r.syncFleet(fleet)
	rows, ok := req.GetWork().InFlightRows()
	if !ok {
		return nil, false
	}
	out := make([]*sqrpc.EndpointLoad, 0, len(rows))
	for _, row := range rows {
		if row.Index >= len(r.endpointIDs) {
			return nil, false
		}
		out = append(out, &sqrpc.EndpointLoad{
			Endpoint: r.endpointIDs[row.Index], Running: row.Running,
			PrefillTokens: uint64(row.PrefillTokens), DecodeTokens: uint64(row.DecodeTokens),
		})
	}
	return out, true
}
