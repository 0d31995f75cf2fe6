package sqentry

import (
	"testing"

	"gotest.tools/v3/assert"

	"sequoiadock/io/sqrpc"
)

// TestAddressesByLoad checks over many queries that entries are listed first in
// inverse proportion to their loads, and that no entry gets all callers or
// none.
func TestAddressesByLoad(t *testing.T) {
	tests := []struct {
		name  string
		loads []uint32
		want  []int
	}{
		{"equal", []uint32{3, 3, 3}, []int{2720, 2720, 2720}},
		{"one step apart", []uint32{1, 0, 0}, []int{1632, 3264, 3264}},
		{"far apart", []uint32{8, 1, 1}, []int{480, 3840, 3840}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var part []*sqrpc.EntryView
			for i, load := range tc.loads {
				part = append(part, &sqrpc.EntryView{Entry: string(rune('a' + i)), Load: load})
			}
			got := make([]int, len(part))
			for turn := range 8160 {
				list := orderForTurn(part, turn)
				assert.Equal(t, len(list), len(part))
				got[list[0].GetEntry()[0]-'a']++
				assert.Assert(t, list[1].GetLoad() <= list[2].GetLoad())
			}
			assert.DeepEqual(t, got, tc.want)
		})
	}
}

// TestLoadStep raises and lowers the load: small changes must not change the
// step, or the list of entries would be sent again each time.
func TestLoadStep(t *testing.T) {
	var l loadStep
	for _, tc := range []struct {
		running int64
		want    uint32
	}{
		{0, 0}, {15, 0}, {16, 1}, {14, 1}, {17, 1}, {12, 1}, {11, 0}, {16, 1}, {31, 1}, {64, 3}, {50, 3}, {47, 2}, {0, 0}, {1 << 20, maxLoadStep},
	} {
		assert.Equal(t, l.update(tc.running), tc.want, "%d running", tc.running)
	}
}
