// Package sqdecision keeps records of decisions: plain sentences with the figures
// that led to the decision, so that operators can look up the reasons for it.
package sqdecision

import "time"

// Kind is the subject of a decision.
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
	LeaseChange   Kind = "authority"
	Configuration Kind = "configuration"
)

// Alternative is an option that was not chosen.
type Alternative struct {
	cfg AlternativeConfig
}

// AlternativeConfig holds the parts of an Alternative.
type AlternativeConfig struct {
	Name string
	// RejectReason is a sentence with the figures that led to the rejection.
	RejectReason string
}

// NewAlternative returns the alternative that cfg describes.
func NewAlternative(cfg AlternativeConfig) Alternative { return Alternative{cfg: cfg} }

// Name returns a short description of the alternative.
func (a Alternative) Name() string { return a.cfg.Name }

// RejectReason returns why the alternative was not chosen.
func (a Alternative) RejectReason() string { return a.cfg.RejectReason }

// Config holds the parts of a Record.
type Config struct {
	ID   string
	At   time.Time
	Kind Kind
	// Explanation say in plain English what was decided and which figures led to it.
	Explanation  []string
	Alternatives []Alternative
}

// Record is a decision with its reasons.
type Record struct {
	cfg Config
}

// New returns the record that cfg describes.
func New(cfg Config) Record { return Record{cfg: cfg} }

// ID returns the ID by which callers and operators look the record up.
func (r Record) ID() string { return r.cfg.ID }

// At returns the time of the decision.
func (r Record) At() time.Time { return r.cfg.At }

// Kind returns the subject of the decision.
func (r Record) Kind() Kind { return r.cfg.Kind }

// Explanation returns what was decided and why.
func (r Record) Explanation() []string { return r.cfg.Explanation }

// Alternatives returns the options that were not chosen.
func (r Record) Alternatives() []Alternative { return r.cfg.Alternatives }

// Lines returns the record as text for operators, one sentence per line.
func (r Record) Lines() []string {
	lines := make([]string, 0, 1+len(r.cfg.Explanation)+len(r.cfg.Alternatives))
	lines = append(lines, string(r.cfg.Kind)+" "+r.cfg.ID+" at "+r.cfg.At.UTC().Format(time.RFC3339Nano)+":")
	lines = append(lines, r.cfg.Explanation...)
	for _, a := range r.cfg.Alternatives {
		lines = append(lines, "Not "+a.Name()+": "+a.RejectReason())
	}
	return lines
}
