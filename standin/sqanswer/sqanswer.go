// Package sqanswer computes a deterministic answer from a completion request.
// A test can recompute it to check that every token arrived exactly once, in
// order and for the right request. Each token is one word.
package sqanswer

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// BlockWords is the number of words in one block of the prefix cache.
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

// PromptText joins the messages into the text that the prefix cache is keyed by.
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

// Answer is the complete expected answer to one prompt.
type Answer struct {
	seed   uint64
	length int
	finish string
}

// New returns the answer of a model to the prompt text. One in four answers
// finishes with FinishStop at three quarters of maxTokens.
func New(model, text string, maxTokens int) Answer {
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	_, _ = digest.WriteString("\n")
	_, _ = digest.WriteString(text)
	a := Answer{seed: digest.Sum64(), length: max(1, maxTokens), finish: FinishLength}
	if a.seed%4 == 0 && a.length > 3 {
		a.length -= a.length / 4
		a.finish = FinishStop
	}
	return a
}

// Len returns the number of tokens.
func (a Answer) Len() int { return a.length }

// FinishReason returns the finish reason of the complete answer.
func (a Answer) FinishReason() string { return a.finish }

// Token returns the token at a position, including its trailing space.
func (a Answer) Token(position int) string {
	h := (a.seed ^ uint64(position)*0x9E3779B97F4A7C15) * 0xBF58476D1CE4E5B9
	return "w" + strconv.FormatUint(h>>32, 36) + " "
}

// Tokens returns the concatenated tokens of the positions i with from <= i < to.
func (a Answer) Tokens(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(a.Token(i))
	}
	return b.String()
}

// PrefixBlocks returns the hashes of the full blocks of the text, in order, and
// the number of words in the text. Each hash also covers the preceding blocks.
func PrefixBlocks(text string) (hashes []string, words int) {
	previous := ""
	start := 0
	inWord := false
	for i := 0; i <= len(text); i++ {
		atSpace := i == len(text) || text[i] == ' ' || text[i] == '\n' || text[i] == '\t'
		if !atSpace {
			inWord = true
			continue
		}
		if !inWord {
			continue
		}
		inWord = false
		words++
		if words%BlockWords == 0 {
			previous = blockHash(previous, text[start:i])
			hashes = append(hashes, previous)
			start = i
		}
	}
	return hashes, words
}

func blockHash(previous, text string) string {
	return strconv.FormatUint(xxhash.Sum64String(previous+text), 16)
}
