package sqcoordinator

import (
	"context"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/io/sqrpc"
)

// crashReport returns the report on a crash under a request with the part "bad", and
// under one with the shared part "ab" alone.
func crashReport(i int) *sqrpc.CrashReport {
	return &sqrpc.CrashReport{
		Service: "engines", Endpoint: "e" + strconv.Itoa(i), AgeMillis: uint32(3000 - 500*i),
		Requests: []*sqrpc.RequestTraits{{Ids: []string{"ab", "bad"}}, {Ids: []string{"ab"}}},
	}
}

// beat sends a heartbeat to the lease holder, with evidence that "ab" was just answered.
// It returns nil while the lease holder changes.
func (g *group) beat(gateway string, crashes ...*sqrpc.CrashReport) *sqrpc.BeatResponse {
	req := newBeatRequest(gateway, 0)
	req.Crashes = crashes
	for _, id := range []string{"ab", ""} {
		req.Answers = append(req.Answers, &sqrpc.TraitAnswer{Trait: &sqrpc.Trait{Service: "engines", Id: id}})
	}
	res, err := g.nodes[g.holder()].Beat(context.Background(), req)
	if err != nil {
		return nil
	}
	return res
}

// quarantined reports whether the response quarantines just the part "bad".
func quarantined(res *sqrpc.BeatResponse) bool {
	return len(res.GetQuarantines()) == 1 && res.GetQuarantines()[0].GetTrait().GetId() == "bad" && res.GetQuarantines()[0].GetLeftMillis() > 0
}

func TestCrashesSeenByDifferentGatewaysAreNotJoined(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1, 2, 3)
	g.declare(4)
	assert.Equal(t, len(g.beat("g1", crashReport(0), crashReport(1)).GetQuarantines()), 0)
	g.beat("g2", crashReport(2))
	g.waitFor("the quarantine at a gateway that saw no crash", func() bool { return quarantined(g.beat("g3")) })
	g.stop(g.holder())
	g.waitFor("the quarantine at the next holder", func() bool { return quarantined(g.beat("g3")) })
}

func TestAnsweredPartStaysQuarantined(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1, 2, 3)
	g.declare(4)
	g.beat("g1", crashReport(0), crashReport(1), crashReport(2))
	g.waitFor("the quarantine", func() bool { return quarantined(g.beat("g1")) })
	time.Sleep(20 * time.Millisecond)
	req := newBeatRequest("g2", 0)
	req.Answers = []*sqrpc.TraitAnswer{{Trait: &sqrpc.Trait{Service: "engines", Id: "bad"}}}
	_, err := g.nodes[g.holder()].Beat(context.Background(), req)
	assert.NilError(t, err)
	g.waitFor("the release", func() bool {
		res := g.beat("g1")
		return res != nil && len(res.GetQuarantines()) == 0
	})
}

// TestEvidenceIsJudgedSeldom fails if each heartbeat makes the holder judge the evidence of
// all gateways again, or send suspects that the gateway has: after a rack of engines has
// crashed, that takes longer than all else in a heartbeat.
func TestEvidenceIsJudgedSeldom(t *testing.T) {
	t.Parallel()
	c := newGroup(t, 1).nodes[1].coordinator
	now := time.Unix(1000, 0)
	ts := newTermState(testLog(), now, 2, time.Second)
	beat := func(at time.Time, req *sqrpc.BeatRequest) *sqrpc.BeatResponse {
		res := &sqrpc.BeatResponse{}
		c.exchangeEvidence(at, ts, req, res)
		return res
	}
	first := beat(now, &sqrpc.BeatRequest{Number: 1, Crashes: []*sqrpc.CrashReport{crashReport(0)}})
	assert.Assert(t, len(first.GetSuspectList()) > 0 && first.GetSuspectRevision() != 0)
	assert.Equal(t, len(first.GetSuspects()), 0)
	decidedAt := ts.suspects.decidedAt
	soon := beat(now.Add(evidenceInterval/2), &sqrpc.BeatRequest{Number: 2, SuspectRevision: first.GetSuspectRevision(), Crashes: []*sqrpc.CrashReport{crashReport(1)}})
	assert.Equal(t, ts.suspects.decidedAt, decidedAt)
	assert.Equal(t, len(soon.GetSuspectList()), 0)
	later := beat(now.Add(evidenceInterval), &sqrpc.BeatRequest{Number: 3, SuspectRevision: first.GetSuspectRevision()})
	assert.Assert(t, ts.suspects.decidedAt.After(decidedAt))
	assert.Equal(t, later.GetSuspectRevision(), first.GetSuspectRevision(), "the suspects are the same")
	old := beat(now.Add(evidenceInterval), &sqrpc.BeatRequest{})
	assert.Assert(t, len(old.GetSuspects()) > 0, "gateways of the version before get them unencoded")
}
