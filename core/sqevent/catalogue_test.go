package sqevent

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPageMatchesCatalogue checks that docs/EVENTS.md and the catalogue agree on
// the number, level, text and fields of every event, in ascending order.
func TestPageMatchesCatalogue(t *testing.T) {
	data, err := os.ReadFile("../../docs/EVENTS.md")
	assert.NilError(t, err)
	var pageRows []string
	for line := range strings.Lines(string(data)) {
		cells := strings.Split(line, "|")
		if len(cells) < 8 {
			continue
		}
		if _, err := strconv.Atoi(strings.TrimSpace(cells[1])); err != nil {
			continue
		}
		pageRows = append(pageRows, strings.TrimSpace(strings.Join(cells[1:5], "|")))
		assert.Assert(t, strings.TrimSpace(cells[5]) != "" && strings.TrimSpace(cells[6]) != "", "the row lacks a meaning or an action: %s", line)
	}
	var catalogueRows []string
	lastNumber := 0
	for _, e := range Catalogue() {
		assert.Assert(t, e.Number > lastNumber, "event %d follows %d", e.Number, lastNumber)
		lastNumber = e.Number
		catalogueRows = append(catalogueRows, strings.Join([]string{strconv.Itoa(e.Number) + " ", " " + e.Level.String() + " ", " " + e.Text + " ", " " + strings.Join(e.Fields, ", ")}, "|"))
	}
	assert.DeepEqual(t, pageRows, catalogueRows)
}
