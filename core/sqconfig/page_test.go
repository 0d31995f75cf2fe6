package sqconfig

import (
	"os"
	"reflect"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"
)

// TestOperationsPageNamesEveryKey checks that docs/OPERATIONS.md explains every key
// of the declaration files.
func TestOperationsPageNamesEveryKey(t *testing.T) {
	data, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	var check func(typ reflect.Type)
	check = func(typ reflect.Type) {
		for typ.Kind() == reflect.Slice {
			typ = typ.Elem()
		}
		if typ.Kind() != reflect.Struct {
			return
		}
		for i := range typ.NumField() {
			name := typ.Field(i).Tag.Get("toml")
			assert.Assert(t, regexp.MustCompile(`\b`+name+`\b`).Match(data), "docs/OPERATIONS.md does not explain %s", name)
			check(typ.Field(i).Type)
		}
	}
	for _, file := range []any{deploymentFile{}, teamsFile{}, modelsFile{}, serviceFile{}} {
		check(reflect.TypeOf(file))
	}
}
