package sqquota

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// benchAccount returns the account of a gateway with 84 teams whose reserves are full.
func benchAccount(now time.Time) (*Account, []string) {
	a := NewAccount(modelBounds)
	quotas, teams := map[string]Quota{}, []string{}
	for i := range 84 {
		team := fmt.Sprint("team-", i)
		teams = append(teams, team)
		quotas[team] = Quota{RatePerS: 500_000, Burst: 500_000}
	}
	a.SetQuotas(quotas)
	for _, at := range []time.Time{now.Add(-joinDelay), now.Add(-joinDelay / 2), now} {
		a.Apply(at, at, 1, nil, nil)
	}
	a.SetGateways(now, 84)
	var refills []Refill
	for _, r := range a.Reports() {
		refills = append(refills, Refill{r.Team, r.Wanted})
	}
	a.Apply(now, now, 1, nil, refills)
	return a, teams
}

// BenchmarkCharge measures the charge of a request at a gateway with 84 teams: one that the
// reserve covers, one for which the holder must be asked, and one of a team that has no quota.
func BenchmarkCharge(b *testing.B) {
	now := time.Unix(1000, 0)
	for name, units := range map[string]uint64{"reserve": 400, "ask": 17_000, "none": 0} {
		b.Run(name, func(b *testing.B) {
			a, teams := benchAccount(now)
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				n++
				team := teams[n%len(teams)]
				if verdict, _ := a.Charge(now, team, units); verdict == Charged {
					a.GiveBack(team, units)
				}
			}
		})
	}
}

// BenchmarkAccountMemory measures the memory of an account of 84 teams and the reports of a
// heartbeat.
func BenchmarkAccountMemory(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	const accounts = 100
	kept := make([]*Account, 0, accounts)
	for range accounts {
		a, _ := benchAccount(time.Unix(1000, 0))
		kept = append(kept, a)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		kept[0].Reports()
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/accounts, "B/account")
	runtime.KeepAlive(kept)
}
