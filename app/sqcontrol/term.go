package sqcontrol

import (
	"time"

	"sequoiadock/core/sqburn"
	"sequoiadock/core/sqfleet"
	"sequoiadock/core/sqmember"
	"sequoiadock/io/sqrpc"
)

// termState is the in-memory state of the lease holder in one term. It starts
// empty: nothing that an earlier holder learned is kept except what is in the
// replicated log. A process that loses the lease and regains it in the same term
// starts a new termState and keeps the termCounters.
type termState struct {
	term      uint64
	startedAt time.Time
	// rolesPlanned is set once roles were planned while no order of an earlier
	// holder was open. Only the planning loop uses it.
	rolesPlanned bool
	entries      *sqmember.Registry
	fleet        *sqfleet.Table
	burn         *sqburn.Tracker
	demand       *demandTable
	// readings are the endpoint loads that entries measured.
	readings *readingTable
	// listRead is true once the platform's list was read in this term.
	listRead bool
	// listReadAt is when the platform's list was last read in this term.
	listReadAt time.Time
	// shares are the teams' shares by entry, as last split.
	shares map[string][]*sqrpc.TeamShare
	// entryList is the list of entries that every entry receives.
	entryList entryList
	// roleChangedAt is when an engine's role last changed in this term, by engine
	// id.
	roleChangedAt map[string]time.Time
	// callsTrimmedAt is when old calls were last removed in this term.
	callsTrimmedAt time.Time
	// acks tracks whether entries receive the holder's answers.
	acks acknowledgements
	// removing are the entries that are being removed from the replicated state.
	removing map[string]bool
	// counters are shared with earlier states of the same term.
	counters *termCounters
}

// termCounters are the numbers that a holder assigned in one term. A process that
// loses the lease and regains it without an election, for example after a pause,
// starts a new termState in the same term. If its numbers started again, a receiver
// would reject its requests as old or take an old request for a new one, its orders
// would have the ids of earlier ones, and entries would take an older endpoint list
// for the newest.
type termCounters struct {
	term uint64
	// sends is the sequence number of the last request to an engine or the
	// platform.
	sends uint64
	// orders is the number of the last order.
	orders uint64
	// answers is the number of the last answer to an entry.
	answers uint64
	// fleetRevision is the first revision of the next termState's endpoint list.
	fleetRevision uint64
	// readingChanges is the number after which the next termState numbers its
	// changes of readings.
	readingChanges uint64
}

const (
	// revisionsPerTerm reserves fleet revisions for one term, so that those of a
	// later holder are always larger.
	revisionsPerTerm = 1 << 32
	// lateRevisionMargin reserves the revisions that jobs of an ended termState may
	// still assign.
	lateRevisionMargin = 1 << 16
)

func newTermCounters(term uint64) *termCounters {
	first := term * revisionsPerTerm
	return &termCounters{term: term, answers: first, fleetRevision: first, readingChanges: first}
}

// newTermState returns a state that starts at now. The entries in mayHoldLease may
// have received answers of earlier holders until earlierEnd.
func newTermState(cfg Config, counters *termCounters, now, earlierEnd time.Time, mayHoldLease []string) *termState {
	t := &termState{
		term:      counters.term,
		counters:  counters,
		startedAt: now,
		entries:   sqmember.New(sqmember.Config{FreshnessLease: cfg.Timings.FreshnessLease, Retention: expiredRetention}),
		fleet:     sqfleet.New(sqfleet.Config{Retention: unlistedRetention}, counters.fleetRevision),
		burn:      sqburn.New(sqburn.Config{}),
		demand:    newDemandTable(cfg.Timings.FreshnessLease),

		acks:           newAcknowledgements(counters),
		readings:       newReadingTable(counters.readingChanges),
		removing:       make(map[string]bool),
		roleChangedAt:  make(map[string]time.Time),
		callsTrimmedAt: now,
	}
	t.entries.Reset(earlierEnd, mayHoldLease)
	return t
}

// isNew returns whether jobs run without waiting for their period, because orders
// of the previous holder may be open.
func (t *termState) isNew(now time.Time) bool { return now.Sub(t.startedAt) < recentTermPeriod }

// needsPlan returns whether planning runs without waiting for its period.
func (t *termState) needsPlan(now time.Time) bool {
	return !t.rolesPlanned && now.Sub(t.startedAt) < recentTermPeriod
}
