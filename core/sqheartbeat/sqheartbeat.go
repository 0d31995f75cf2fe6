// Package sqheartbeat decides how long a gateway waits between two heartbeats to the lease
// holder, so that the holder receives a bounded number of them per second from any number
// of gateways, also while many of them start again or find no holder at the same time.
package sqheartbeat

import "time"

const (
	// perGateway is the interval that each further gateway adds, so that the holder
	// receives at most 250 heartbeats per second, unless maxInterval shortens the interval. A
	// fifth of a processor core handles twice as many, which leaves room for retries.
	perGateway  = 4 * time.Millisecond
	minInterval = 100 * time.Millisecond
	maxInterval = 1200 * time.Millisecond
	// minRetryInterval and maxRetryInterval bound the mean wait after a heartbeat that
	// failed or brought no list of endpoints; retryPerGateway is what each gateway adds.
	minRetryInterval = 50 * time.Millisecond
	maxRetryInterval = 300 * time.Millisecond
	retryPerGateway  = time.Millisecond
	// maxDoublings bounds the back-off of a gateway that does not know how many others there
	// are, as it has just started. It asks one coordinator after the other until it finds
	// the holder, and its callers wait meanwhile.
	maxDoublings = 1
)

// Interval returns the time between two heartbeats of one of so many gateways.
func Interval(gateways int) time.Duration {
	return min(max(time.Duration(gateways)*perGateway, minInterval), maxInterval)
}

// Spread returns the time in which all gateways together may send one more heartbeat each.
func Spread(gateways int) time.Duration { return time.Duration(gateways) * perGateway }

// RetryInterval returns the time to the next heartbeat after the given number of failures in
// a row. It is longer for more gateways, and grows with the failures if their number is
// not known. random, from 0 to 1, spreads gateways that failed at the same time over half
// to one and a half of it.
func RetryInterval(gateways, failures int, random float64) time.Duration {
	mean := time.Duration(gateways) * retryPerGateway
	if gateways == 0 {
		mean = minRetryInterval << min(max(failures-1, 0), maxDoublings)
	}
	mean = min(max(mean, minRetryInterval), maxRetryInterval)
	return time.Duration(float64(mean) * (0.5 + random))
}
