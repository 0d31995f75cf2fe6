package sqendpoint

import (
	"bytes"
	"math"
	"strconv"
)

// template holds the constant parts of the events of one stream. Most events of a
// stream differ only in their position and content, so that these two can be cut
// out without JSON decoding, which costs more than all other work for a token.
type template struct {
	prefix, middle, suffix []byte
	id                     string
}

var (
	positionKey = []byte(`"position":`)
	contentKey  = []byte(`"content":"`)
)

// newTemplate returns the template of a decoded event, or nil if the position and
// the content cannot be located in data unambiguously.
func newTemplate(data []byte, e *Event) *template {
	if e.Finish != "" || e.Usage != nil || !isUnescapedASCII([]byte(e.Content)) {
		return nil
	}
	position := append(bytes.Clone(positionKey), strconv.FormatInt(e.Position, 10)...)
	content := append(append(bytes.Clone(contentKey), e.Content...), '"')
	posIdx, contentIdx := bytes.Index(data, position), bytes.Index(data, content)
	if bytes.Count(data, positionKey) != 1 || bytes.Count(data, contentKey) != 1 || posIdx < 0 || contentIdx < posIdx {
		return nil
	}
	data = bytes.Clone(data)
	t := &template{
		id:     e.ID,
		prefix: data[:posIdx+len(positionKey)],
		middle: data[posIdx+len(position) : contentIdx+len(contentKey)],
		suffix: data[contentIdx+len(content)-1:],
	}
	if len(t.middle) == 0 || isDigit(t.middle[0]) {
		return nil
	}
	return t
}

// match parses data into e if data fits the template. It returns false otherwise;
// the event must then be decoded as JSON.
func (t *template) match(data []byte, e *Event) bool {
	rest, ok := bytes.CutPrefix(data, t.prefix)
	if !ok {
		return false
	}
	position, rest, ok := parseNumber(rest)
	if !ok {
		return false
	}
	if rest, ok = bytes.CutPrefix(rest, t.middle); !ok {
		return false
	}
	content, ok := bytes.CutSuffix(rest, t.suffix)
	if !ok || !isUnescapedASCII(content) {
		return false
	}
	*e = Event{ID: t.id, Position: position, Content: string(content)}
	return true
}

// parseNumber parses the non-negative JSON integer at the start of data, without
// leading zeros, and returns the rest of data.
func parseNumber(data []byte) (int64, []byte, bool) {
	var n int64
	i := 0
	for ; i < len(data) && isDigit(data[i]); i++ {
		if n > (math.MaxInt64-9)/10 {
			return 0, nil, false
		}
		n = 10*n + int64(data[i]-'0')
	}
	if i == 0 || i > 1 && data[0] == '0' {
		return 0, nil, false
	}
	return n, data[i:], true
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// isUnescapedASCII reports whether s is printable ASCII that needs no escaping in a
// JSON string.
func isUnescapedASCII(s []byte) bool {
	for _, c := range s {
		if c < ' ' || c >= 0x7f || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}
