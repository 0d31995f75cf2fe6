package sqendpoint

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"

	"sequoiadock/core/sqerror"
)

// HeaderNotStarted is set by a plain service that proves that nothing ran.
const HeaderNotStarted = "Sequoiadock-Not-Started"

// maxErrorBody bounds how much of an endpoint's error answer is read.
const maxErrorBody = 4 << 10

// sendError types the failure of a request that got no answer.
func sendError(ctx context.Context, s *sending, err error) error {
	run := sqerror.NotRun
	if s.seal() {
		run = sqerror.MayHaveRun
	}
	if stopped := s.stopped(); stopped != nil {
		return withRun(stopped, run)
	}
	kind := sqerror.EndpointFailed
	if ctx.Err() != nil {
		kind = contextKind(ctx)
		err = context.Cause(ctx)
	}
	return sqerror.New(sqerror.Config{Kind: kind, Detail: "the endpoint did not answer", Execution: run, Cause: err})
}

// withRun returns the guard's error with what is known of the request.
func withRun(err error, run sqerror.Execution) error {
	var e *sqerror.Error
	if !errors.As(err, &e) || e.Execution() == run {
		return err
	}
	return sqerror.New(sqerror.Config{
		Kind: e.Kind(), Detail: e.Detail(), Execution: run, RetryAfter: e.RetryAfter(), RedirectAddress: e.RedirectAddress(),
	})
}

func contextKind(ctx context.Context) sqerror.Kind {
	if k := sqerror.KindOf(context.Cause(ctx)); k != sqerror.None {
		return k
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return sqerror.DeadlineExceeded
	}
	return sqerror.Canceled
}

// statusError types an answer that refuses the request.
func statusError(resp *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	cfg := sqerror.Config{
		Kind:      sqerror.EndpointFailed,
		Detail:    "the endpoint answered with status " + strconv.Itoa(resp.StatusCode),
		Execution: sqerror.MayHaveRun,
	}
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable && bytes.Contains(body, []byte(`"notStarted"`)):
		cfg.Execution = sqerror.NotRun
	case resp.StatusCode == http.StatusNotFound:
		cfg.Kind = sqerror.NotFound
	}
	return sqerror.New(cfg)
}

func badAnswer(detail string, cause error) error {
	return sqerror.New(sqerror.Config{Kind: sqerror.BadResponse, Detail: detail, Execution: sqerror.MayHaveRun, Cause: cause})
}

func cutError(err error) error {
	return sqerror.New(sqerror.Config{Kind: sqerror.EndpointFailed, Detail: "the answer was cut", Execution: sqerror.MayHaveRun, Cause: err})
}

// Lost reports whether err is the loss of the connection itself, as when an
// endpoint dies, and not a refusal or a silence, as when it is overloaded.
func Lost(err error) bool {
	if sqerror.KindOf(err) != sqerror.EndpointFailed {
		return false
	}
	for _, cause := range []error{
		io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.ECONNREFUSED, syscall.EPIPE, syscall.EHOSTUNREACH,
	} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// Resumable reports whether err left the endpoint itself able to go on: the
// connection was cut or the stream was garbled, but nothing timed out or was
// refused.
func Resumable(err error) bool {
	switch sqerror.KindOf(err) {
	case sqerror.BadResponse:
		return true
	case sqerror.EndpointFailed:
	default:
		return false
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return false
	}
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}
