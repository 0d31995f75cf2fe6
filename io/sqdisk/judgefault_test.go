//go:build sqfault

package sqdisk

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestJudgeCatchesMissingSync checks that afterCrash, which the other tests
// use, drops data that was not synced.
func TestJudgeCatchesMissingSync(t *testing.T) {
	defer SetFaults()
	SetFaults("sync")
	files := newMemFS()
	appendEntries(t, openDisk(t, files), 1, 9)
	_, err := Open(Config{FS: files.afterCrash()})
	assert.Assert(t, err != nil)
}
