package sqprocess

import (
	"fmt"
	"io"

	"sequoiadock/core/sqerror"
)

// printSettingsFaults prints the faults of a settings file, one per line, and returns
// the exit code.
func printSettingsFaults(w io.Writer, faults []*sqerror.Error) int {
	for _, f := range faults {
		fmt.Fprintln(w, f)
	}
	return exitSettings
}
