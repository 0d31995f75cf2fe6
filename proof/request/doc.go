// Package request tests the handling of requests with real processes that fail:
// API keys, complete answers, calls that run at most once and planned stops.
package request
