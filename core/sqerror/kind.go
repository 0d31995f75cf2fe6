package sqerror

import (
	"errors"
	"strconv"
	"time"
)

// Kind is the number of a kind of failure. Numbers are stable, since responses to
// callers and the replicated log contain them.
type Kind uint32

// Kinds 1 to 99 concern callers' requests. None means that there is no failure.
const (
	None Kind = 0
	// BadRequest is a request that cannot be parsed.
	BadRequest Kind = 1
	// TooLarge is a body, header or response over its size limit.
	TooLarge Kind = 2
	// UnknownRoute is a path that matches no service.
	UnknownRoute Kind = 3
	// WrongMethod is an HTTP method that the route does not allow.
	WrongMethod Kind = 4
	// NoKey is a request without an API key on a route that requires one.
	NoKey Kind = 5
	// BadKey is an API key that is malformed, unknown, withdrawn or given twice.
	BadKey Kind = 6
	// StaleEntry is an entry whose freshness lease has expired.
	StaleEntry Kind = 7
	// OverLimit is a team over its rate, running or queue limit.
	OverLimit Kind = 8
	// DeadlineUnmeetable is a request whose deadline cannot be met.
	DeadlineUnmeetable Kind = 9
	// NoEndpoint is a request that no live endpoint can take.
	NoEndpoint Kind = 10
	// EndpointFailed is an endpoint that failed during the request.
	EndpointFailed Kind = 11
	// DeadlineExceeded is a request whose deadline passed.
	DeadlineExceeded Kind = 12
	// CallRunning is a call whose first attempt is still running.
	CallRunning Kind = 13
	// CallUnknown is a call that may have run.
	CallUnknown Kind = 14
	// IdentityReused is a call identity that was used before with another body.
	IdentityReused Kind = 15
	// NoIdentity is a call that may run only once but has no valid identity.
	NoIdentity Kind = 16
	// Leaving is a process that has stopped taking new requests.
	Leaving Kind = 17
	// BadResponse is a malformed or unexpected response of an endpoint.
	BadResponse Kind = 18
	// Canceled is a request that its caller canceled.
	Canceled Kind = 19
)

// Kinds 100 to 199 concern the replicated state and the lease.
const (
	// NotHolder is a call to a process that does not hold the lease.
	NotHolder Kind = 100
	// OutcomeUnknown is a proposal whose outcome is not known.
	OutcomeUnknown Kind = 101
	// Conflict is a change that contradicts the current state, such as a publish
	// whose base version is not the current one.
	Conflict Kind = 102
	// KeyWithdrawn is a configuration that grants a withdrawn key again.
	KeyWithdrawn Kind = 103
	// UnknownKey is a command on a key that does not exist.
	UnknownKey Kind = 104
	// OrderOpen is an order for a target that already has an open order.
	OrderOpen Kind = 105
	// UnknownOrder is a command on an order that does not exist.
	UnknownOrder Kind = 106
	// UnknownCall is a command on a call that does not exist.
	UnknownCall Kind = 107
	// DamagedFile is a file whose content does not match its checksum.
	DamagedFile Kind = 108
	// DiskFailed is a write or sync that failed.
	DiskFailed Kind = 109
	// AlreadyBootstrapped is a bootstrap of a replica that already has state.
	AlreadyBootstrapped Kind = 110
	// NotBootstrapped is a replica without a cluster identity.
	NotBootstrapped Kind = 111
	// WrongCluster is a message from another deployment or replica.
	WrongCluster Kind = 112
	// LeaseLost is an order that was not sent, or was rejected, because the
	// process no longer holds the lease.
	LeaseLost Kind = 113
	// MemberChange is a membership change that is not possible at present.
	MemberChange Kind = 114
	// WindowFrozen is a billing window that is already frozen.
	WindowFrozen Kind = 115
	// CallSettled is a call that already has an outcome.
	CallSettled Kind = 116
	// Stopped is a process that is stopping.
	Stopped Kind = 117
	// Overloaded is a queue that is full.
	Overloaded Kind = 118
	// NotConfirmed is a change that was accepted, but the holder lost the lease
	// before the change was in force. Sending the same operation identity to the
	// next holder returns the first response.
	NotConfirmed Kind = 119
)

// Kinds 200 to 299 concern settings, declarations and operators.
const (
	// Usage is a command line that cannot be understood.
	Usage Kind = 200
	// BadSetting is a settings or declaration file that is invalid.
	BadSetting Kind = 201
	// Unreachable is a process that does not answer.
	Unreachable Kind = 202
	// NotFound is an object that does not exist.
	NotFound Kind = 203
	// OutputFailed is a failure to write the output of a command.
	OutputFailed Kind = 204
	// Refused is an order that an endpoint or the platform declined.
	Refused Kind = 205
)

var kindNames = map[Kind]string{
	None: "none", BadRequest: "badRequest", TooLarge: "tooLarge", UnknownRoute: "unknownRoute",
	WrongMethod: "wrongMethod", NoKey: "noKey", BadKey: "badKey", StaleEntry: "staleEntry",
	OverLimit: "overLimit", DeadlineUnmeetable: "deadlineUnmeetable", NoEndpoint: "noEndpoint",
	EndpointFailed: "endpointFailed", DeadlineExceeded: "deadlineExceeded", CallRunning: "callRunning",
	CallUnknown: "callUnknown", IdentityReused: "identityReused", NoIdentity: "noIdentity",
	Leaving: "leaving", BadResponse: "badAnswer", Canceled: "canceled",
	NotHolder: "notHolder", OutcomeUnknown: "outcomeUnknown", Conflict: "conflict",
	KeyWithdrawn: "keyWithdrawn", UnknownKey: "unknownKey", OrderOpen: "orderOpen",
	UnknownOrder: "unknownOrder", UnknownCall: "unknownCall", DamagedFile: "damagedFile",
	DiskFailed: "diskFailed", AlreadyBootstrapped: "alreadySetUp", NotBootstrapped: "notSetUp",
	WrongCluster: "wrongCluster", LeaseLost: "lostAuthority", MemberChange: "memberChange",
	WindowFrozen: "windowFrozen", CallSettled: "callSettled", Stopped: "stopped", Overloaded: "overloaded",
	NotConfirmed: "notConfirmed", Usage: "usage", BadSetting: "badSetting", Unreachable: "unreachable", NotFound: "notFound",
	OutputFailed: "outputFailed", Refused: "refused",
}

// String returns the camel-case name of the kind.
func (k Kind) String() string {
	if s, ok := kindNames[k]; ok {
		return s
	}
	return "kind" + strconv.FormatUint(uint64(k), 10)
}

// KindOf returns the kind of the first *Error in err's chain, or None.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind()
	}
	return None
}

// RetryAfterOf returns how long to wait before the next try after err; 0 if it does not say.
func RetryAfterOf(err error) time.Duration {
	var e *Error
	if errors.As(err, &e) {
		return e.RetryAfter()
	}
	return 0
}
