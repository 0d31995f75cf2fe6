package sqtoml

import (
	"bytes"
	"errors"
	"regexp"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Patterns for lines that the parser may not be able to read. headerStart and
// keyStart match the beginning of an expression. multilineStart matches a key whose
// value may continue on the next lines.
var (
	headerStart    = regexp.MustCompile(`^\s*(\[\[?)\s*([\w.-]+)`)
	headerLine     = regexp.MustCompile(`^\s*\[\[?\s*[\w.-]+\s*(\]\]?)?\s*(#.*)?$`)
	keyStart       = regexp.MustCompile(`^\s*([\w-]+)\s*(=|$)`)
	keyLine        = regexp.MustCompile(`^\s*[\w.-]+\s*=`)
	blankLine      = regexp.MustCompile(`^\s*(#.*)?$`)
	multilineStart = regexp.MustCompile(`=.*([\[{]|"""|''')`)
)

// syntaxError describes an expression that does not parse.
type syntaxError struct {
	pos     position
	message string
	// key is the key at the beginning of the expression, or "".
	key string
	// firstRemoved and lastRemoved are the first and last line that were removed.
	// Both are 0 if the expression is a header that could be corrected.
	firstRemoved, lastRemoved int
}

// repair returns a copy of the file that parses and has the same number of lines,
// and the syntax errors that it corrected or removed. The parser stops at the first
// syntax error, so without repair nothing after it would be checked. After an error,
// repair goes on at the next line that looks like the beginning of an expression.
// If there are more than maxErrors syntax errors, the result may still not parse.
func repair(data []byte) ([]byte, []syntaxError) {
	var syntaxErrs []syntaxError
	var p unstable.Parser
	for len(syntaxErrs) < maxErrors {
		p.Reset(data)
		end, lastGoodLine := 0, 0
		for p.NextExpression() {
			end = expressionEnd(p.Expression())
		}
		if end > 0 {
			lastGoodLine = 1 + bytes.Count(data[:end], []byte{'\n'})
		}
		var err *unstable.ParserError
		if !errors.As(p.Error(), &err) {
			break
		}
		lines := bytes.Split(data, []byte{'\n'})
		s := syntaxError{message: err.Message, pos: syntaxErrorPosition(&p, err)}
		removeSyntaxError(lines, &s, lastGoodLine)
		syntaxErrs = append(syntaxErrs, s)
		data = bytes.Join(lines, []byte{'\n'})
	}
	return data, syntaxErrs
}

// expressionEnd returns the offset at which a key-value expression ends. For a
// header, which the parser gives no range for, it returns the end of its key.
func expressionEnd(n *unstable.Node) int {
	if n.Kind == unstable.KeyValue {
		return int(n.Raw.Offset + n.Raw.Length)
	}
	end := 0
	for it := n.Key(); it.Next(); {
		end = int(it.Node().Raw.Offset + it.Node().Raw.Length)
	}
	return end
}

func syntaxErrorPosition(p *unstable.Parser, err *unstable.ParserError) position {
	data := p.Data()
	offset := len(data)
	if len(err.Highlight) > 0 {
		offset = int(p.Range(err.Highlight).Offset)
	}
	before := data[:offset]
	return position{line: 1 + bytes.Count(before, []byte{'\n'}), column: offset - bytes.LastIndexByte(before, '\n')}
}

// removeSyntaxError corrects the expression with a syntax error if it is a header,
// or else empties its lines. lastGoodLine is the line of the last expression that
// was parsed, or 0.
func removeSyntaxError(lines [][]byte, s *syntaxError, lastGoodLine int) {
	first := s.pos.line
	for n := lastGoodLine + 1; n < s.pos.line; n++ {
		if !blankLine.Match(lines[n-1]) {
			first = n
			break
		}
	}
	if repairHeader(lines, first) {
		return
	}
	last := lastLineOfExpression(lines, first, s.pos.line)
	if m := keyStart.FindSubmatch(lines[first-1]); m != nil {
		s.key = string(m[1])
	}
	for n := first; n <= last; n++ {
		lines[n-1] = nil
	}
	s.firstRemoved, s.lastRemoved = first, last
}

// lastLineOfExpression returns the last line of an expression that does not parse,
// given its first line and the line of the syntax error. An invalid header extends
// to the next header, because the keys below it belong to no table.
func lastLineOfExpression(lines [][]byte, first, errLine int) int {
	startsNext := func(line []byte) bool { return headerLine.Match(line) || keyLine.Match(line) || blankLine.Match(line) }
	switch {
	case bytes.HasPrefix(bytes.TrimSpace(lines[first-1]), []byte{'['}):
		startsNext = headerLine.Match
	case !multilineStart.Match(lines[first-1]):
		return max(first, errLine)
	}
	last := first
	for last < len(lines) && !startsNext(lines[last]) {
		last++
	}
	return last
}

// repairHeader adds missing closing brackets to the header on line n and drops
// everything after them. It returns false if there is no header on the line or the
// header was already correct.
func repairHeader(lines [][]byte, n int) bool {
	line := lines[n-1]
	m := headerStart.FindSubmatchIndex(line)
	if m == nil {
		return false
	}
	repaired := bytes.Clone(line[:m[1]])
	repaired = append(repaired, bytes.Repeat([]byte{']'}, m[3]-m[2])...)
	if bytes.Equal(repaired, line) {
		return false
	}
	lines[n-1] = repaired
	return true
}
