package main

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiadock/proof/sqcluster"
)

func TestMain(m *testing.M) { sqcluster.Main(m) }

// TestDemo checks that the demo completes with both examples.
func TestDemo(t *testing.T) {
	for _, name := range []string{"federation", "association"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			var out bytes.Buffer
			err := run(ctx, &out, "../..", name, false)
			assert.NilError(t, err, "%s", out.String())
			for _, want := range []string{"streamed answer: ", "role order", "endpoint order", "usage report", "Sent to ", "badKey", "fleet stopped"} {
				assert.Assert(t, strings.Contains(out.String(), want), "no %q in\n%s", want, out.String())
			}
		})
	}
}
