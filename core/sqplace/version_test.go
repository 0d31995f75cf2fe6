package sqplace

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// versionedPlacer returns a placer with engines of the versions v0 and v1: even numbers
// prefill, odd ones decode, and the first half has version v0.
func versionedPlacer(t *testing.T) *Placer {
	t.Helper()
	p := newPlacer(t)
	var list []Endpoint
	for i := range 8 {
		stage := Prefill
		if i%2 == 1 {
			stage = Decode
		}
		list = append(list, NewEndpoint(EndpointConfig{
			ID: "e" + strconv.Itoa(i), Service: "engines", Zone: "a", Slots: 16, Stage: stage, Version: "v" + strconv.Itoa(i/4),
		}))
	}
	p.SetEndpoints(list)
	return p
}

func TestPrefillAndDecodeOfTwoVersions(t *testing.T) {
	p := versionedPlacer(t)
	remote := 0
	for i := range 200 {
		q := engineQuery("subject"+strconv.Itoa(i), 12000, 500)
		c := p.Choose(start, q)
		assert.Assert(t, c.Endpoint != nil)
		if c.PrefillEndpoint == nil {
			continue
		}
		remote++
		assert.Equal(t, c.Endpoint.Version(), c.PrefillEndpoint.Version())
		q.SameVersion, q.Version = true, c.PrefillEndpoint.Version()
		assert.Equal(t, p.ChooseDecode(start, q).Endpoint.Version(), q.Version)
	}
	assert.Assert(t, remote > 0)
}

func TestStreamIsTakenUpAtAnotherVersion(t *testing.T) {
	p := versionedPlacer(t)
	for i := range 100 {
		q := engineQuery("s"+strconv.Itoa(i), 12000, 500)
		q.SameVersion, q.Version = true, "v"+strconv.Itoa(i%2)
		assert.Equal(t, p.Choose(start, q).Endpoint.Version(), q.Version)
	}
}

// TestNoEndpointOfTheVersionIsLeft checks that the request is refused without a time to
// come back, also if the last endpoint of the version is draining.
func TestNoEndpointOfTheVersionIsLeft(t *testing.T) {
	p := versionedPlacer(t)
	for _, version := range []string{"v2", ""} {
		q := engineQuery("s", 12000, 500)
		q.SameVersion, q.Version = true, version
		c := p.Choose(start, q)
		assert.Assert(t, c.Endpoint == nil)
		assert.Equal(t, c.RetryAfter, time.Duration(0))
		assert.Equal(t, c.Reason, "no endpoint of version "+strconv.Quote(version)+" is left, which began the stream")
	}
}
