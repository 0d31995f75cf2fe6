package sqtoml

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
)

// TestDecode checks the positions and details of all errors of short files.
func TestDecode(t *testing.T) {
	type file struct {
		Name  string   `toml:"name"`
		List  []string `toml:"list"`
		Count uint32   `toml:"count"`
		Table struct {
			Name  string  `toml:"name"`
			Ratio float64 `toml:"ratio"`
		} `toml:"table"`
		Many []struct {
			Name string `toml:"name"`
		} `toml:"many"`
	}
	const list = `"list" holds a value of the wrong type`
	for _, c := range []struct {
		text string
		want []string
	}{
		{"list = [\"a\\tb\", '', \"\"\"x\ny\"\"\", '''z''']\ncount = 1", nil},
		{`list = ["a", 1, 2.5, true, 2026-12-03, "b"]`, []string{"1:14 " + list, "1:17 " + list, "1:22 " + list, "1:28 " + list}},
		{`list = [1,2]`, []string{"1:9 " + list, "1:11 " + list}},
		{`list = [["a"], "b"]`, []string{`1:1 "list" has the wrong type`}},
		{`table = { name = 5, ratio = "x" }`, []string{`1:18 "table.name" has the wrong type`, `1:29 "table.ratio" has the wrong type`}},
		{"table = { ratio = 1 }\nname=1", []string{`2:6 "name" has the wrong type`}},
		{"name = \ncount = -1\nnme = 1", []string{
			"1:8 unexpected character U+000A at start of value", `2:9 "count" is out of range`, `3:1 unknown name "nme"`,
		}},
		{"[[many]\nname = 1\n[table\nratio = true", []string{
			"1:7 expected ']]' to close array table name", `2:8 "many.name" has the wrong type`,
			"3:7 expected ']' to close table name", `4:9 "table.ratio" has the wrong type`,
		}},
		{"[\nname = 1\n[table]\nratio = \"x\"", []string{
			"1:2 invalid character at start of key: U+000A", `4:9 "table.ratio" has the wrong type`,
		}},
		{"list = [\"a\"\ncount = \"x\"", []string{"2:1 expected ',' or ']' after array value", `2:9 "count" has the wrong type`}},
		{"= 1\n\xff\nname = 5", []string{
			"1:1 invalid character at start of key: U+003D '='", "2:1 invalid character at start of key: U+00FF 'ÿ'", `3:8 "name" has the wrong type`,
		}},
	} {
		var v file
		_, errs := Decode("f", []byte(c.text), &v)
		var got []string
		for _, e := range errs {
			assert.Assert(t, e.Advice() != "", "%v", e)
			got = append(got, strings.TrimPrefix(e.Position().String(), "f:")+" "+e.Detail())
		}
		assert.Check(t, is.DeepEqual(got, c.want), c.text)
	}
}
