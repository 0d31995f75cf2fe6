package sqanswer

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestEqualPrefixesHaveEqualBlocks(t *testing.T) {
	shared := strings.Repeat("catalogue ", 2*BlockWords)
	a, words := PrefixBlocks(PromptText([]Message{{Role: "user", Content: shared + "first"}}))
	b, _ := PrefixBlocks(PromptText([]Message{{Role: "user", Content: shared + "second question"}}))
	assert.Equal(t, words, 2*BlockWords+1)
	assert.DeepEqual(t, a, b)
	assert.Equal(t, len(a), 2)
}

func TestAnswersDiffer(t *testing.T) {
	a := New("m", "one", 50)
	assert.Assert(t, a.Tokens(0, 50) != New("m", "two", 50).Tokens(0, 50))
	assert.Assert(t, a.Tokens(0, 50) != New("n", "one", 50).Tokens(0, 50))
	assert.Equal(t, a.Tokens(0, 10)+a.Tokens(10, 50), a.Tokens(0, 50))
}
