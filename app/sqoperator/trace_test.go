package sqoperator

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiadock/core/sqerror"
)

func TestTraceOfCutStandardInput(t *testing.T) {
	c := &invocation{stdin: strings.NewReader("0123456789")}
	_, err := c.readLogs(nil, 9)
	assert.Equal(t, sqerror.KindOf(err), sqerror.Refused)
	c.stdin = strings.NewReader("0123456789")
	logs, err := c.readLogs(nil, 10)
	assert.NilError(t, err)
	assert.Equal(t, string(logs), "0123456789")
}
