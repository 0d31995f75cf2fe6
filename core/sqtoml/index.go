package sqtoml

import (
	"sort"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// position is a line and a column in bytes, both counted from 1.
type position struct {
	line   int
	column int
}

// element is one value or table of the file.
type element struct {
	pos  position
	kind unstable.Kind
	// offset and length are the bytes of a scalar in the file; length is 0 for
	// arrays and tables.
	offset, length int
}

// span is the range of one expression, in byte offsets of the file: a key with its
// value, or a table header with the lines up to the next header. The end is
// excluded.
type span struct {
	start, end int
	isTable    bool
	// headerLine is the line of a table's header.
	headerLine int
}

// index maps the path of each value and table to its position. The path of an
// array element contains its index, counted from 0, such as "teams.0.share".
type index struct {
	elements map[string]element
	// paths holds the keys of elements in file order.
	paths []string
	spans []span
	// arrayLengths holds the number of tables in each array of tables so far.
	arrayLengths map[string]int
	// tablePath is the path of the table whose lines are being added.
	tablePath []string
	parser    unstable.Parser
	// lineStarts holds the offset of each line. The parser's own function for
	// positions scans the file from its start on each call.
	lineStarts []int
	// pendingSyntaxErrs holds the syntax errors whose keys are not added yet, in
	// ascending order of lines.
	pendingSyntaxErrs []syntaxError
	// hasSyntaxError is true if the parser stopped at a syntax error.
	hasSyntaxError bool
}

// newIndex indexes data up to its first syntax error. It also adds the keys of the
// expressions that repair removed, so that they are not reported as missing.
func newIndex(data []byte, syntaxErrs []syntaxError) index {
	x := index{elements: map[string]element{}, arrayLengths: map[string]int{}, pendingSyntaxErrs: syntaxErrs}
	x.lineStarts = append(x.lineStarts, 0)
	for i, b := range data {
		if b == '\n' {
			x.lineStarts = append(x.lineStarts, i+1)
		}
	}
	x.parser.Reset(data)
	for x.parser.NextExpression() {
		x.addExpression(x.parser.Expression())
	}
	x.addInvalidKeys(len(x.lineStarts) + 1)
	x.closeTable(len(data))
	x.hasSyntaxError = x.parser.Error() != nil
	return x
}

// addInvalidKeys adds the keys of the expressions removed before a line to the
// current table.
func (x *index) addInvalidKeys(line int) {
	for len(x.pendingSyntaxErrs) > 0 && x.pendingSyntaxErrs[0].firstRemoved < line {
		if s := x.pendingSyntaxErrs[0]; s.key != "" {
			x.add(strings.Join(append(append([]string{}, x.tablePath...), s.key), "."), element{pos: position{line: s.firstRemoved, column: 1}})
		}
		x.pendingSyntaxErrs = x.pendingSyntaxErrs[1:]
	}
}

func (x *index) addExpression(n *unstable.Node) {
	_, pos := x.keyParts(n)
	x.addInvalidKeys(pos.line)
	switch n.Kind {
	case unstable.Table, unstable.ArrayTable:
		x.addTable(n)
	case unstable.KeyValue:
		x.spans = append(x.spans, span{start: int(n.Raw.Offset), end: int(n.Raw.Offset + n.Raw.Length)})
		x.addKeyValue(x.tablePath, n)
	}
}

func (x *index) addTable(n *unstable.Node) {
	keys, pos := x.keyParts(n)
	path := x.resolveArrays(keys[:len(keys)-1])
	path = append(path, keys[len(keys)-1])
	name := strings.Join(path, ".")
	if n.Kind == unstable.ArrayTable {
		x.add(name, element{pos: pos, kind: n.Kind})
		path = append(path, strconv.Itoa(x.arrayLengths[name]))
		x.arrayLengths[name]++
	} else {
		path = x.resolveArrays(keys)
	}
	x.add(strings.Join(path, "."), element{pos: pos, kind: n.Kind})
	x.tablePath = path
	firstKey := n.Key()
	firstKey.Next()
	start := int(firstKey.Node().Raw.Offset)
	// The brackets are before the key on the same line.
	data := x.parser.Data()
	for start > 0 && data[start-1] != '\n' {
		start--
	}
	x.closeTable(start)
	x.spans = append(x.spans, span{start: start, isTable: true, headerLine: pos.line})
}

// closeTable sets the end of the last table's span.
func (x *index) closeTable(end int) {
	for i := len(x.spans) - 1; i >= 0; i-- {
		if x.spans[i].isTable {
			x.spans[i].end = end
			return
		}
	}
}

func (x *index) addKeyValue(prefix []string, n *unstable.Node) {
	keys, pos := x.keyParts(n)
	path := append(append([]string{}, prefix...), keys...)
	// A dotted key also defines the tables that contain the value.
	for i := len(prefix) + 1; i < len(path); i++ {
		x.add(strings.Join(path[:i], "."), element{pos: pos, kind: unstable.Table})
	}
	x.addValue(path, pos, n.Value())
}

func (x *index) addValue(path []string, pos position, n *unstable.Node) {
	e := element{pos: pos, kind: n.Kind}
	if n.Kind != unstable.Array && n.Kind != unstable.InlineTable {
		raw := n.Raw
		if raw.Length == 0 {
			raw = x.parser.Range(n.Data)
		}
		e.offset, e.length = int(raw.Offset), int(raw.Length)
	}
	x.add(strings.Join(path, "."), e)
	it := n.Children()
	switch n.Kind {
	case unstable.Array:
		for i := 0; it.Next(); i++ {
			x.addArrayElement(append(append([]string{}, path...), strconv.Itoa(i)), pos, it.Node())
		}
	case unstable.InlineTable:
		for it.Next() {
			x.addKeyValue(path, it.Node())
		}
	}
}

// addArrayElement adds an element of the array at listPos. Where the parser gives
// no position for the element, it gets the position of the array.
func (x *index) addArrayElement(path []string, listPos position, n *unstable.Node) {
	pos := listPos
	switch {
	case n.Raw.Length > 0:
		pos = x.nodePosition(n)
	case n.Kind != unstable.Array && n.Kind != unstable.InlineTable:
		pos = x.positionAt(int(x.parser.Range(n.Data).Offset))
	}
	x.addValue(path, pos, n)
}

// add adds an element unless its path is already present: where a path is defined
// twice, the second definition is the error.
func (x *index) add(path string, e element) {
	if _, ok := x.elements[path]; ok {
		return
	}
	x.elements[path] = e
	x.paths = append(x.paths, path)
}

// keyParts returns the parts of n's dotted key and the position of the first part.
func (x *index) keyParts(n *unstable.Node) ([]string, position) {
	var keys []string
	var pos position
	it := n.Key()
	for it.Next() {
		if keys == nil {
			pos = x.nodePosition(it.Node())
		}
		keys = append(keys, string(it.Node().Data))
	}
	return keys, pos
}

func (x *index) nodePosition(n *unstable.Node) position { return x.positionAt(int(n.Raw.Offset)) }

func (x *index) positionAt(offset int) position {
	line := sort.SearchInts(x.lineStarts, offset+1)
	return position{line: line, column: offset - x.lineStarts[line-1] + 1}
}

// resolveArrays returns the path for the keys of a table header: it inserts the
// index of the last element after each key of an array of tables.
func (x *index) resolveArrays(keys []string) []string {
	var path []string
	for _, k := range keys {
		path = append(path, k)
		if n, ok := x.arrayLengths[strings.Join(path, ".")]; ok {
			path = append(path, strconv.Itoa(n-1))
		}
	}
	return path
}

// nearestPosition returns the position of path, or else that of its nearest parent,
// or else the first line.
func (x *index) nearestPosition(path string) position {
	for path != "" {
		if e, ok := x.elements[path]; ok {
			return e.pos
		}
		lastDot := strings.LastIndexByte(path, '.')
		if lastDot < 0 {
			break
		}
		path = path[:lastDot]
	}
	return position{line: 1}
}

// spanAt returns the span of the expression at pos. For a table, pos must be on the
// header's line.
func (x *index) spanAt(data []byte, pos position) (span, bool) {
	offset := offsetOf(data, pos)
	for _, s := range x.spans {
		matches := offset >= s.start && offset < s.end
		if s.isTable {
			matches = pos.line == s.headerLine
		}
		if matches {
			return s, true
		}
	}
	return span{}, false
}

// blankOut overwrites data with spaces but keeps newlines, so that all positions in
// the rest of the file stay the same. It reports whether data changed.
func blankOut(data []byte) bool {
	changed := false
	for i, b := range data {
		if b != '\n' && b != ' ' {
			data[i] = ' '
			changed = true
		}
	}
	return changed
}

func offsetOf(data []byte, pos position) int {
	line := 1
	for i, b := range data {
		if line == pos.line {
			return i + pos.column - 1
		}
		if b == '\n' {
			line++
		}
	}
	return len(data)
}
