package sqentry

import "sequoiadock/core/sqerror"

// maxTotalResponseBytes bounds the memory for all responses that are buffered
// before they are sent. Streams are relayed unbuffered and take none.
const maxTotalResponseBytes = 128 << 20

// errResponseMemory ends a response for which no memory is available.
var errResponseMemory = sqerror.New(sqerror.Config{
	Kind: sqerror.Overloaded, Detail: "the answers of all requests take too much memory", Execution: sqerror.MayHaveRun,
	RetryAfter: retryAfter(sqerror.Overloaded),
})
