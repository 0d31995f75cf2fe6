package sqsettings

import (
	"os"
	"reflect"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"
)

// TestOperationsPageNamesEverySetting checks that docs/OPERATIONS.md explains every
// key of the settings files.
func TestOperationsPageNamesEverySetting(t *testing.T) {
	data, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	var check func(typ reflect.Type)
	check = func(typ reflect.Type) {
		for i := range typ.NumField() {
			f := typ.Field(i)
			if f.Type.Kind() == reflect.Struct {
				check(f.Type)
				continue
			}
			name := f.Tag.Get("toml")
			assert.Assert(t, regexp.MustCompile(`\b`+name+`\b`).Match(data), "docs/OPERATIONS.md does not explain %s", name)
		}
	}
	check(reflect.TypeFor[controlFile]())
	check(reflect.TypeFor[entryFile]())
	check(reflect.TypeFor[coordinatorFile]())
	check(reflect.TypeFor[gatewayFile]())
}
