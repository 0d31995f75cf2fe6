package sqentry

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"sequoiadock/core/sqerror"
)

// headerDecision carries the request ID under which operators look up the
// decision record.
const headerDecision = "Sequoiadock-Decision"

// statusClientClosed is the status for a request whose caller disconnected;
// nobody receives it.
const statusClientClosed = 499

// refusal is the JSON body of every error response to callers.
type refusal struct {
	Error refusalBody `json:"error"`
}

type refusalBody struct {
	Kind             string `json:"kind"`
	Number           uint32 `json:"number"`
	Message          string `json:"message"`
	Run              string `json:"run"`
	RetryAfterMillis int64  `json:"retryAfterMillis,omitempty"`
	Elsewhere        string `json:"elsewhere,omitempty"`
	Decision         string `json:"decision"`
}

// messages are constant for each kind, so that no data of a request or an
// endpoint and no secret can get into a response.
var messages = map[sqerror.Kind]string{
	sqerror.BadRequest:         "the request cannot be understood",
	sqerror.TooLarge:           "the request is too large",
	sqerror.UnknownRoute:       "no service has this route or model",
	sqerror.WrongMethod:        "the route does not take this method",
	sqerror.NoKey:              "the route needs a key: send Authorization: Bearer KEY",
	sqerror.BadKey:             "the key is not granted",
	sqerror.StaleEntry:         "this entry has lost touch with the control processes",
	sqerror.OverLimit:          "the team is over its limit",
	sqerror.DeadlineUnmeetable: "the deadline cannot be met",
	sqerror.NoEndpoint:         "no endpoint can take the request now",
	sqerror.EndpointFailed:     "the endpoint failed",
	sqerror.DeadlineExceeded:   "the deadline passed",
	sqerror.CallRunning:        "the first attempt of this call still runs",
	sqerror.CallUnknown:        "the call may have run; its outcome is not known",
	sqerror.IdentityReused:     "the Idempotency-Key came with another request before",
	sqerror.NoIdentity:         "the call needs exactly one Idempotency-Key of 1 to 200 visible characters",
	sqerror.Leaving:            "this entry is stopping",
	sqerror.BadResponse:        "the endpoint gave a bad answer",
	sqerror.Canceled:           "the caller gave up",
	sqerror.Overloaded:         "this entry holds as many requests as it can",
}

var statuses = map[sqerror.Kind]int{
	sqerror.BadRequest:         http.StatusBadRequest,
	sqerror.TooLarge:           http.StatusRequestEntityTooLarge,
	sqerror.UnknownRoute:       http.StatusNotFound,
	sqerror.WrongMethod:        http.StatusMethodNotAllowed,
	sqerror.NoKey:              http.StatusUnauthorized,
	sqerror.BadKey:             http.StatusUnauthorized,
	sqerror.StaleEntry:         http.StatusServiceUnavailable,
	sqerror.OverLimit:          http.StatusTooManyRequests,
	sqerror.DeadlineUnmeetable: http.StatusServiceUnavailable,
	sqerror.NoEndpoint:         http.StatusServiceUnavailable,
	sqerror.EndpointFailed:     http.StatusBadGateway,
	sqerror.DeadlineExceeded:   http.StatusGatewayTimeout,
	sqerror.CallRunning:        http.StatusConflict,
	sqerror.CallUnknown:        http.StatusConflict,
	sqerror.IdentityReused:     http.StatusUnprocessableEntity,
	sqerror.NoIdentity:         http.StatusBadRequest,
	sqerror.Leaving:            http.StatusServiceUnavailable,
	sqerror.BadResponse:        http.StatusBadGateway,
	sqerror.Canceled:           statusClientClosed,
	sqerror.Overloaded:         http.StatusServiceUnavailable,
}

// asError returns err as a typed error that says whether the request ran.
// Errors that don't say so are marked MayHaveRun.
func asError(err error) *sqerror.Error {
	var e *sqerror.Error
	if !errors.As(err, &e) {
		return sqerror.New(sqerror.Config{Kind: sqerror.EndpointFailed, Execution: sqerror.MayHaveRun, Cause: err})
	}
	if e.Execution() == sqerror.ExecutionNone {
		return sqerror.New(sqerror.Config{
			Kind: e.Kind(), Detail: e.Detail(), Execution: sqerror.MayHaveRun,
			RetryAfter: e.RetryAfter(), RedirectAddress: e.RedirectAddress(), Cause: e.Unwrap(),
		})
	}
	return e
}

func newRefusal(e *sqerror.Error, decision string) refusal {
	message, ok := messages[e.Kind()]
	if !ok {
		message = "the request failed"
	}
	if e.Advice() != "" {
		message += ": " + e.Advice()
	}
	return refusal{Error: refusalBody{
		Kind:             e.Kind().String(),
		Number:           uint32(e.Kind()),
		Message:          message,
		Run:              e.Execution().String(),
		RetryAfterMillis: e.RetryAfter().Milliseconds(),
		Elsewhere:        e.RedirectAddress(),
		Decision:         decision,
	}}
}

func statusFor(k sqerror.Kind) int {
	if s, ok := statuses[k]; ok {
		return s
	}
	return http.StatusBadGateway
}

func writeRefusal(c echo.Context, e *sqerror.Error, decision string) error {
	h := c.Response().Header()
	h.Set(headerDecision, decision)
	if e.RetryAfter() > 0 {
		seconds := int64((e.RetryAfter() + time.Second - 1) / time.Second)
		h.Set(echo.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
	if e.Kind() == sqerror.NoKey || e.Kind() == sqerror.BadKey {
		h.Set(echo.HeaderWWWAuthenticate, "Bearer")
	}
	return c.JSON(statusFor(e.Kind()), newRefusal(e, decision))
}

// refusalEvent returns the error as a server-sent event for a stream that has
// started.
func refusalEvent(e *sqerror.Error, decision string) []byte {
	body, err := json.Marshal(newRefusal(e, decision))
	if err != nil {
		return []byte("data: {\"error\":{}}\n\n")
	}
	return append(append([]byte("data: "), body...), "\n\n"...)
}

// notRunError returns the error for a request of which no byte was sent to an
// endpoint.
func notRunError(kind sqerror.Kind, detail string) *sqerror.Error {
	return sqerror.New(sqerror.Config{Kind: kind, Detail: detail, Execution: sqerror.NotRun, RetryAfter: retryAfter(kind)})
}

// retryAfter returns the delay after which a caller may retry; 0 means that
// the same request would be refused again.
func retryAfter(kind sqerror.Kind) time.Duration {
	switch kind {
	case sqerror.StaleEntry, sqerror.NoEndpoint, sqerror.EndpointFailed, sqerror.BadResponse:
		return 500 * time.Millisecond
	case sqerror.Overloaded, sqerror.OverLimit, sqerror.DeadlineUnmeetable, sqerror.CallRunning:
		return 250 * time.Millisecond
	case sqerror.Leaving:
		return time.Millisecond
	}
	return 0
}
