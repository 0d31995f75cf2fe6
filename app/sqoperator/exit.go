package sqoperator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"sequoiadock/core/sqerror"
)

// Exit codes, one for each group of error kinds.
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
	var fileErrs *fileErrors
	if errors.As(err, &fileErrs) {
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
		sqerror.Overloaded, sqerror.LeaseLost, sqerror.NotConfirmed, sqerror.StaleEntry:
		return exitUnreachable
	case sqerror.NotFound, sqerror.UnknownKey, sqerror.UnknownOrder, sqerror.UnknownCall, sqerror.Refused,
		sqerror.KeyWithdrawn, sqerror.CallRunning, sqerror.WrongCluster, sqerror.UnknownRoute, sqerror.NoKey:
		return exitRefused
	default:
		return exitFailed
	}
}

// fileErrors holds every error found in the files that were read.
type fileErrors struct {
	errs []*sqerror.Error
}

// Error returns the errors, one on each line.
func (f *fileErrors) Error() string {
	text := ""
	for i, e := range f.errs {
		if i > 0 {
			text += "\n"
		}
		text += e.Error()
	}
	return text
}

// errorJSON is the JSON form of one error.
type errorJSON struct {
	Kind    string `json:"kind"`
	Number  uint32 `json:"number"`
	Message string `json:"message"`
	Advice  string `json:"advice,omitempty"`
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`
	Column  int    `json:"column,omitempty"`
}

// printError writes err as text, or as a JSON object with a list of errors even
// if there is only one.
func printError(w io.Writer, asJSON bool, err error) {
	if !asJSON {
		fmt.Fprintln(w, err.Error())
		return
	}
	var out struct {
		Errors []errorJSON `json:"errors"`
	}
	var fileErrs *fileErrors
	var singleErr *sqerror.Error
	switch {
	case errors.As(err, &fileErrs):
		for _, e := range fileErrs.errs {
			out.Errors = append(out.Errors, toJSON(e))
		}
	case errors.As(err, &singleErr):
		out.Errors = append(out.Errors, toJSON(singleErr))
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
