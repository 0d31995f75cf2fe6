package sqservice

import (
	"encoding/json"
	"net/http"
	"sync"

	"sequoiadock/standin/sqrecord"
)

// booking is one entry of the ledger.
type booking struct {
	Number   int             `json:"booking"`
	Identity string          `json:"identity"`
	Path     string          `json:"path"`
	Content  json.RawMessage `json:"content,omitempty"`
}

// Ledger holds the calls that the endpoints of one service executed. It is safe
// for concurrent use.
type Ledger struct {
	record *sqrecord.Record
	// deduplicates makes a repeated identity return the first response.
	deduplicates bool

	mu         sync.Mutex
	bookings   []booking
	byIdentity map[string]booking
}

// LedgerConfig configures a Ledger.
type LedgerConfig struct {
	Record            *sqrecord.Record
	DeduplicatesCalls bool
}

// NewLedger returns a ledger that is restored from the record.
func NewLedger(cfg LedgerConfig) *Ledger {
	l := &Ledger{record: cfg.Record, deduplicates: cfg.DeduplicatesCalls, byIdentity: map[string]booking{}}
	for _, e := range cfg.Record.After(0) {
		if e.Kind == sqrecord.CallExecuted {
			l.add(booking{Identity: e.IdempotencyKey, Path: e.Argument, Content: e.Body})
		}
	}
	return l
}

func (l *Ledger) add(b booking) booking {
	b.Number = len(l.bookings) + 1
	l.bookings = append(l.bookings, b)
	if b.Identity != "" {
		l.byIdentity[b.Identity] = b
	}
	return b
}

// run executes a call and returns the response's status and body.
func (l *Ledger) run(source string, r *http.Request, content json.RawMessage) (int, booking) {
	l.mu.Lock()
	defer l.mu.Unlock()
	identity := r.Header.Get("Idempotency-Key")
	if first, ok := l.byIdentity[identity]; ok && l.deduplicates {
		return http.StatusOK, first
	}
	b := l.add(booking{Identity: identity, Path: r.Method + " " + r.URL.Path, Content: content})
	l.record.Append(sqrecord.Entry{
		Source: source, Kind: sqrecord.CallExecuted, IdempotencyKey: identity,
		RequestID: r.Header.Get("Sequoiadock-Request-Id"), Argument: b.Path, Body: content,
	})
	return http.StatusCreated, b
}

func (l *Ledger) list() []booking {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]booking{}, l.bookings...)
}
