package sqcluster

import (
	"testing"

	"gotest.tools/v3/assert"
)

// pickCount picks among 20,000 ports would collide with a probability above 0.99 if
// picked ports were not reserved.
const pickCount = 500

func TestPickedPortsDiffer(t *testing.T) {
	seen := make(map[string]bool)
	for range pickCount {
		address, err := freeAddress()
		assert.NilError(t, err)
		assert.Assert(t, !seen[address], "%s was picked twice", address)
		seen[address] = true
	}
}
