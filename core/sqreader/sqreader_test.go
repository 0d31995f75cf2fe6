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

func places(t *rapid.T, prefix string, least, most int) []Node {
	list := make([]Node, rapid.IntRange(least, most).Draw(t, prefix))
	for i := range list {
		list[i] = NewNode(prefix+strconv.Itoa(i), rapid.SampledFrom(zones).Draw(t, "zone"))
	}
	return list
}

// naiveReaders sorts all entries.
func naiveReaders(e Node, entries []Node) []string {
	all := slices.Clone(entries)
	slices.SortStableFunc(all, func(a, b Node) int {
		nearA, nearB := a.Zone() == e.Zone(), b.Zone() == e.Zone()
		scoreA, scoreB := mix(e.hash^mix(a.hash)), mix(e.hash^mix(b.hash))
		if nearA && !nearB || nearA == nearB && scoreA > scoreB {
			return -1
		}
		return 1
	})
	var names []string
	for _, n := range all[:min(ReadersPerEndpoint, len(all))] {
		names = append(names, n.Name())
	}
	return names
}

func readersOf(entries, endpoints []Node) [][]string {
	all := make([][]string, len(endpoints))
	for _, e := range entries {
		for i, mine := range Assigned(e.Name(), entries, endpoints) {
			if mine {
				all[i] = append(all[i], e.Name())
			}
		}
	}
	return all
}

func TestMineAgreesWithNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries, endpoints := places(t, "entry", 0, 20), places(t, "endpoint", 0, 40)
		for i, got := range readersOf(entries, endpoints) {
			want := naiveReaders(endpoints[i], entries)
			assert.Equal(t, len(got), min(ReadersPerEndpoint, len(entries)))
			slices.Sort(got)
			slices.Sort(want)
			assert.Assert(t, slices.Equal(got, want), "%v, naive %v", got, want)
		}
	})
}

func TestLeavingEntryMovesOnlyItsOwn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries, endpoints := places(t, "entry", 1, 20), places(t, "endpoint", 0, 40)
		gone := rapid.IntRange(0, len(entries)-1).Draw(t, "gone")
		before := readersOf(entries, endpoints)
		after := readersOf(slices.Delete(slices.Clone(entries), gone, gone+1), endpoints)
		for i := range endpoints {
			for _, name := range before[i] {
				stays := name == entries[gone].Name() || slices.Contains(after[i], name)
				assert.Assert(t, stays, "%s no longer reads %s", name, endpoints[i].Name())
			}
		}
	})
}

// TestReadingIsSpread holds the bound for the sizes that run today and are
// planned, with entries and endpoints evenly over the zones. Counts of a random
// choice stay within five standard deviations of the mean.
func TestReadingIsSpread(t *testing.T) {
	for _, size := range []struct{ entries, endpoints int }{{8, 23}, {68, 220}, {340, 1100}} {
		mean := float64(ReadersPerEndpoint*size.endpoints) / float64(size.entries)
		entries, endpoints := make([]Node, size.entries), make([]Node, size.endpoints)
		for i := range entries {
			entries[i] = NewNode("entry"+strconv.Itoa(i), zones[i%len(zones)])
		}
		for i := range endpoints {
			endpoints[i] = NewNode("engine"+strconv.Itoa(i), zones[i%len(zones)])
		}
		most := 0
		counts := map[string]int{}
		for _, names := range readersOf(entries, endpoints) {
			for _, name := range names {
				counts[name]++
				most = max(most, counts[name])
			}
		}
		t.Logf("%d entries, %d endpoints: mean %.1f, most %d", size.entries, size.endpoints, mean, most)
		assert.Assert(t, float64(most) <= mean+5*math.Sqrt(mean), "%d of a mean of %.1f", most, mean)
	}
}

var start = time.Unix(1000, 0)

// round is the time between two rounds.
const round = DefaultPollInterval / RoundsPerPoll

func TestAloneReadsAll(t *testing.T) {
	for _, n := range []int{0, 1, 23, 1100} {
		p := NewPlanner(Config{})
		states := make([]EndpointState, n)
		read := make([]int, n)
		for r := range RoundsPerPoll * idleTurns(n) {
			due := p.PlanRound(start.Add(time.Duration(r)*round), ReadersPerEndpoint, states).Read()
			assert.Assert(t, len(due) <= idlePerRound, "%d endpoints", n)
			for _, i := range due {
				read[i]++
			}
		}
		for i := range read {
			assert.Equal(t, read[i], 1)
		}
	}
	p := NewPlanner(Config{})
	read := 0
	for r := range 10 * RoundsPerPoll {
		now := start.Add(time.Duration(r) * round)
		read += len(p.PlanRound(now, 1, []EndpointState{{OwnRequests: true, RespondedAt: now, ReportedAt: now}}).Read())
	}
	assert.Equal(t, read, 10)
}

// fleetOf returns the states of an entry that reads some of a fleet on which all
// works, and whose own work there gives signs of life.
func fleetOf(n, mine int) []EndpointState {
	states := make([]EndpointState, n)
	for i := range states {
		states[i] = EndpointState{Assigned: i < mine, OwnRequests: true, AnyRequests: true}
	}
	return states
}

// rounds plays a minute and returns the readings of each endpoint. A reading
// costs the first guess. alive says whether work at an endpoint gives signs.
func rounds(p *Planner, states []EndpointState, alive func(i int) bool) []int {
	read := make([]int, len(states))
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(round) {
		for i := range states {
			if alive(i) {
				states[i].RespondedAt = now
			}
			states[i].ReportedAt = now
		}
		for _, i := range p.PlanRound(now, 68, states).Read() {
			read[i]++
			states[i].PolledAt = now
			if alive(i) {
				states[i].RespondedAt = now
			}
		}
	}
	return read
}

func TestLargeFleetKeepsTheBudget(t *testing.T) {
	for _, mine := range []int{1, 7, 20, 100} {
		for _, alive := range []bool{true, false} {
			read := rounds(NewPlanner(Config{}), fleetOf(220, mine), func(int) bool { return alive })
			sum := 0
			for i, n := range read {
				sum += n
				if i < mine {
					assert.Assert(t, n > 0, "endpoint %d of %d is never read", i, mine)
				}
			}
			bytes := float64(sum) * readCost / time.Minute.Seconds()
			assert.Assert(t, bytes < 1.2*DefaultBytesPerSecond, "%d own, signs of life %v: %.0f bytes a second", mine, alive, bytes)
		}
	}
}

// TestSmallFleetIsReadAtOnce holds that the loss of an engine is found as fast
// as when every entry read all: work without a sign of life is asked after in
// the next round.
func TestSmallFleetIsReadAtOnce(t *testing.T) {
	read := rounds(NewPlanner(Config{}), fleetOf(23, 6), func(i int) bool { return i != 22 })
	perMinute := int(time.Minute / DefaultPollInterval)
	for i, n := range read {
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

func TestSuspectIsReadInEachRound(t *testing.T) {
	p := NewPlanner(Config{BytesPerSecond: 1})
	states := fleetOf(220, 7)
	states[219].Suspect = true
	read := 0
	for r := range 20 * RoundsPerPoll {
		now := start.Add(time.Duration(r) * round)
		if slices.Contains(p.PlanRound(now, 68, states).Read(), 219) {
			states[219].PolledAt = now
			read++
		}
	}
	assert.Equal(t, read, 20)
}

// TestEventsOfOthersAreReadInSmallFleetsOnly: those of engines with work, at a
// slower rate.
func TestEventsOfOthersAreReadInSmallFleetsOnly(t *testing.T) {
	for _, tc := range []struct{ endpoints, perMinute int }{{23, int(time.Minute / (eventsFactor * DefaultPollInterval))}, {220, 0}} {
		p := NewPlanner(Config{})
		states := fleetOf(tc.endpoints, 7)
		states[8].OwnRequests, states[8].AnyRequests = false, false
		read := make([]int, len(states))
		for now := start; now.Before(start.Add(time.Minute)); now = now.Add(round) {
			for i := range states {
				states[i].RespondedAt, states[i].ReportedAt = now, now
			}
			for _, i := range p.PlanRound(now, 68, states).EventPolls() {
				read[i]++
				states[i].EventsPolledAt = now
			}
		}
		assert.Equal(t, read[0], 0, "its own come with the load")
		assert.Equal(t, read[8], 0, "no work, no events")
		assert.Equal(t, read[9], tc.perMinute)
	}
}

func BenchmarkMine(b *testing.B) {
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
