package sqendpoint

import (
	"context"
	"net/http"
	"strconv"
)

// Cancel stops a request at an engine and frees its place.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	in := struct {
		RequestID string `json:"requestId"`
	}{requestID}
	return c.call(ctx, nil, http.MethodPost, "http://"+address+"/v1/cancel", in, nil, maxControl)
}

// KVExport is a KV cache that an engine holds ready for another one.
type KVExport struct {
	Handle   string `json:"handle"`
	Position int64  `json:"position"`
	Bytes    int64  `json:"bytes"`
}

// ExportKV makes an engine offer the KV cache of a request.
func (c *Client) ExportKV(ctx context.Context, address, requestID string, guard WriteCheck) (KVExport, error) {
	in := struct {
		RequestID string `json:"requestId"`
	}{requestID}
	var out KVExport
	err := c.call(ctx, guard, http.MethodPost, "http://"+address+"/v1/kv/export", in, &out, maxControl)
	return out, err
}

// ImportKV makes the engine at address take a KV cache over from another one.
func (c *Client) ImportKV(ctx context.Context, address, handle, from string, guard WriteCheck) error {
	in := struct {
		Handle      string `json:"handle"`
		FromAddress string `json:"fromAddress"`
	}{handle, from}
	return c.call(ctx, guard, http.MethodPost, "http://"+address+"/v1/kv/import", in, nil, maxControl)
}

// Load is an endpoint's own report.
type Load struct {
	AtUnixNano    int64    `json:"atUnixNano"`
	Running       int      `json:"running"`
	Queued        int      `json:"queued"`
	PrefillTokens int      `json:"prefillTokens"`
	DecodeTokens  int      `json:"decodeTokens"`
	Role          string   `json:"role"`
	Models        []string `json:"models"`
}

// EngineLoad asks an engine for its load.
func (c *Client) EngineLoad(ctx context.Context, address string) (Load, error) {
	var out Load
	err := c.call(ctx, nil, http.MethodGet, "http://"+address+"/v1/load", nil, &out, maxControl)
	return out, err
}

// PlainLoad asks a plain service for its load.
func (c *Client) PlainLoad(ctx context.Context, address string) (Load, error) {
	var out Load
	err := c.call(ctx, nil, http.MethodGet, "http://"+address+"/load", nil, &out, maxControl)
	return out, err
}

// CacheEvent is one cache event of an engine.
type CacheEvent struct {
	Number uint64 `json:"number"`
	Kind   string `json:"kind"`
	// Piece is 64 bits in hex.
	Piece string `json:"piece"`
	Model string `json:"model"`
}

// CacheEvents is an engine's answer about its cache.
type CacheEvents struct {
	First  uint64       `json:"first"`
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

// CacheEvents asks an engine for the cache events after a number.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) (CacheEvents, error) {
	var out CacheEvents
	url := "http://" + address + "/v1/cacheEvents?after=" + strconv.FormatUint(after, 10)
	err := c.call(ctx, nil, http.MethodGet, url, nil, &out, maxEvents)
	return out, err
}
