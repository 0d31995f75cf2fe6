package sqrpc

import (
	"time"

	"sequoiadock/core/sqlimit"
)

// FromLimitReport converts a report to the message that is sent at now.
func FromLimitReport(now time.Time, r sqlimit.Report) *LimitReport {
	return &LimitReport{Endpoint: r.Endpoint, Named: r.Named, PerSecond: r.PerSecond, AgeMillis: ageMillis(now, r.At)}
}

// ToLimitReport converts the message that arrives at now to a report.
func ToLimitReport(now time.Time, r *LimitReport) sqlimit.Report {
	return sqlimit.Report{Endpoint: r.GetEndpoint(), Named: r.GetNamed(), PerSecond: r.GetPerSecond(), At: ageTime(now, r.GetAgeMillis())}
}

// FromLimit converts a limit to the message that is sent at now.
func FromLimit(now time.Time, l sqlimit.Limit) *EndpointLimit {
	return &EndpointLimit{Endpoint: l.Endpoint, PerSecond: l.PerSecond, AgeMillis: ageMillis(now, l.At), Permits: uint32(l.Permits)}
}

// ToLimit converts the message that arrives at now to a limit.
func ToLimit(now time.Time, l *EndpointLimit) sqlimit.Limit {
	return sqlimit.Limit{Endpoint: l.GetEndpoint(), PerSecond: l.GetPerSecond(), At: ageTime(now, l.GetAgeMillis()), Permits: int(l.GetPermits())}
}

func ageMillis(now, at time.Time) uint32 { return uint32(max(0, now.Sub(at).Milliseconds())) }

func ageTime(now time.Time, millis uint32) time.Time {
	return now.Add(-time.Duration(millis) * time.Millisecond)
}
