package sqquarantine

import "time"

const (
	// answerMemory is how long Evidence knows when a trait was last answered, unless more
	// than maxAnswers traits are answered in that time.
	answerMemory = 3 * time.Second
	maxAnswers   = 1 << 14
	// maxReports is how many crashes Evidence keeps, and maxRequestsPerCrash how many
	// requests of one.
	maxReports          = 32
	maxRequestsPerCrash = 32
)

// Evidence is what one gateway has seen. It is not safe for concurrent use.
type Evidence struct {
	// recent and older hold the time of each trait's last answer. Each answerMemory, or
	// when it is full, recent becomes older.
	recent, older map[Trait]time.Time
	recentSince   time.Time
	// crashes are the confirmed crashes, oldest first. suspected are those whose
	// endpoint is being checked, by endpoint ID.
	crashes   []*report
	suspected map[string]*Crash
}

// report is a crash and what the lease holder knows of it.
type report struct {
	crash *Crash
	// sentRequests is how many of the crash's requests were in the last heartbeat that
	// contained it, and acknowledgedBy the holder that knows the whole crash, or "".
	sentRequests   int
	acknowledgedBy string
}

// NewEvidence returns the evidence of a gateway that starts at now.
func NewEvidence(now time.Time) *Evidence {
	return &Evidence{recent: map[Trait]time.Time{}, older: map[Trait]time.Time{}, recentSince: now, suspected: map[string]*Crash{}}
}

// RecordAnswer records that a request with the traits was answered in full.
func (e *Evidence) RecordAnswer(now time.Time, service string, traits []Trait) {
	if now.Sub(e.recentSince) >= answerMemory || len(e.recent) >= maxAnswers {
		e.older, e.recent, e.recentSince = e.recent, map[Trait]time.Time{}, now
	}
	e.recent[anyRequest(service)] = now
	for _, t := range traits {
		e.recent[t] = now
	}
}

// LastAnswer returns when a request with the trait was last answered in full, or the
// zero time if that is not known.
func (e *Evidence) LastAnswer(t Trait) time.Time {
	if at, ok := e.recent[t]; ok {
		return at
	}
	return e.older[t]
}

// RecordBroken records a request whose endpoint ended the connection and may have crashed
// under it. It returns true if the caller must check whether the endpoint has crashed and
// call RecordCheck.
func (e *Evidence) RecordBroken(now time.Time, service, endpoint string, traits []Trait) bool {
	if c := e.suspected[endpoint]; c != nil {
		c.add(traits)
		return false
	}
	for _, r := range e.crashes {
		if r.crash.sameCrash(endpoint, now) {
			r.crash.add(traits)
			r.acknowledgedBy = ""
			return false
		}
	}
	e.suspected[endpoint] = &Crash{Service: service, Endpoint: endpoint, At: now, Requests: [][]Trait{traits}}
	return true
}

func (c *Crash) add(traits []Trait) {
	if len(c.Requests) < maxRequestsPerCrash {
		c.Requests = append(c.Requests, traits)
	}
}

// RecordCheck records whether the endpoint has crashed.
func (e *Evidence) RecordCheck(endpoint string, crashed bool) {
	c := e.suspected[endpoint]
	delete(e.suspected, endpoint)
	if c == nil || !crashed {
		return
	}
	e.crashes = append(e.crashes, &report{crash: c})
	e.crashes = e.crashes[max(0, len(e.crashes)-maxReports):]
}

// Unacknowledged returns the crashes that the lease holder does not know in full. The
// caller must not change them.
func (e *Evidence) Unacknowledged(holder string) []*Crash {
	var crashes []*Crash
	for _, r := range e.crashes {
		if r.acknowledgedBy == "" || r.acknowledgedBy != holder {
			r.sentRequests = len(r.crash.Requests)
			crashes = append(crashes, r.crash)
		}
	}
	return crashes
}

// Acknowledge records that the holder has received what Unacknowledged returned last,
// and drops crashes that are older than crashMemory.
func (e *Evidence) Acknowledge(now time.Time, previousHolder, holder string) {
	for _, r := range e.crashes {
		sent := r.acknowledgedBy == "" || r.acknowledgedBy != previousHolder
		if sent && r.sentRequests == len(r.crash.Requests) {
			r.acknowledgedBy = holder
		}
	}
	for len(e.crashes) > 0 && now.Sub(e.crashes[0].crash.At) > crashMemory {
		e.crashes = e.crashes[1:]
	}
}
