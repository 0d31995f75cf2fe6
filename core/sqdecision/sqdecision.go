// Package sqdecision keeps why decisions went as they did, in plain sentences
// with the figures that decided, so that operators can ask about any of them.
package sqdecision

import "time"

// Kind is what was decided.
type Kind string

// Kinds of decision.
const (
	Request       Kind = "request"
	Refusal       Kind = "refusal"
	Retry         Kind = "retry"
	RoleChange    Kind = "roleChange"
	ModelLoad     Kind = "modelLoad"
	EndpointOrder Kind = "endpointOrder"
	Shares        Kind = "shares"
	UsageReport   Kind = "usageReport"
	Drain         Kind = "drain"
	Authority     Kind = "authority"
	Configuration Kind = "configuration"
)

// Alternative is what could have been chosen instead.
type Alternative struct {
	cfg AlternativeConfig
}

// AlternativeConfig holds the parts of an Alternative.
type AlternativeConfig struct {
	Name string
	// RejectReason is a sentence with the figure that decided against it.
	RejectReason string
}

// NewAlternative returns the alternative that cfg describes.
func NewAlternative(cfg AlternativeConfig) Alternative { return Alternative{cfg: cfg} }

// Name returns what the alternative is.
func (a Alternative) Name() string { return a.cfg.Name }

// RejectReason returns why it was not chosen.
func (a Alternative) RejectReason() string { return a.cfg.RejectReason }

// Config holds the parts of a Record.
type Config struct {
	ID   string
	At   time.Time
	Kind Kind
	// Sentences say in plain English what was decided and by which figures.
	Sentences    []string
	Alternatives []Alternative
}

// Record is one decision with its reasons.
type Record struct {
	cfg Config
}

// New returns the record that cfg describes.
func New(cfg Config) Record { return Record{cfg: cfg} }

// ID returns the identity that callers and operators ask by.
func (r Record) ID() string { return r.cfg.ID }

// At returns when it was decided.
func (r Record) At() time.Time { return r.cfg.At }

// Kind returns what was decided.
func (r Record) Kind() Kind { return r.cfg.Kind }

// Sentences returns what was decided and why.
func (r Record) Sentences() []string { return r.cfg.Sentences }

// Alternatives returns what was not chosen.
func (r Record) Alternatives() []Alternative { return r.cfg.Alternatives }

// Lines returns the record as text for a person, one sentence a line.
func (r Record) Lines() []string {
	lines := make([]string, 0, 1+len(r.cfg.Sentences)+len(r.cfg.Alternatives))
	lines = append(lines, string(r.cfg.Kind)+" "+r.cfg.ID+" at "+r.cfg.At.UTC().Format(time.RFC3339Nano)+":")
	lines = append(lines, r.cfg.Sentences...)
	for _, a := range r.cfg.Alternatives {
		lines = append(lines, "Not "+a.Name()+": "+a.RejectReason())
	}
	return lines
}
