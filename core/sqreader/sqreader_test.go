package sqreader

import (
	"math"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var zones = []string{"a", "b", "c"}

// newNodes draws a list of nodes with names that begin with prefix.
func newNodes(t *rapid.T, prefix string, minCount, maxCount int) []Node {
	list := make([]Node, rapid.IntRange(minCount, maxCount).Draw(t, prefix))
	for i := range list {
		list[i] = NewNode(prefix+strconv.Itoa(i), rapid.SampledFrom(zones).Draw(t, "zone"))
	}
	return list
}

// naiveReaders returns the readers of an endpoint by sorting all entries.
func naiveReaders(endpoint Node, entries []Node) []string {
	all := slices.Clone(entries)
	slices.SortStableFunc(all, func(a, b Node) int {
		nearA, nearB := a.Zone() == endpoint.Zone(), b.Zone() == endpoint.Zone()
		scoreA, scoreB := mix(endpoint.hash^mix(a.hash)), mix(endpoint.hash^mix(b.hash))
		if nearA && !nearB || nearA == nearB && scoreA > scoreB {
			return -1
		}
		return 1
	})
	var names []string
	for _, entry := range all[:min(PollersPerEndpoint, len(all))] {
		names = append(names, entry.Name())
	}
	return names
}

// readersPerEndpoint returns the names of the readers of each endpoint.
func readersPerEndpoint(entries, endpoints []Node) [][]string {
	all := make([][]string, len(endpoints))
	for _, entry := range entries {
		for i, assigned := range Assigned(entry.Name(), entries, endpoints) {
			if assigned {
				all[i] = append(all[i], entry.Name())
			}
		}
	}
	return all
}

func TestAssignedMatchesNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries, endpoints := newNodes(t, "entry", 0, 20), newNodes(t, "endpoint", 0, 40)
		for i, got := range readersPerEndpoint(entries, endpoints) {
			want := naiveReaders(endpoints[i], entries)
			assert.Equal(t, len(got), min(PollersPerEndpoint, len(entries)))
			slices.Sort(got)
			slices.Sort(want)
			assert.Assert(t, slices.Equal(got, want), "%v, naive %v", got, want)
		}
	})
}

func TestRemovedEntryKeepsOtherAssignments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries, endpoints := newNodes(t, "entry", 1, 20), newNodes(t, "endpoint", 0, 40)
		removed := rapid.IntRange(0, len(entries)-1).Draw(t, "gone")
		before := readersPerEndpoint(entries, endpoints)
		after := readersPerEndpoint(slices.Delete(slices.Clone(entries), removed, removed+1), endpoints)
		for i := range endpoints {
			for _, name := range before[i] {
				kept := name == entries[removed].Name() || slices.Contains(after[i], name)
				assert.Assert(t, kept, "%s no longer polls %s", name, endpoints[i].Name())
			}
		}
	})
}

// TestAssignmentIsBalanced checks the number of endpoints per entry for the fleet
// sizes of today and those planned, with entries and endpoints distributed evenly
// over the zones. The counts of a random choice stay within five standard
// deviations of the mean.
func TestAssignmentIsBalanced(t *testing.T) {
	for _, size := range []struct{ entries, endpoints int }{{8, 23}, {68, 220}, {340, 1100}} {
		mean := float64(PollersPerEndpoint*size.endpoints) / float64(size.entries)
		entries, endpoints := make([]Node, size.entries), make([]Node, size.endpoints)
		for i := range entries {
			entries[i] = NewNode("entry"+strconv.Itoa(i), zones[i%len(zones)])
		}
		for i := range endpoints {
			endpoints[i] = NewNode("engine"+strconv.Itoa(i), zones[i%len(zones)])
		}
		most := 0
		counts := map[string]int{}
		for _, names := range readersPerEndpoint(entries, endpoints) {
			for _, name := range names {
				counts[name]++
				most = max(most, counts[name])
			}
		}
		t.Logf("%d entries, %d endpoints: mean %.1f, most %d", size.entries, size.endpoints, mean, most)
		assert.Assert(t, float64(most) <= mean+5*math.Sqrt(mean), "an entry polls %d endpoints, the mean is %.1f", most, mean)
	}
}

var start = time.Unix(1000, 0)

// roundInterval is the time between two rounds.
const roundInterval = DefaultPollInterval / RoundsPerPoll

func TestFewEntriesPollAll(t *testing.T) {
	for _, n := range []int{0, 1, 23, 1100} {
		p := NewPlanner(Config{})
		states := make([]EndpointState, n)
		polls := make([]int, n)
		for r := range RoundsPerPoll * idleCycle(n) {
			due := p.PlanRound(start.Add(time.Duration(r)*roundInterval), PollersPerEndpoint, states).Read()
			assert.Assert(t, len(due) <= maxIdlePolls, "%d endpoints", n)
			for _, i := range due {
				polls[i]++
			}
		}
		for i := range polls {
			assert.Equal(t, polls[i], 1)
		}
	}
	p := NewPlanner(Config{})
	polls := 0
	for r := range 10 * RoundsPerPoll {
		now := start.Add(time.Duration(r) * roundInterval)
		polls += len(p.PlanRound(now, 1, []EndpointState{{OwnRequests: true, RespondedAt: now, ReportedAt: now}}).Read())
	}
	assert.Equal(t, polls, 10)
}

// busyFleet returns the states of n endpoints at an entry that has requests at all
// of them and is assigned the first ones.
func busyFleet(n, assigned int) []EndpointState {
	states := make([]EndpointState, n)
	for i := range states {
		states[i] = EndpointState{Assigned: i < assigned, OwnRequests: true, AnyRequests: true}
	}
	return states
}

// countPolls simulates a minute of rounds and returns the number of polls of each
// endpoint. A poll costs initialPollBytes. responds says whether an endpoint
// responds to requests and polls.
func countPolls(p *Planner, states []EndpointState, responds func(i int) bool) []int {
	polls := make([]int, len(states))
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(roundInterval) {
		for i := range states {
			if responds(i) {
				states[i].RespondedAt = now
			}
			states[i].ReportedAt = now
		}
		for _, i := range p.PlanRound(now, 68, states).Read() {
			polls[i]++
			states[i].PolledAt = now
			if responds(i) {
				states[i].RespondedAt = now
			}
		}
	}
	return polls
}

func TestLargeFleetStaysWithinBudget(t *testing.T) {
	for _, assigned := range []int{1, 7, 20, 100} {
		for _, responds := range []bool{true, false} {
			polls := countPolls(NewPlanner(Config{}), busyFleet(220, assigned), func(int) bool { return responds })
			sum := 0
			for i, n := range polls {
				sum += n
				if i < assigned {
					assert.Assert(t, n > 0, "endpoint %d of %d is never polled", i, assigned)
				}
			}
			bytes := float64(sum) * initialPollBytes / time.Minute.Seconds()
			assert.Assert(t, bytes < 1.2*DefaultBytesPerSecond, "%d assigned, responds %v: %.0f bytes/s", assigned, responds, bytes)
		}
	}
}

// TestSmallFleetPollsSilentEndpoint checks that an entry polls an endpoint that does
// not respond to its requests as often as an assigned one. Thus the loss of an
// engine is detected as fast as if every entry polled all endpoints.
func TestSmallFleetPollsSilentEndpoint(t *testing.T) {
	polls := countPolls(NewPlanner(Config{}), busyFleet(23, 6), func(i int) bool { return i != 22 })
	perMinute := int(time.Minute / DefaultPollInterval)
	for i, n := range polls {
		switch {
		case i < 6:
			assert.Equal(t, n, perMinute)
		case i < 22:
			assert.Equal(t, n, 0)
		default:
			assert.Equal(t, n, perMinute)
		}
	}
}

func TestSuspectIsPolledEveryInterval(t *testing.T) {
	p := NewPlanner(Config{BytesPerSecond: 1})
	states := busyFleet(220, 7)
	states[219].Suspect = true
	polls := 0
	for r := range 20 * RoundsPerPoll {
		now := start.Add(time.Duration(r) * roundInterval)
		if slices.Contains(p.PlanRound(now, 68, states).Read(), 219) {
			states[219].PolledAt = now
			polls++
		}
	}
	assert.Equal(t, polls, 20)
}

// TestEventPollsOnlyInSmallFleets checks that endpoints assigned to other entries
// are polled for cache events in a small fleet only, at a lower rate, and only
// while they have requests.
func TestEventPollsOnlyInSmallFleets(t *testing.T) {
	for _, tc := range []struct{ endpoints, perMinute int }{{23, int(time.Minute / (eventIntervals * DefaultPollInterval))}, {220, 0}} {
		p := NewPlanner(Config{})
		states := busyFleet(tc.endpoints, 7)
		states[8].OwnRequests, states[8].AnyRequests = false, false
		polls := make([]int, len(states))
		for now := start; now.Before(start.Add(time.Minute)); now = now.Add(roundInterval) {
			for i := range states {
				states[i].RespondedAt, states[i].ReportedAt = now, now
			}
			for _, i := range p.PlanRound(now, 68, states).EventPolls() {
				polls[i]++
				states[i].EventsPolledAt = now
			}
		}
		assert.Equal(t, polls[0], 0, "an assigned endpoint's events come with its load")
		assert.Equal(t, polls[8], 0, "an idle endpoint is not polled for events")
		assert.Equal(t, polls[9], tc.perMinute)
	}
}

func BenchmarkAssigned(b *testing.B) {
	entries, endpoints := make([]Node, 68), make([]Node, 220)
	for i := range entries {
		entries[i] = NewNode("entry"+strconv.Itoa(i), zones[i%len(zones)])
	}
	for i := range endpoints {
		endpoints[i] = NewNode("engine"+strconv.Itoa(i), zones[i%len(zones)])
	}
	for b.Loop() {
		Assigned("entry1", entries, endpoints)
	}
}
