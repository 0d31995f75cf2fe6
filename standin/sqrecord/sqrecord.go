// Package sqrecord records what a stand-in received and did, in order. Tests
// check the product against these records alone.
package sqrecord

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"sync"
	"time"

	"sequoiadock/standin/sqfailure"
)

// Kinds of entries.
const (
	// RequestStarted is a request that an engine accepted.
	RequestStarted = "requestStarted"
	// RequestRefused is a request that an engine rejected without starting it.
	RequestRefused = "requestRefused"
	// RequestResumed is a stream that a client resumed at a position.
	RequestResumed = "requestResumed"
	// RequestEnded is the end of a stream, with its cause in Detail.
	RequestEnded = "requestEnded"
	// RequestAborted is a running request that the endpoint itself aborted.
	RequestAborted = "requestCut"
	// RequestCanceled is a request that the client canceled.
	RequestCanceled = "requestCanceled"
	// CallExecuted is a call that a plain service executed.
	CallExecuted = "callRan"
	// CallRead is a read-only call that a plain service answered.
	CallRead = "callRead"
	// OrderReceived is an order, with the response in Detail.
	OrderReceived = "orderReceived"
	// OrderEnded is the end of an order that ran asynchronously.
	OrderEnded = "orderEnded"
	// UsageReported is a usage report, with its lines in Body.
	UsageReported = "usageReported"
	// VMStarted, VMLeaving and VMRemoved are changes of the fleet.
	VMStarted = "vmStarted"
	VMLeaving = "vmLeaving"
	VMRemoved = "vmGone"
	// CredentialSeen is a client's credential that reached an endpoint.
	CredentialSeen = "keySeen"
	// FaultSet is a fault that a test requested.
	FaultSet = "faultSet"
)

// Entry is one event that a stand-in received or caused.
type Entry struct {
	// Number is the position in the record, from 1.
	Number     uint64 `json:"number"`
	AtUnixNano int64  `json:"atUnixNano"`
	// Source is the name of the endpoint, or "platform".
	Source    string `json:"source"`
	Kind      string `json:"kind"`
	RequestID string `json:"requestId,omitempty"`
	// IdempotencyKey is the Idempotency-Key of a call.
	IdempotencyKey string `json:"identity,omitempty"`
	// ClientAddress is the address that the client sent the request from.
	ClientAddress   string          `json:"caller,omitempty"`
	OrderID         string          `json:"orderId,omitempty"`
	OrderKind       string          `json:"orderKind,omitempty"`
	Argument        string          `json:"argument,omitempty"`
	FencingTerm     uint64          `json:"fencingTerm,omitempty"`
	FencingSequence uint64          `json:"fencingSequence,omitempty"`
	Position        int             `json:"position,omitempty"`
	PromptTokens    int             `json:"promptTokens,omitempty"`
	CachedTokens    int             `json:"cachedTokens,omitempty"`
	OutputTokens    int             `json:"outputTokens,omitempty"`
	Detail          string          `json:"detail,omitempty"`
	Body            json.RawMessage `json:"body,omitempty"`
}

// Config configures a Record.
type Config struct {
	// Path is the file to append to; empty keeps the entries in memory only.
	Path string
}

// Record is an append-only log of entries. It is safe for concurrent use.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	entries []Entry
}

// New opens the record and reads the entries of earlier runs from its file.
func New(cfg Config) (*Record, error) {
	r := &Record{}
	if cfg.Path == "" {
		return r, nil
	}
	entries, err := Read(cfg.Path)
	if err != nil && !os.IsNotExist(unwrap(err)) {
		return nil, err
	}
	r.entries = entries
	f, err := os.OpenFile(cfg.Path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, sqfailure.New(sqfailure.Config{Action: "open record", Cause: err})
	}
	r.file = f
	return r, nil
}

// Append sets the number and time of e and writes it with one system call, so
// that the entry survives when the process is killed.
func (r *Record) Append(e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Number = uint64(len(r.entries)) + 1
	e.AtUnixNano = time.Now().UnixNano()
	r.entries = append(r.entries, e)
	if r.file == nil {
		return
	}
	b, err := json.Marshal(e)
	if err == nil {
		_, err = r.file.Write(append(b, '\n'))
	}
	if err != nil {
		// A missing entry could let a test pass that should fail.
		panic(err)
	}
}

// After returns the entries with a number above n.
func (r *Record) After(n uint64) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n >= uint64(len(r.entries)) {
		return []Entry{}
	}
	return append([]Entry{}, r.entries[n:]...)
}

// Close closes the file.
func (r *Record) Close() error {
	if r.file == nil {
		return nil
	}
	return r.file.Close()
}

// Read returns the entries of a record file. It ignores an incomplete last
// line.
func Read(path string) ([]Entry, error) {
	r := Reader{path: path}
	return r.Entries()
}

// Reader reads a record file while it grows. It is safe for concurrent use.
type Reader struct {
	path string

	mu      sync.Mutex
	offset  int64
	entries []Entry
}

// NewReader returns a reader that starts at the file's first entry.
func NewReader(path string) *Reader { return &Reader{path: path} }

// Entries returns all entries written so far. The caller must not change them.
func (r *Reader) Entries() ([]Entry, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, err := os.Open(r.path)
	if err != nil {
		return nil, sqfailure.New(sqfailure.Config{Action: "open record", Cause: err})
	}
	defer f.Close()
	if _, err := f.Seek(r.offset, io.SeekStart); err != nil {
		return nil, sqfailure.New(sqfailure.Config{Action: "read record", Cause: err})
	}
	buf := bufio.NewReader(f)
	for {
		line, err := buf.ReadBytes('\n')
		if err == io.EOF {
			return r.entries[:len(r.entries):len(r.entries)], nil
		}
		if err != nil {
			return nil, sqfailure.New(sqfailure.Config{Action: "read record", Cause: err})
		}
		var e Entry
		if err := json.Unmarshal(line, &e); err != nil {
			return nil, sqfailure.New(sqfailure.Config{Action: "parse record", Detail: string(line), Cause: err})
		}
		r.offset += int64(len(line))
		r.entries = append(r.entries, e)
	}
}

func unwrap(err error) error {
	if f, ok := err.(interface{ Unwrap() error }); ok {
		return f.Unwrap()
	}
	return err
}
