package interfaces

import (
	"encoding/json"
	"os"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// call is one documented call: a table row of the page with its JSON objects.
type call struct {
	section string
	method  string
	path    string
	objects []string
}

var (
	callPattern   = regexp.MustCompile("`(GET|POST) (/[^` ]*)`")
	objectPattern = regexp.MustCompile("`(\\{.*?\\})`")
)

// readPage returns the calls that the page documents and the text of the page.
func readPage(t *testing.T) ([]call, string) {
	t.Helper()
	data, err := os.ReadFile("../../docs/INTERFACES.md")
	assert.NilError(t, err)
	var calls []call
	section := ""
	for line := range strings.Lines(string(data)) {
		if title, ok := strings.CutPrefix(line, "## "); ok {
			section = strings.TrimSpace(title)
		}
		match := callPattern.FindStringSubmatch(line)
		if match == nil {
			continue
		}
		c := call{section: section, method: match[1], path: match[2]}
		for _, m := range objectPattern.FindAllStringSubmatch(line, -1) {
			c.objects = append(c.objects, m[1])
		}
		calls = append(calls, c)
	}
	return calls, string(data)
}

// body returns the request body of a POST call, the first object in the row, or "".
func (r *call) body() string {
	if r.method != "POST" || len(r.objects) == 0 {
		return ""
	}
	return r.objects[0]
}

// expectedAnswer returns the documented answer of the call, or "".
func (r *call) expectedAnswer() string {
	i := 0
	if r.method == "POST" {
		i = 1
	}
	if i >= len(r.objects) {
		return ""
	}
	return r.objects[i]
}

// numberPattern matches N, the page's placeholder for any number.
var numberPattern = regexp.MustCompile(`\bN\b`)

// fill replaces each N by 1, and the value of each string field named in values.
func fill(object string, values map[string]string) string {
	object = numberPattern.ReplaceAllString(object, "1")
	for name, value := range values {
		object = regexp.MustCompile(`"`+name+`":"[^"]*"`).ReplaceAllString(object, `"`+name+`":"`+value+`"`)
	}
	return object
}

// assertSameShape checks that an answer has every field of the page's object, with
// a value of the same type. The answer may have more fields.
func assertSameShape(t *testing.T, where, page, answer string) {
	t.Helper()
	var want, got any
	assert.NilError(t, json.Unmarshal([]byte(fill(page, nil)), &want), "%s: %s", where, page)
	assert.NilError(t, json.Unmarshal([]byte(answer), &got), "%s: %s", where, answer)
	assertShape(t, where, want, got)
}

// assertShape compares two decoded JSON values recursively. Lists are compared by
// their first elements, and null is accepted for a string.
func assertShape(t *testing.T, where string, want, got any) {
	t.Helper()
	switch want := want.(type) {
	case map[string]any:
		g, ok := got.(map[string]any)
		assert.Assert(t, ok, "%s: %v is no object", where, got)
		for name, w := range want {
			v, ok := g[name]
			assert.Assert(t, ok, "%s: no %s in %v", where, name, got)
			assertShape(t, where+"."+name, w, v)
		}
	case []any:
		g, ok := got.([]any)
		assert.Assert(t, ok, "%s: %v is no list", where, got)
		if len(want) > 0 && len(g) > 0 {
			assertShape(t, where, want[0], g[0])
		}
	case string:
		_, ok := got.(string)
		assert.Assert(t, ok || got == nil, "%s: %v is no string", where, got)
	case float64:
		_, ok := got.(float64)
		assert.Assert(t, ok, "%s: %v is no number", where, got)
	case bool:
		_, ok := got.(bool)
		assert.Assert(t, ok, "%s: %v is neither true nor false", where, got)
	}
}
