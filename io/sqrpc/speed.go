package sqrpc

import (
	"math"
	"time"

	"sequoiadock/core/sqspeed"
)

// FromSpeedReports converts reports to the messages that are sent at now.
func FromSpeedReports(now time.Time, reports []sqspeed.Report) []*SpeedReport {
	messages := make([]*SpeedReport, 0, len(reports))
	for _, r := range reports {
		messages = append(messages, &SpeedReport{
			Endpoint: r.Endpoint, WorkPercent: uint32(math.Round(r.Percent)), Reports: uint32(r.Count), AgeMillis: ageMillis(now, r.At),
		})
	}
	return messages
}

// ToSpeedReport converts the message that arrives at now to a report.
func ToSpeedReport(now time.Time, r *SpeedReport) sqspeed.Report {
	return sqspeed.Report{
		Endpoint: r.GetEndpoint(), Percent: float64(r.GetWorkPercent()), Count: int(r.GetReports()), At: ageTime(now, r.GetAgeMillis()),
	}
}

// SetSpeed sets the speed of the endpoint in the message.
func (x *InFlight) SetSpeed(s sqspeed.Speed) {
	x.WorkPercent, x.AgeMillis = uint32(math.Round(s.Percent)), uint32(s.Age.Milliseconds())
}

// ToSpeeds returns the speeds of endpoints in a list of loads.
func ToSpeeds(list *InFlightList) []sqspeed.Speed {
	var speeds []sqspeed.Speed
	for _, l := range list.GetLoads() {
		if l.GetWorkPercent() > 0 {
			speeds = append(speeds, sqspeed.Speed{
				Endpoint: l.GetId(), Percent: float64(l.GetWorkPercent()), Age: time.Duration(l.GetAgeMillis()) * time.Millisecond,
			})
		}
	}
	return speeds
}
