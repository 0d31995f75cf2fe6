package sqendpoint

import (
	"context"
	"net/http"
	"strconv"
)

// Cancel stops a request at an engine and frees its slot.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	in := struct {
		RequestID string `json:"requestId"`
	}{requestID}
	return c.doJSON(ctx, nil, http.MethodPost, "http://"+address+"/v1/cancel", in, nil, maxControlBytes)
}

// KVExport describes a KV cache that an engine holds for import by another engine.
type KVExport struct {
	Handle   string `json:"handle"`
	Position int64  `json:"position"`
	Bytes    int64  `json:"bytes"`
}

// ExportKV makes an engine hold the KV cache of a request for import by another
// engine.
func (c *Client) ExportKV(ctx context.Context, address, requestID string, check WriteCheck) (KVExport, error) {
	in := struct {
		RequestID string `json:"requestId"`
	}{requestID}
	var out KVExport
	err := c.doJSON(ctx, check, http.MethodPost, "http://"+address+"/v1/kv/export", in, &out, maxControlBytes)
	return out, err
}

// ImportKV makes the engine at address import a KV cache from the engine at
// fromAddress.
func (c *Client) ImportKV(ctx context.Context, address, handle, fromAddress string, check WriteCheck) error {
	in := struct {
		Handle      string `json:"handle"`
		FromAddress string `json:"fromAddress"`
	}{handle, fromAddress}
	return c.doJSON(ctx, check, http.MethodPost, "http://"+address+"/v1/kv/import", in, nil, maxControlBytes)
}

// Load is the load that an endpoint reports of itself.
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
	err := c.doJSON(ctx, nil, http.MethodGet, "http://"+address+"/v1/load", nil, &out, maxControlBytes)
	return out, err
}

// PlainLoad asks a plain service for its load.
func (c *Client) PlainLoad(ctx context.Context, address string) (Load, error) {
	var out Load
	err := c.doJSON(ctx, nil, http.MethodGet, "http://"+address+"/load", nil, &out, maxControlBytes)
	return out, err
}

// CacheEvent is one change of an engine's KV cache.
type CacheEvent struct {
	Number uint64 `json:"number"`
	Kind   string `json:"kind"`
	// BlockHash is the hash of a cache block, 64 bits in hex.
	BlockHash string `json:"piece"`
	Model     string `json:"model"`
}

// CacheEvents is an engine's response to a query for cache events.
type CacheEvents struct {
	First  uint64       `json:"first"`
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

// CacheEvents asks an engine for the cache events with numbers above after.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) (CacheEvents, error) {
	var out CacheEvents
	url := "http://" + address + "/v1/cacheEvents?after=" + strconv.FormatUint(after, 10)
	err := c.doJSON(ctx, nil, http.MethodGet, url, nil, &out, maxCacheEventsBytes)
	return out, err
}
