// Package sqrpc contains the twirp services between the system's processes and
// converts errors, endpoints and load readings to and from their messages.
package sqrpc

import (
	"errors"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"

	"sequoiadock/core/sqerror"
)

// Metadata keys of twirp errors.
const (
	metaKind       = "kind"
	metaHolder     = "holder"
	metaRetryAfter = "retryAfterMillis"
)

// ToTwirp converts err to a twirp error that carries the number of its kind, the
// address of the lease holder if another process can answer, and the delay before a
// retry. An error that is not an *sqerror.Error is returned unchanged.
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
		t = t.WithMeta(metaRetryAfter, strconv.FormatInt(e.RetryAfter().Milliseconds(), 10))
	}
	return t
}

// FromTwirp converts err back to the error that the other process passed to ToTwirp.
// An error without a kind, such as that of a process that did not respond, becomes an
// error of kind Unreachable.
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
	millis, parseErr := strconv.ParseInt(t.Meta(metaRetryAfter), 10, 64)
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

// IsUnknownMethod reports whether a call failed, with err as the twirp client returned it,
// because the other process runs an earlier version that does not have the method.
func IsUnknownMethod(err error) bool {
	var t twirp.Error
	return errors.As(err, &t) && t.Code() == twirp.BadRoute
}

// IsRetryable reports whether a call that failed with err, as FromTwirp returned it,
// may succeed at another process or at the same one later.
func IsRetryable(err error) bool {
	switch sqerror.KindOf(err) {
	case sqerror.Unreachable, sqerror.NotHolder, sqerror.NotBootstrapped, sqerror.Stopped, sqerror.Overloaded,
		sqerror.LeaseLost, sqerror.OutcomeUnknown, sqerror.NotConfirmed:
		return true
	default:
		return false
	}
}

// RedirectAddress returns the address of the lease holder that err names, or "".
func RedirectAddress(err error) string {
	var e *sqerror.Error
	if !errors.As(err, &e) {
		return ""
	}
	return e.RedirectAddress()
}

// twirpCode maps a kind to the twirp code by which clients decide whether to retry:
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
