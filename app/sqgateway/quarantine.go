package sqgateway

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

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

// traits returns what the request may have in common with others.
func (x *request) traits() []sqquarantine.Trait {
	return sqquarantine.Traits(x.service, x.attempt.Prompt.SharedParts(), x.content)
}

// refuseQuarantined ends the request if one of its traits is quarantined, and reports
// whether it did. After a quarantine, the lease holder allows requests with the trait one
// at a time. It is asked about the whole request and the last part of the prompt first: a
// request that is refused for these must not use up what is allowed of parts that more
// requests share.
func (x *request) refuseQuarantined(now time.Time) bool {
	quarantines := x.g.view.Load().quarantines
	if len(quarantines) == 0 {
		return false
	}
	traits := x.traits()
	for _, t := range traits {
		if left := quarantines[t].Sub(now); left > 0 && !slices.Contains(x.probed, t) {
			x.finishQuarantined(now, t, left)
			return true
		}
	}
	for _, t := range slices.Backward(traits) {
		if _, ok := quarantines[t]; !ok || slices.Contains(x.probed, t) {
			continue
		}
		if left := x.probe(t); left > 0 {
			x.finishQuarantined(now, t, left)
			return true
		}
	}
	return false
}

func (x *request) finishQuarantined(now time.Time, t sqquarantine.Trait, left time.Duration) {
	x.g.metrics.quarantined.Inc()
	x.finishUnanswered(x.stepWithoutEndpoint(now), quarantineReason(t), left)
}

func quarantineReason(t sqquarantine.Trait) string {
	if t.Kind == sqquarantine.WholeRequest {
		return "the request is quarantined, since it crashes endpoints"
	}
	return "the part " + t.ID + " of the prompt is quarantined, since it crashes endpoints"
}

// probe asks the lease holder whether the request may be sent with a trait whose
// quarantine has ended. It returns 0 if it may, and otherwise when to try again.
func (x *request) probe(t sqquarantine.Trait) time.Duration {
	address := x.g.locator.Holder()
	client := sqrpc.NewCoordinatorProtobufClient("http://"+address, x.g.coordinatorClient)
	res, err := client.Probe(x.ctx, &sqrpc.ProbeRequest{Trait: sqrpc.FromTrait(t), Gateway: x.g.cfg.Name})
	if err != nil {
		x.g.log.Event(sqevent.ProbeAsked, x.attempt.ID, t.Kind.String(), t.Service, t.ID, false, err.Error())
		return defaultRetryAfter
	}
	x.g.log.Event(sqevent.ProbeAsked, x.attempt.ID, t.Kind.String(), t.Service, t.ID, res.GetGranted(), "")
	if !res.GetGranted() {
		return max(defaultRetryAfter, time.Duration(res.GetRetryAfterMillis())*time.Millisecond)
	}
	x.probed = append(x.probed, t)
	return 0
}

// mayResendAfterCrash reports whether the request may be sent on after an endpoint ended its
// connection. It may not if endpoints are known to have crashed under it before.
func (x *request) mayResendAfterCrash() bool {
	identity := sqquarantine.Trait{Kind: sqquarantine.WholeRequest, ID: x.content}
	return len(x.probed) == 0 && !slices.Contains(x.g.view.Load().suspects, identity)
}

// recordTraitsAnswered records that a request with the traits of this one was answered in
// full. If the lease holder allowed just this one, others wait for the news.
func (x *request) recordTraitsAnswered(now time.Time) {
	x.g.mu.Lock()
	x.g.evidence.RecordAnswer(now, x.service, x.traits())
	x.g.mu.Unlock()
	if len(x.probed) > 0 {
		x.g.triggerHeartbeat()
	}
}

// mayHaveCrashed reports whether the request can be the one under which its endpoint
// crashed: the endpoint had not begun to answer it, or has begun a short time ago.
func (x *request) mayHaveCrashed(now time.Time) bool {
	return x.sendFirstEventAt.IsZero() || now.Sub(x.sendFirstEventAt) < maxAnswerAge
}

// recordLostConnection records that the endpoint ended the connection of the request, and
// checks in the background whether the endpoint has crashed.
func (x *request) recordLostConnection(now time.Time, e *sqplace.Endpoint) {
	x.g.mu.Lock()
	mustCheck := x.g.evidence.RecordBroken(now, x.service, e.ID(), x.traits())
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
	for _, c := range g.evidence.Unacknowledged(v.evidenceHolder) {
		req.Crashes = append(req.Crashes, sqrpc.FromCrash(now, c))
	}
	for _, t := range v.suspects {
		if at := g.evidence.LastAnswer(t); !at.IsZero() {
			req.Answers = append(req.Answers, &sqrpc.TraitAnswer{Trait: sqrpc.FromTrait(t), AgeMillis: uint32(now.Sub(at).Milliseconds())})
		}
	}
}

// applyQuarantines copies the suspects and the quarantines of a response into v.
func (g *gateway) applyQuarantines(receivedAt time.Time, v *view, res *sqrpc.BeatResponse) {
	old := v.quarantines
	v.quarantines = nil
	g.applySuspects(v, res)
	for _, q := range res.GetQuarantines() {
		if v.quarantines == nil {
			v.quarantines = map[sqquarantine.Trait]time.Time{}
		}
		t := sqrpc.ToTrait(q.GetTrait())
		// A request that came just before the response must not take an ended quarantine for one
		// that lasts until then.
		v.quarantines[t] = time.Time{}
		if q.GetLeftMillis() > 0 {
			v.quarantines[t] = receivedAt.Add(time.Duration(q.GetLeftMillis()) * time.Millisecond)
		}
		if until, ok := old[t]; !ok || q.GetLeftMillis() > 0 && until.Before(receivedAt) {
			g.log.Event(sqevent.QuarantineInForce, t.Kind.String(), t.Service, t.ID, q.GetLeftMillis())
		}
	}
}

// applySuspects copies the suspects of a response into v. They stay if the response has
// their revision.
func (g *gateway) applySuspects(v *view, res *sqrpc.BeatResponse) {
	suspects := res.GetSuspects()
	if revision := res.GetSuspectRevision(); revision != 0 {
		if revision == v.suspectRevision {
			return
		}
		var list sqrpc.TraitList
		if err := proto.Unmarshal(res.GetSuspectList(), &list); err != nil {
			g.log.Event(sqevent.BeatNotDecoded, "suspects", err.Error())
			return
		}
		suspects = list.GetTraits()
	}
	v.suspects, v.suspectRevision = nil, res.GetSuspectRevision()
	for _, t := range suspects {
		v.suspects = append(v.suspects, sqrpc.ToTrait(t))
	}
}
