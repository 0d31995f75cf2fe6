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

// TestTakeOver kills the holder while orders to engines are open, alone and
// together with an entry, at default settings. The next one must give orders to
// engines within the bound; when every entry lives, also orders that it planned
// itself.
func TestTakeOver(t *testing.T) {
	t.Parallel()
	t.Run("holder", func(t *testing.T) { takeOver(t, false) })
	t.Run("holderAndEntry", func(t *testing.T) { takeOver(t, true) })
}

// takeOverHalf lets the demand turn between the kill, soon after the first
// orders, and the first planning of the new holder, and not again before.
const takeOverHalf = 3 * time.Second

func takeOver(t *testing.T, killEntry bool) {
	t.Parallel()
	cfg := restless()
	cfg.ControlTiming, cfg.EntryTiming = nil, nil
	cfg.EntryCount = 3
	c := start(t, cfg)
	swingEvery(t, c, takeOverHalf)
	eventually(t, c, "orders are open", func() bool { return openFor(t, c, engineIDs(c)...) > 0 })
	n := holder(t, c)
	_, term := orders(record(t, c))
	killed := time.Now()
	n.Kill()
	if killEntry {
		c.Entries()[0].Kill()
	}
	eventually(t, c, "a new holder gives orders", func() bool { _, newest := orders(record(t, c)); return newest > term })
	first := time.Since(killed)
	eventually(t, c, "it plans orders itself", func() bool { return ownOrder(record(t, c), term) })
	own := time.Since(killed)
	t.Logf("an order of a new holder after %v, one that it planned after %v", first.Round(time.Millisecond), own.Round(time.Millisecond))
	assert.Assert(t, first < newHolderBound)
	assert.Assert(t, killEntry || own < newHolderBound)
	judge(t, record(t, c))
}

// ownOrder returns whether an engine received an order of a later term that was
// opened in that term.
func ownOrder(entries []sqrecord.Entry, term uint64) bool {
	for _, e := range entries {
		opened := strings.HasPrefix(e.OrderID, "order-"+strconv.FormatUint(e.FencingTerm, 10)+"-")
		if e.Kind == sqrecord.OrderReceived && !sqjudge.IsPlatformOrder(e) && e.FencingTerm > term && opened {
			return true
		}
	}
	return false
}
