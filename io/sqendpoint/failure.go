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

// HeaderNotStarted is the response header by which a plain service states that it
// did not start the request.
const HeaderNotStarted = "Sequoiadock-Not-Started"

// maxErrorBodyBytes bounds how much of an endpoint's error response is read.
const maxErrorBodyBytes = 4 << 10

// roundTripError returns the typed error of a request that got no sound response.
func roundTripError(ctx context.Context, s *writeTracker, err error) error {
	execution := sqerror.NotRun
	if s.close() {
		execution = sqerror.MayHaveRun
	}
	if checkErr := s.checkErr(); checkErr != nil {
		return withExecution(checkErr, execution)
	}
	if sqerror.KindOf(err) == sqerror.BadResponse {
		return err
	}
	kind := sqerror.EndpointFailed
	if ctx.Err() != nil {
		kind = contextKind(ctx)
		err = context.Cause(ctx)
	}
	return sqerror.New(sqerror.Config{Kind: kind, Detail: "the endpoint did not answer", Execution: execution, Cause: err})
}

// withExecution returns the error of a write check with its Execution replaced.
func withExecution(err error, exec sqerror.Execution) error {
	var e *sqerror.Error
	if !errors.As(err, &e) || e.Execution() == exec {
		return err
	}
	return sqerror.New(sqerror.Config{
		Kind: e.Kind(), Detail: e.Detail(), Execution: exec, RetryAfter: e.RetryAfter(), RedirectAddress: e.RedirectAddress(),
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

// statusError returns the typed error of a response whose status is not 200.
func statusError(resp *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
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

func badResponse(detail string, cause error) error {
	return sqerror.New(sqerror.Config{Kind: sqerror.BadResponse, Detail: detail, Execution: sqerror.MayHaveRun, Cause: cause})
}

func truncatedError(err error) error {
	return sqerror.New(sqerror.Config{Kind: sqerror.EndpointFailed, Detail: "the answer was cut", Execution: sqerror.MayHaveRun, Cause: err})
}

// ConnectionLost reports whether err is a lost or refused connection, as after
// the death of an endpoint. It returns false for error responses and timeouts,
// which an overloaded endpoint causes too.
func ConnectionLost(err error) bool {
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

// Resumable reports whether the endpoint may still be able to resume the request
// after err: the connection broke or the stream was malformed, but nothing timed
// out and no connection was refused.
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
