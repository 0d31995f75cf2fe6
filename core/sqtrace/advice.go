package sqtrace

import "sequoiadock/core/sqevent"

// Explanations of the last log line of a request, printed by the trace command.
const (
	adviceAnswered = "Answered. If it was late, compare firstMillis with expectedMillis: a much longer firstMillis means that the engine had " +
		"requests of other gateways queued before it, or is slow."
	adviceUnavailable = "Refused, it has not run. The reason says what was missing: for a missing lease holder, look at the log lines of the gateway and the " +
		"coordinators; for a deadline that cannot be met, look at the load of the service; for a quarantined part of the prompt, look at the log lines of its " +
		"quarantine and of the endpoints that crashed before; for endpoints that refuse requests, look at the lines 6020 of the service's endpoints."
	adviceUnknownRouteOrKey = "Refused, it has not run: the routing table of that version has no such route or key. Look for the version that removed it."
	adviceDeadlineExceeded  = "Ended at its deadline. Look for other lines of the same endpoint: many for it alone mean that it is unhealthy, many for all " +
		"endpoints of the service mean that the service lacks capacity."
	adviceMayHaveRun = "Broken off, it may have run. The line of the last send says how the endpoint failed; the list of endpoints " +
		"around that time shows whether it was leaving or lost."
	adviceCallerDisconnected = "The caller disconnected before the response. If the line names no endpoint, the request was still waiting for its prefill."
	adviceNoEnd              = "No end is logged: the gateway was killed while the request ran, or log lines were dropped (event 1007)."
)

// HTTP status codes. Package net/http is not imported because core does no I/O.
const (
	statusGatewayTimeout     = 504
	statusServiceUnavailable = 503
)

// advise returns the explanation of the last log line of a request.
func advise(last *Line) string {
	status := int(last.numberField("status"))
	switch last.Event() {
	case sqevent.RequestDone.Number:
		return adviceAnswered
	case sqevent.RequestRefused.Number:
		if status != statusServiceUnavailable {
			return adviceUnknownRouteOrKey
		}
		return adviceUnavailable
	case sqevent.RequestFailed.Number:
		if status == statusGatewayTimeout {
			return adviceDeadlineExceeded
		}
		return adviceMayHaveRun
	case sqevent.CallerDisconnected.Number:
		return adviceCallerDisconnected
	default:
		return adviceNoEnd
	}
}
