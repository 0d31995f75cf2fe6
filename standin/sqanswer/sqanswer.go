// Package sqanswer derives an engine's answer from its request, so that a test
// can tell whether every token arrived, once, in order and from the right
// request. A token is a word.
package sqanswer

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BlockWords is the number of words in one piece of the prefix cache.
const BlockWords = 1000

// Finish reasons of an answer.
const (
	FinishStop      = "stop"
	FinishLength    = "length"
	FinishPrefilled = "prefilled"
)

// Message is one message of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// PromptText joins the messages as the prefix cache sees them.
func PromptText(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteByte(':')
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// Answer is the whole right answer to one prompt.
type Answer struct {
	seed   uint64
	length int
	finish string
}

// New returns the answer of a model to the prompt text. One in four answers
// stops by itself at three quarters of maxTokens.
func New(model, text string, maxTokens int) Answer {
	d := xxhash.New()
	_, _ = d.WriteString(model)
	_, _ = d.WriteString("\n")
	_, _ = d.WriteString(text)
	a := Answer{seed: d.Sum64(), length: max(1, maxTokens), finish: FinishLength}
	if a.seed%4 == 0 && a.length > 3 {
		a.length -= a.length / 4
		a.finish = FinishStop
	}
	return a
}

// Len returns the number of tokens.
func (a Answer) Len() int { return a.length }

// FinishReason returns the finish reason of the whole answer.
func (a Answer) FinishReason() string { return a.finish }

// Token returns the token at a position, with its trailing space.
func (a Answer) Token(position int) string {
	h := (a.seed ^ uint64(position)*0x9E3779B97F4A7C15) * 0xBF58476D1CE4E5B9
	return "w" + strconv.FormatUint(h>>32, 36) + " "
}

// Tokens returns the tokens from one position to before another.
func (a Answer) Tokens(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(a.Token(i))
	}
	return b.String()
}

// PrefixBlocks returns the names of the whole pieces of the text, in order, and the
// number of words in all of it.
func PrefixBlocks(text string) (names []string, words int) {
	previous := ""
	start := 0
	inWord := false
	for i := 0; i <= len(text); i++ {
		space := i == len(text) || text[i] == ' ' || text[i] == '\n' || text[i] == '\t'
		if !space {
			inWord = true
			continue
		}
		if !inWord {
			continue
		}
		inWord = false
		words++
		if words%BlockWords == 0 {
			previous = pieceName(previous, text[start:i])
			names = append(names, previous)
			start = i
		}
	}
	return names, words
}

func pieceName(previous, text string) string {
	return strconv.FormatUint(xxhash.Sum64String(previous+text), 16)
}
