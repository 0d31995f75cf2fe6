//go:build sqfault

package sqdisk

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestJudgeCatchesMissingSync shows that the crash of the other tests loses
// what was not synced.
func TestJudgeCatchesMissingSync(t *testing.T) {
	defer SetFaults()
	SetFaults("sync")
	files := newMemFiles()
	fill(t, openDisk(t, files), 1, 9)
	_, err := Open(Config{FS: files.crash()})
	assert.Assert(t, err != nil)
}
