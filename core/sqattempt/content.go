package sqattempt

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
)

// Content is what all attempts at the same request have in common, whichever gateway they
// come to and whatever identity they have.
type Content struct {
	// Caller is the team, or the API key of a caller without one.
	Caller string
	Method string
	Host   string
	// Target is the path with the query.
	Target string
	Prompt *Prompt
	Body   []byte
}

// contentHashBytes is the length of the hash that Hash returns in hexadecimal.
const contentHashBytes = 16

// Hash returns a hash of the content. Two requests with different contents have different
// hashes, also if a caller chooses both.
func (c *Content) Hash() string {
	var fields strings.Builder
	add := func(field string) {
		fields.WriteString(strconv.Itoa(len(field)))
		fields.WriteByte(':')
		fields.WriteString(field)
	}
	add(c.Caller)
	add(c.Method)
	add(strings.ToLower(c.Host))
	add(c.Target)
	add(c.Prompt.Model)
	for _, p := range c.Prompt.Parts {
		add(p.ID)
	}
	h := sha256.New()
	// Writes to a hash return no errors.
	_, _ = h.Write([]byte(fields.String()))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(c.Body)
	return hex.EncodeToString(h.Sum(nil)[:contentHashBytes])
}
