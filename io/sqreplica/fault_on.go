//go:build sqfault

package sqreplica

import (
	"os"
	"strings"

	"sequoiadock/core/sqraft"
	"sequoiadock/io/sqdisk"
)

// faultVariable is the environment variable that lists, in builds with the tag
// sqfault, the faults to inject, such as "leaseWait,promise". See SetFaults of
// sqraft and of sqdisk.
const faultVariable = "SEQUOIADOCK_FAULTS"

func init() {
	names := strings.Split(os.Getenv(faultVariable), ",")
	sqraft.SetFaults(names...)
	sqdisk.SetFaults(names...)
}
