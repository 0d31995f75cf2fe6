package sqcontrol

import (
	"time"

	"sequoiadock/core/sqburn"
	"sequoiadock/core/sqfleet"
	"sequoiadock/core/sqmember"
	"sequoiadock/io/sqrpc"
)

// tenure is what the holder knows in one term. It begins empty: nothing that
// an earlier holder heard is carried over but what is in the log.
type tenure struct {
	term  uint64
	since time.Time
	// planned is set once roles were planned with no order of an earlier holder
	// open. Only the loop that plans uses it.
	planned bool
	entries *sqmember.Registry
	fleet   *sqfleet.Table
	burn    *sqburn.Tracker
	demand  *demandTable
	// readings are what entries read of the endpoints.
	readings *readingTable
	// listed is true once the platform's list was read in this term.
	listed bool
	// listedAt is when the platform's list was last read in this term.
	listedAt time.Time
	// shares are the teams' shares by entry, from the last split.
	shares map[string][]*sqrpc.TeamShare
	// list is what entries hear of each other.
	list entryList
	// changedAt is when an engine's role last changed in this term.
	changedAt map[string]time.Time
	// lastTrim is when calls were last trimmed in this term.
	lastTrim time.Time
	// heard tells whether entries get the holder's answers.
	heard acknowledgements
	// forgetting are the entries whose place in the log is being given up.
	forgetting map[string]bool
	// numbers are those given out in this term, by earlier tenures too.
	numbers *termNumbers
}

// termNumbers are the numbers that a holder gave out in one term. A process
// that loses the lease and gets it back without an election, after a pause for
// example, begins a new tenure in the same term. If its numbers began again, a
// receiver would refuse its sends as old ones, or take an old one for new, its
// orders would bear the identities of earlier ones, and entries would take an
// older list of endpoints for the newest.
type termNumbers struct {
	term uint64
	// sends numbers what was sent to engines and the platform.
	sends uint64
	// orders numbers the orders.
	orders uint64
	// answers numbers the answers to entries.
	answers uint64
	// fleet is the revision that the next tenure's list of endpoints begins with.
	fleet uint64
	// readings is the number that the next tenure's readings go on from.
	readings uint64
}

const (
	// revisionsPerTerm leaves room for the fleet revisions of one term, so that
	// those of a later holder are always larger.
	revisionsPerTerm = 1 << 32
	// lateRevisions leaves room for the revisions that duties of an ended tenure
	// still give out.
	lateRevisions = 1 << 16
)

func newTermNumbers(term uint64) *termNumbers {
	first := term * revisionsPerTerm
	return &termNumbers{term: term, answers: first, fleet: first, readings: first}
}

// newTenure returns a tenure that begins at now. What earlier holders told the
// entries mayHoldLease, they told before earlier.
func newTenure(cfg Config, numbers *termNumbers, now, earlier time.Time, mayHoldLease []string) *tenure {
	t := &tenure{
		term:    numbers.term,
		numbers: numbers,
		since:   now,
		entries: sqmember.New(sqmember.Config{LeaseDuration: cfg.Timings.Fresh, RetainExpired: forgetEntry}),
		fleet:   sqfleet.New(sqfleet.Config{Retention: keepUnlisted}, numbers.fleet),
		burn:    sqburn.New(sqburn.Config{}),
		demand:  newDemandTable(cfg.Timings.Fresh),

		heard:      newAcknowledgements(numbers),
		readings:   newReadingTable(numbers.readings),
		forgetting: make(map[string]bool),
		changedAt:  make(map[string]time.Time),
		lastTrim:   now,
	}
	t.entries.Reset(earlier, mayHoldLease)
	return t
}

// isNew returns whether duties are not to wait for their period, because orders
// of the last holder may be open.
func (t *tenure) isNew(now time.Time) bool { return now.Sub(t.since) < newTenureTime }

// unplanned returns whether planning is not to wait for its period.
func (t *tenure) unplanned(now time.Time) bool {
	return !t.planned && now.Sub(t.since) < newTenureTime
}
