package sqoperator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"sequoiadock/core/sqerror"
)

// Exit codes by the kind of failure.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitBadSettings = 3
	exitConflict    = 4
	exitUnreachable = 5
	exitRefused     = 6
)

func exitCode(err error) int {
	var many *faults
	if errors.As(err, &many) {
		return exitBadSettings
	}
	switch sqerror.KindOf(err) {
	case sqerror.Usage:
		return exitUsage
	case sqerror.BadSetting:
		return exitBadSettings
	case sqerror.Conflict, sqerror.AlreadyBootstrapped, sqerror.MemberChange, sqerror.OrderOpen, sqerror.CallSettled:
		return exitConflict
	case sqerror.Unreachable, sqerror.NotHolder, sqerror.NotBootstrapped, sqerror.OutcomeUnknown, sqerror.Stopped,
		sqerror.Overloaded, sqerror.LeaseLost, sqerror.NotConfirmed:
		return exitUnreachable
	case sqerror.NotFound, sqerror.UnknownKey, sqerror.UnknownOrder, sqerror.UnknownCall, sqerror.Refused,
		sqerror.KeyWithdrawn, sqerror.CallRunning, sqerror.WrongCluster:
		return exitRefused
	default:
		return exitFailed
	}
}

// faults is every fault of the files that were read.
type faults struct {
	all []*sqerror.Error
}

// Error returns one fault a line.
func (f *faults) Error() string {
	s := ""
	for i, e := range f.all {
		if i > 0 {
			s += "\n"
		}
		s += e.Error()
	}
	return s
}

// errorJSON is an error in JSON.
type errorJSON struct {
	Kind    string `json:"kind"`
	Number  uint32 `json:"number"`
	Message string `json:"message"`
	Advice  string `json:"advice,omitempty"`
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`
	Column  int    `json:"column,omitempty"`
}

// printError writes err for people, or as JSON in one form for one fault and
// for many.
func printError(w io.Writer, asJSON bool, err error) {
	if !asJSON {
		fmt.Fprintln(w, err.Error())
		return
	}
	var out struct {
		Errors []errorJSON `json:"errors"`
	}
	var many *faults
	var one *sqerror.Error
	switch {
	case errors.As(err, &many):
		for _, e := range many.all {
			out.Errors = append(out.Errors, toJSON(e))
		}
	case errors.As(err, &one):
		out.Errors = append(out.Errors, toJSON(one))
	default:
		out.Errors = append(out.Errors, errorJSON{Kind: "failed", Message: err.Error()})
	}
	if encodeErr := json.NewEncoder(w).Encode(out); encodeErr != nil {
		fmt.Fprintln(w, encodeErr.Error())
	}
}

func toJSON(e *sqerror.Error) errorJSON {
	message := e.Detail()
	if cause := e.Unwrap(); cause != nil {
		message += ": " + cause.Error()
	}
	return errorJSON{
		Kind:    e.Kind().String(),
		Number:  uint32(e.Kind()),
		Message: message,
		Advice:  e.Advice(),
		File:    e.Position().File,
		Line:    e.Position().Line,
		Column:  e.Position().Column,
	}
}
