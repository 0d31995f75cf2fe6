package sqrpc

import (
	"time"

	"sequoiadock/core/sqquarantine"
)

// FromPart converts a part of prompts to its message.
func FromPart(p sqquarantine.Part) *PromptPart { return &PromptPart{Service: p.Service, Id: p.ID} }

// ToPart converts the message of a part of prompts.
func ToPart(p *PromptPart) sqquarantine.Part {
	return sqquarantine.Part{Service: p.GetService(), ID: p.GetId()}
}

// FromCrash converts a crash to its message.
func FromCrash(now time.Time, c *sqquarantine.Crash) *CrashReport {
	r := &CrashReport{Service: c.Service, Endpoint: c.Endpoint, AgeMillis: uint32(max(0, now.Sub(c.At).Milliseconds()))}
	for _, ids := range c.Requests {
		r.Requests = append(r.Requests, &SharedParts{Ids: ids})
	}
	return r
}

// ToCrash converts the message of a crash that was received at now.
func ToCrash(now time.Time, r *CrashReport) *sqquarantine.Crash {
	c := &sqquarantine.Crash{
		Service: r.GetService(), Endpoint: r.GetEndpoint(), At: now.Add(-time.Duration(r.GetAgeMillis()) * time.Millisecond),
	}
	for _, request := range r.GetRequests() {
		c.Requests = append(c.Requests, request.GetIds())
	}
	return c
}
