// Package sqrecord keeps what a stand-in received, in order. Tests judge the
// product by these records alone.
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
	// RequestStarted is a request that an engine took on.
	RequestStarted = "requestStarted"
	// RequestRefused is a request that an engine proved not to have started.
	RequestRefused = "requestRefused"
	// RequestResumed is a stream that goes on at a position.
	RequestResumed = "requestResumed"
	// RequestEnded is the end of a stream, with its cause in Detail.
	RequestEnded = "requestEnded"
	// RequestAborted is a running request that the back end itself cut off.
	RequestAborted = "requestCut"
	// RequestCanceled is a request that the client canceled.
	RequestCanceled = "requestCanceled"
	// CallExecuted is a call that a plain service carried out.
	CallExecuted = "callRan"
	// CallRead is a call without effect on a plain service.
	CallRead = "callRead"
	// OrderReceived is an order, with the answer in Detail.
	OrderReceived = "orderReceived"
	// OrderEnded is the end of an order that takes time.
	OrderEnded = "orderEnded"
	// UsageReported is a usage report, with its lines in Body.
	UsageReported = "usageReported"
	// VMStarted, VMLeaving and VMGone are changes of the fleet.
	VMStarted = "vmStarted"
	VMLeaving = "vmLeaving"
	VMRemoved = "vmGone"
	// CredentialSeen is a caller's key that reached a back end.
	CredentialSeen = "keySeen"
	// FaultSet is a fault that a test asked for.
	FaultSet = "faultSet"
)

// Entry is one thing that a stand-in received or did.
type Entry struct {
	// Number counts from 1 in each record.
	Number     uint64 `json:"number"`
	AtUnixNano int64  `json:"atUnixNano"`
	// Source is the endpoint's identity.
	Source    string `json:"source"`
	Kind      string `json:"kind"`
	RequestID string `json:"requestId,omitempty"`
	// IdempotencyKey is the Idempotency-Key of a call.
	IdempotencyKey string `json:"identity,omitempty"`
	// ClientAddress is the address that the request came from.
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

// Record is an append-only list of entries. It is safe for concurrent use.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	entries []Entry
}

// New opens the record; entries of an earlier run in the file are kept.
func New(cfg Config) (*Record, error) {
	r := &Record{}
	if cfg.Path == "" {
		return r, nil
	}
	old, err := Read(cfg.Path)
	if err != nil && !os.IsNotExist(unwrap(err)) {
		return nil, err
	}
	r.entries = old
	f, err := os.OpenFile(cfg.Path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, sqfailure.New(sqfailure.Config{Action: "open record", Cause: err})
	}
	r.file = f
	return r, nil
}

// Append numbers and dates e and writes it with one system call, so that an
// entry survives when the process is killed.
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
		// A record with holes would let a test pass wrongly.
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

// Read returns the entries of a record file. An unfinished last line is left
// out.
func Read(path string) ([]Entry, error) {
	r := Reader{path: path}
	return r.Entries()
}

// Reader follows a record file that grows. It is safe for concurrent use.
type Reader struct {
	path string

	mu      sync.Mutex
	offset  int64
	entries []Entry
}

// NewReader returns a reader that starts at the file's first entry.
func NewReader(path string) *Reader { return &Reader{path: path} }

// Entries returns all entries so far. The caller must not change them.
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
	br := bufio.NewReader(f)
	for {
		line, err := br.ReadBytes('\n')
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
