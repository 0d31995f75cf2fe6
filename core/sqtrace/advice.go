package sqtrace

import "sequoiadock/core/sqevent"

// What the last line of a request means.
const (
	adviceAnswered = "Answered. If it was late, compare firstMillis with expectedMillis: a much longer one means that the engine had work of " +
		"other gateways in front of it, or is slow."
	adviceRefused = "Refused, it has not run. The reason says what was missing; for a missing holder look at the gateway's own lines and the " +
		"coordinators', for a deadline that cannot be met at the load of the service."
	adviceStatus = "Refused, it has not run: the table in force at that version has no such route or key. Look for the version in which it went."
	adviceLate   = "Ended at its deadline. Look for other lines of the same endpoint: many for it alone mean that it is ill, many for all of the " +
		"service that the service is short."
	adviceBroken = "Broken off, it may have run. The send before says how the endpoint ended; whether it was leaving or lost, the list of " +
		"endpoints around that time tells."
	adviceLeft = "The caller left before the answer. Without an endpoint it still waited for its prompt to be read."
	adviceOpen = "No end is logged: the gateway was killed meanwhile, or lines were dropped (event 1007)."
)

// statusGatewayTimeout and statusServiceUnavailable are statuses of HTTP.
const (
	statusGatewayTimeout     = 504
	statusServiceUnavailable = 503
)

// advise returns what the last line of a request means.
func advise(last *Line) string {
	status := int(last.number("status"))
	switch last.Event() {
	case sqevent.RequestDone.Number:
		return adviceAnswered
	case sqevent.RequestRefused.Number:
		if status != statusServiceUnavailable {
			return adviceStatus
		}
		return adviceRefused
	case sqevent.RequestFailed.Number:
		if status == statusGatewayTimeout {
			return adviceLate
		}
		return adviceBroken
	case sqevent.CallerDisconnected.Number:
		return adviceLeft
	default:
		return adviceOpen
	}
}
