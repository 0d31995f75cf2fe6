package sqkey

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestWellFormed(t *testing.T) {
	expect := func(key string, want bool) {
		t.Helper()
		assert.Equal(t, WellFormed(key), want, "WellFormed of a key of %d bytes", len(key))
	}
	expect("", false)
	expect(strings.Repeat("a", MinLength-1), false)
	expect(strings.Repeat("a", MinLength), true)
	expect(strings.Repeat("a", MaxLength), true)
	expect(strings.Repeat("a", MaxLength+1), false)
	expect("abcdefgh-_.~+/=0123", true)
	expect("abcdefgh 0123456789", false)
	expect("abcdefgh,0123456789", false)
	expect("abcdefgh\n0123456789", false)
	expect("abcdefghé0123456789", false)
}

// TestFindMatchesLinearScan compares Find with a scan over all grants. Many of
// the hashes share their first bytes and so their bucket.
func TestFindMatchesLinearScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hashes := rapid.SliceOfN(rapid.Custom(drawHash), 0, 20).Draw(t, "hashes")
		var grants []Grant
		for i, h := range hashes {
			grants = append(grants, Grant{ID: string(rune('a' + i)), Hash: h})
		}
		table := New(Config{Grants: grants})
		assert.Equal(t, table.Len(), len(grants))
		hash := rapid.Custom(drawHash).Draw(t, "probe")
		want, wantOK := Grant{}, false
		for _, g := range grants {
			if g.Hash == hash {
				want, wantOK = g, true
			}
		}
		got, ok := table.Find(hash)
		assert.Equal(t, ok, wantOK)
		assert.Equal(t, got, want)
	})
}

func drawHash(t *rapid.T) Hash {
	var h Hash
	h[0] = byte(rapid.IntRange(0, 1).Draw(t, "first"))
	h[len(h)-1] = byte(rapid.IntRange(0, 2).Draw(t, "last"))
	return h
}

func BenchmarkFind(b *testing.B) {
	var grants []Grant
	for i := range 1000 {
		grants = append(grants, Grant{ID: "k", Hash: Sum(strings.Repeat("k", i+1))})
	}
	table := New(Config{Grants: grants})
	h := Sum(strings.Repeat("k", 500))
	b.ReportAllocs()
	for b.Loop() {
		table.Find(h)
	}
}
