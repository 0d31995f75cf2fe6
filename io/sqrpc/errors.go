// Package sqrpc has the twirp services between the system's processes and the
// form in which errors cross between them.
package sqrpc

import (
	"errors"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"

	"sequoiadock/core/sqerror"
)

// Keys of the meta data of errors between processes.
const (
	metaKind   = "kind"
	metaHolder = "holder"
	metaRetry  = "retryAfterMillis"
)

// ToTwirp returns the form in which err crosses a process boundary: the number
// of its kind, the holder's address when another process can answer, and when
// to come back.
func ToTwirp(err error) error {
	var e *sqerror.Error
	if err == nil || !errors.As(err, &e) {
		return err
	}
	t := twirp.NewError(twirpCode(e.Kind()), e.Detail()).
		WithMeta(metaKind, strconv.FormatUint(uint64(e.Kind()), 10))
	if e.RedirectAddress() != "" {
		t = t.WithMeta(metaHolder, e.RedirectAddress())
	}
	if e.RetryAfter() > 0 {
		t = t.WithMeta(metaRetry, strconv.FormatInt(e.RetryAfter().Milliseconds(), 10))
	}
	return t
}

// FromTwirp returns the error that the other process gave to ToTwirp, or one
// of kind Unreachable when the other process did not answer.
func FromTwirp(err error) error {
	var t twirp.Error
	if err == nil {
		return nil
	}
	if !errors.As(err, &t) || t.Meta(metaKind) == "" {
		return sqerror.New(sqerror.Config{Kind: sqerror.Unreachable, Cause: err})
	}
	kind, parseErr := strconv.ParseUint(t.Meta(metaKind), 10, 32)
	if parseErr != nil {
		return sqerror.New(sqerror.Config{Kind: sqerror.Unreachable, Cause: err})
	}
	millis, parseErr := strconv.ParseInt(t.Meta(metaRetry), 10, 64)
	if parseErr != nil {
		millis = 0
	}
	return sqerror.New(sqerror.Config{
		Kind:            sqerror.Kind(kind),
		Detail:          t.Msg(),
		RedirectAddress: t.Meta(metaHolder),
		RetryAfter:      time.Duration(millis) * time.Millisecond,
	})
}

// MayAskAgain returns whether another control process, or the same one later,
// may give the answer that err, as FromTwirp returned it, withheld.
func MayAskAgain(err error) bool {
	switch sqerror.KindOf(err) {
	case sqerror.Unreachable, sqerror.NotHolder, sqerror.NotBootstrapped, sqerror.Stopped, sqerror.Overloaded,
		sqerror.LeaseLost, sqerror.OutcomeUnknown, sqerror.NotConfirmed:
		return true
	default:
		return false
	}
}

// Holder returns the address of the holder that err names, or "".
func Holder(err error) string {
	var e *sqerror.Error
	if !errors.As(err, &e) {
		return ""
	}
	return e.RedirectAddress()
}

// twirpCode chooses the code by which clients decide whether to ask again:
// unavailable and deadline exceeded may be retried, the others may not.
func twirpCode(k sqerror.Kind) twirp.ErrorCode {
	switch k {
	case sqerror.NotHolder, sqerror.NotBootstrapped, sqerror.Stopped, sqerror.Overloaded, sqerror.LeaseLost, sqerror.NotConfirmed:
		return twirp.Unavailable
	case sqerror.OutcomeUnknown:
		return twirp.DeadlineExceeded
	case sqerror.Conflict, sqerror.AlreadyBootstrapped, sqerror.MemberChange, sqerror.WrongCluster:
		return twirp.FailedPrecondition
	case sqerror.NotFound, sqerror.UnknownKey, sqerror.UnknownCall, sqerror.UnknownOrder:
		return twirp.NotFound
	case sqerror.DiskFailed, sqerror.DamagedFile:
		return twirp.DataLoss
	default:
		return twirp.InvalidArgument
	}
}
