package authority

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqjudge"
	"sequoiadock/standin/sqrecord"
)

// TestTakeOver kills the lease holder while orders to engines are open, alone and
// together with an entry, at default settings. The next lease holder must send
// orders to engines within maxTakeOverTime. If every entry runs, it must within
// that time also send an order that it planned itself.
func TestTakeOver(t *testing.T) {
	t.Parallel()
	t.Run("holder", func(t *testing.T) { testTakeOver(t, false) })
	t.Run("holderAndEntry", func(t *testing.T) { testTakeOver(t, true) })
}

// takeOverHalfPeriod is half the period of the demand in TestTakeOver. It lets the
// demand change once between the kill, soon after the first orders, and the new
// lease holder's first planning.
const takeOverHalfPeriod = 3 * time.Second

func testTakeOver(t *testing.T, killEntry bool) {
	t.Parallel()
	cfg := frequentOrdersConfig()
	cfg.ControlTiming, cfg.EntryTiming = nil, nil
	cfg.EntryCount = 3
	c := start(t, cfg)
	startSwingingLoadEvery(t, c, takeOverHalfPeriod)
	eventually(t, c, "orders are open", func() bool { return countOpenOrders(t, c, engineIDs(c)...) > 0 })
	n := waitHolder(t, c)
	_, term := engineOrders(records(t, c))
	killed := time.Now()
	n.Kill()
	if killEntry {
		c.Entries()[0].Kill()
	}
	eventually(t, c, "a new holder sends orders", func() bool { _, newest := engineOrders(records(t, c)); return newest > term })
	firstAfter := time.Since(killed)
	eventually(t, c, "the new holder sends an order that it planned", func() bool { return hasOwnOrder(records(t, c), term) })
	ownAfter := time.Since(killed)
	t.Logf("first order after %v, first own order after %v", firstAfter.Round(time.Millisecond), ownAfter.Round(time.Millisecond))
	assert.Assert(t, firstAfter < maxTakeOverTime)
	assert.Assert(t, killEntry || ownAfter < maxTakeOverTime)
	assertNoViolations(t, records(t, c))
}

// hasOwnOrder returns whether an engine received an order of a term later than the
// given one that was also opened in that later term.
func hasOwnOrder(entries []sqrecord.Entry, term uint64) bool {
	for _, e := range entries {
		opened := strings.HasPrefix(e.OrderID, "order-"+strconv.FormatUint(e.FencingTerm, 10)+"-")
		if e.Kind == sqrecord.OrderReceived && !sqjudge.IsPlatformOrder(e) && e.FencingTerm > term && opened {
			return true
		}
	}
	return false
}
