package sqendpoint

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzTemplate checks that the JSON decoder gives the same event for any data that
// the template matches.
func FuzzTemplate(f *testing.F) {
	const sample = `{"id":"r","position":4,"choices":[{"index":0,"delta":{"content":"w "},"finish_reason":null}]}`
	for _, next := range []string{
		sample,
		`{"id":"r","position":15,"choices":[{"index":0,"delta":{"content":"other"},"finish_reason":null}]}`,
		`{"id":"r","position":015,"choices":[{"index":0,"delta":{"content":"x"},"finish_reason":null}]}`,
		`{"id":"r","position":1,"choices":[{"index":0,"delta":{"content":"a\"}]"},"finish_reason":null}]}`,
		`{"id":"r","position":1,"choices":[{"index":0,"delta":{"content":"a","content":"b"},"finish_reason":null}]}`,
		`{"id":"r","position":99999999999999999999,"choices":[{"index":0,"delta":{"content":"w "},"finish_reason":null}]}`,
		`{"id":"q","position":1,"choices":[{"index":0,"delta":{"content":"w "},"finish_reason":null}]}`,
	} {
		f.Add(sample, next)
	}
	f.Add(`{"position":1,"choices":[{"delta":{"content":"position"}}],"x":{"position":1}}`, sample)
	f.Fuzz(func(t *testing.T, first, second string) {
		var firstStream Stream
		e, err := firstStream.decode([]byte(first))
		if err != nil {
			return
		}
		tmpl := newTemplate([]byte(first), e)
		var matched Event
		if tmpl == nil || !tmpl.match([]byte(second), &matched) {
			return
		}
		assert.Assert(t, json.Valid([]byte(second)), second)
		var secondStream Stream
		decoded, err := secondStream.decode([]byte(second))
		assert.NilError(t, err)
		assert.DeepEqual(t, matched, *decoded)
	})
}

func TestTemplateMatches(t *testing.T) {
	var s Stream
	firstEvent := `{"id":"r","position":9,"choices":[{"delta":{"content":"w "},"finish_reason":null}]}`
	_, err := s.decode([]byte(firstEvent))
	assert.NilError(t, err)
	assert.Assert(t, s.template != nil)
	var e Event
	assert.Assert(t, s.template.match([]byte(`{"id":"r","position":10,"choices":[{"delta":{"content":"x"},"finish_reason":null}]}`), &e))
	assert.DeepEqual(t, e, Event{ID: "r", Position: 10, Content: "x"})
}
