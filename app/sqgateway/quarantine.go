package sqgateway

import (
	"context"
	"time"

	"sequoiadock/core/sqevent"
	"sequoiadock/core/sqplace"
	"sequoiadock/core/sqquarantine"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqrpc"
)

// maxAnswerAge is how long after its first event a request may still be the one under
// which its endpoint crashes. A harmful part crashes an endpoint as the answer begins.
const maxAnswerAge = 1 * time.Second

// crashCheckTimeout is how long the gateway waits to learn whether an endpoint that ended
// a connection has crashed. It asks crashCheckTries times, since a process may close its
// connections before it stops listening.
const (
	crashCheckTimeout  = 500 * time.Millisecond
	crashCheckTries    = 3
	crashCheckInterval = 50 * time.Millisecond
)

// quarantinedPart returns the first part of the request's prompt that is quarantined,
// and the time until its quarantine ends, or "".
func (x *request) quarantinedPart(now time.Time) (id string, left time.Duration) {
	quarantines := x.g.view.Load().quarantines
	if len(quarantines) == 0 {
		return "", 0
	}
	for _, id := range x.attempt.Prompt.SharedParts() {
		if until, ok := quarantines[sqquarantine.Part{Service: x.service, ID: id}]; ok && now.Before(until) {
			return id, until.Sub(now)
		}
	}
	return "", 0
}

// refuseQuarantined ends the request if a part of its prompt is quarantined, and reports
// whether it did.
func (x *request) refuseQuarantined(now time.Time) bool {
	id, left := x.quarantinedPart(now)
	if id == "" {
		return false
	}
	x.g.metrics.quarantined.Inc()
	x.finishUnanswered(x.stepWithoutEndpoint(now), "the part "+id+" of the prompt is quarantined, since it crashes endpoints", left)
	return true
}

// recordPartsAnswered records that a request with the parts of this one was answered in
// full.
func (x *request) recordPartsAnswered(now time.Time) {
	if len(x.attempt.Prompt.Parts) == 0 {
		return
	}
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.g.evidence.RecordAnswer(now, x.service, x.attempt.Prompt.SharedParts())
}

// mayHaveCrashed reports whether the request can be the one under which its endpoint
// crashed: the endpoint had not begun to answer it, or has begun a short time ago.
func (x *request) mayHaveCrashed(now time.Time) bool {
	return x.sendFirstEventAt.IsZero() || now.Sub(x.sendFirstEventAt) < maxAnswerAge
}

// recordLostConnection records that the endpoint ended the connection of the request, and
// checks in the background whether the endpoint has crashed.
func (x *request) recordLostConnection(now time.Time, e *sqplace.Endpoint) {
	parts := x.attempt.Prompt.SharedParts()
	if len(parts) == 0 {
		return
	}
	x.g.mu.Lock()
	mustCheck := x.g.evidence.RecordBroken(now, x.service, e.ID(), parts)
	x.g.mu.Unlock()
	if mustCheck {
		go x.g.checkCrash(e)
	}
}

// checkCrash records whether an endpoint refuses connections, as after the end of its
// process, and reports a crash to the lease holder.
func (g *gateway) checkCrash(e *sqplace.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	crashed := g.pool.Refuses(ctx, e.Address())
	for try := 1; !crashed && try < crashCheckTries && sqclock.Sleep(ctx, crashCheckInterval); try++ {
		crashed = g.pool.Refuses(ctx, e.Address())
	}
	g.mu.Lock()
	g.evidence.RecordCheck(e.ID(), crashed)
	g.mu.Unlock()
	if crashed {
		g.log.Event(sqevent.EndpointCrashed, e.ID(), e.Service())
		g.triggerHeartbeat()
	}
}

// addEvidence adds the evidence on crashes to a heartbeat. The caller must hold mu.
func (g *gateway) addEvidence(now time.Time, v *view, req *sqrpc.BeatRequest) {
	for _, c := range g.evidence.Unacknowledged(v.leaseHolder) {
		req.Crashes = append(req.Crashes, sqrpc.FromCrash(now, c))
	}
	for _, p := range v.suspects {
		if at := g.evidence.LastAnswer(p); !at.IsZero() {
			req.Answers = append(req.Answers, &sqrpc.PartAnswer{Part: sqrpc.FromPart(p), AgeMillis: uint32(now.Sub(at).Milliseconds())})
		}
	}
}

// applyQuarantines copies the suspects and the quarantines of a response into v.
func (g *gateway) applyQuarantines(receivedAt time.Time, v *view, res *sqrpc.BeatResponse) {
	old := v.quarantines
	v.suspects, v.quarantines = nil, nil
	for _, p := range res.GetSuspects() {
		v.suspects = append(v.suspects, sqrpc.ToPart(p))
	}
	for _, q := range res.GetQuarantines() {
		if v.quarantines == nil {
			v.quarantines = map[sqquarantine.Part]time.Time{}
		}
		part := sqrpc.ToPart(q.GetPart())
		v.quarantines[part] = receivedAt.Add(time.Duration(q.GetLeftMillis()) * time.Millisecond)
		if _, ok := old[part]; !ok {
			g.log.Event(sqevent.QuarantineInForce, part.Service, part.ID, q.GetLeftMillis())
		}
	}
}
