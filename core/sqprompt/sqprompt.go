// Package sqprompt measures a prompt as the engines' prefix caches see it.
package sqprompt

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// BlockWords is the number of words in one piece of the prefix cache. A token
// is a word here.
const BlockWords = 1000

// Message is one message of a prompt.
type Message struct {
	role, content string
}

// NewMessage returns a message.
func NewMessage(role, content string) Message {
	return Message{role: role, content: content}
}

// HashBlocks returns the names of the whole pieces of the messages' text, in
// order, and the number of words in all of it.
func HashBlocks(messages []Message) (pieces []uint64, words int) {
	m := measurer{digest: xxhash.New()}
	for i := range messages {
		m.write(messages[i].role)
		m.write(":")
		m.write(messages[i].content)
		m.write("\n")
	}
	return m.pieces, m.words
}

// measurer takes the text in parts, so that a long prompt is not copied.
type measurer struct {
	digest *xxhash.Digest
	pieces []uint64
	words  int
	inWord bool
}

func (m *measurer) write(s string) {
	start := 0
	for i := range len(s) {
		if !isSpace(s[i]) {
			m.inWord = true
			continue
		}
		if !m.inWord {
			continue
		}
		m.inWord = false
		m.words++
		if m.words%BlockWords == 0 {
			_, _ = m.digest.WriteString(s[start:i])
			start = i
			m.endPiece()
		}
	}
	_, _ = m.digest.WriteString(s[start:])
}

// endPiece names a piece by the previous name and the piece's text, so that
// equal prefixes have equal names.
func (m *measurer) endPiece() {
	name := m.digest.Sum64()
	m.pieces = append(m.pieces, name)
	m.digest.Reset()
	_, _ = m.digest.WriteString(strconv.FormatUint(name, 16))
}

func isSpace(c byte) bool { return c == ' ' || c == '\n' || c == '\t' }

// ModelBlockHash returns a piece's name within a model: engines that hold the same text
// for another model do not hold it for this one.
func ModelBlockHash(model string, piece uint64) uint64 {
	return piece ^ xxhash.Sum64String(model)
}
