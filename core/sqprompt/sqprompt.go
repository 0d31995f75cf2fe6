// Package sqprompt splits prompts into the blocks of the engines' prefix caches
// and counts their words.
package sqprompt

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// BlockWords is the number of words in one prefix cache block. A word counts as
// one token.
const BlockWords = 1000

// Message is one message of a prompt.
type Message struct {
	role, content string
}

// NewMessage returns a message with a role, such as "user", and its text.
func NewMessage(role, content string) Message {
	return Message{role: role, content: content}
}

// HashBlocks returns the hashes of the complete blocks of the messages' text,
// in order, and the number of words in the whole text. A hash also covers all
// blocks before it.
func HashBlocks(messages []Message) (blocks []uint64, words int) {
	h := blockHasher{digest: xxhash.New()}
	for i := range messages {
		h.write(messages[i].role)
		h.write(":")
		h.write(messages[i].content)
		h.write("\n")
	}
	return h.blocks, h.words
}

// blockHasher takes the text in parts, so that a long prompt is not copied.
type blockHasher struct {
	digest *xxhash.Digest
	blocks []uint64
	words  int
	inWord bool
}

func (h *blockHasher) write(s string) {
	start := 0
	for i := range len(s) {
		if !isSpace(s[i]) {
			h.inWord = true
			continue
		}
		if !h.inWord {
			continue
		}
		h.inWord = false
		h.words++
		if h.words%BlockWords == 0 {
			_, _ = h.digest.WriteString(s[start:i])
			start = i
			h.endBlock()
		}
	}
	_, _ = h.digest.WriteString(s[start:])
}

// endBlock hashes a block together with the previous hash, so that equal
// prefixes have equal hashes.
func (h *blockHasher) endBlock() {
	hash := h.digest.Sum64()
	h.blocks = append(h.blocks, hash)
	h.digest.Reset()
	_, _ = h.digest.WriteString(strconv.FormatUint(hash, 16))
}

func isSpace(c byte) bool { return c == ' ' || c == '\n' || c == '\t' }

// ModelBlockHash returns a block's hash for one model: engines that hold the
// same text for another model do not hold it for this one.
func ModelBlockHash(model string, block uint64) uint64 {
	return block ^ xxhash.Sum64String(model)
}
