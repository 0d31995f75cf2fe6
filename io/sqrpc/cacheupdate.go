package sqrpc

import "github.com/cespare/xxhash/v2"

// ReporterHash returns the reporter of a cache update for the name of a gateway.
func ReporterHash(gateway string) uint32 { return uint32(xxhash.Sum64String(gateway)) }
