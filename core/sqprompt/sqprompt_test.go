package sqprompt

import (
	"strconv"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// referenceHashBlocks computes the same result directly from the joined text.
func referenceHashBlocks(messages []Message) (blocks []uint64, words int) {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.role + ":" + m.content + "\n")
	}
	text, previous, start := b.String(), "", 0
	for i := 1; i < len(text); i++ {
		if !isSpace(text[i]) || isSpace(text[i-1]) {
			continue
		}
		words++
		if words%BlockWords == 0 {
			hash := xxhash.Sum64String(previous + text[start:i])
			blocks = append(blocks, hash)
			previous, start = strconv.FormatUint(hash, 16), i
		}
	}
	return blocks, words
}

func TestHashBlocksMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var messages []Message
		for range rapid.IntRange(0, 4).Draw(t, "messages") {
			unit := rapid.SampledFrom([]string{"a ", "bc\n", "d\t \n", "é  "}).Draw(t, "unit")
			n := rapid.IntRange(0, 1500).Draw(t, "repeats")
			tail := rapid.SampledFrom([]string{"", "end", " "}).Draw(t, "tail")
			messages = append(messages, NewMessage("user", strings.Repeat(unit, n)+tail))
		}
		blocks, words := HashBlocks(messages)
		wantBlocks, wantWords := referenceHashBlocks(messages)
		assert.Equal(t, words, wantWords)
		assert.DeepEqual(t, blocks, wantBlocks)
	})
}
