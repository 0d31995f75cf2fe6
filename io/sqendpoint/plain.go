package sqendpoint

import (
	"context"
	"io"
	"net/http"

	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqclock"
)

// PlainConfig configures a request to a plain service.
type PlainConfig struct {
	Address string
	Method  string
	// Path is the path with the query as the caller sent it, without API keys.
	Path       string
	Header     http.Header
	Body       []byte
	WriteCheck WriteCheck
	// Watchdog is set for a request that must never be written after the end of its
	// permission: see watched.go. WriteCheck must then return a non-zero end.
	Watchdog bool
	// MaxResponseBytes bounds the response body in bytes.
	MaxResponseBytes int64
	// ReserveMemory, if set, is called for each part of the response with its size
	// in bytes. If it returns false, reading stops and SendPlain returns Overloaded.
	ReserveMemory func(n int) bool
}

// memoryReader reserves memory for the bytes that it reads.
type memoryReader struct {
	r       io.Reader
	reserve func(n int) bool
}

// Read implements io.Reader. It fails with Overloaded if no memory is left.
func (h *memoryReader) Read(p []byte) (int, error) {
	n, err := h.r.Read(p)
	if h.reserve != nil && n > 0 && !h.reserve(n) {
		return n, sqerror.New(sqerror.Config{
			Kind: sqerror.Overloaded, Detail: "the answer does not fit into memory", Execution: sqerror.MayHaveRun,
		})
	}
	return n, err
}

// SendPlain sends a request to a plain service and reads the whole response. The
// Execution of an error tells whether the service may have run the request.
func (c *Client) SendPlain(ctx context.Context, cfg PlainConfig) (*PlainResponse, error) {
	s := &writeTracker{writeCheck: cfg.WriteCheck, watchdog: cfg.Watchdog}
	req, err := newRequest(s.withTrace(ctx), cfg.Method, "http://"+cfg.Address+cfg.Path, cfg.Body)
	if err != nil {
		return nil, err
	}
	req.Header = cfg.Header
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return nil, roundTripError(ctx, s, err)
	}
	defer resp.Body.Close()
	if err := s.errAfterWrite(sqclock.Now()); err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderNotStarted) == "true" {
		return nil, sqerror.New(sqerror.Config{
			Kind:      sqerror.EndpointFailed,
			Detail:    "the service did not start the request",
			Execution: sqerror.NotRun,
		})
	}
	body, err := io.ReadAll(&memoryReader{r: io.LimitReader(resp.Body, cfg.MaxResponseBytes+1), reserve: cfg.ReserveMemory})
	if sqerror.KindOf(err) == sqerror.Overloaded {
		return nil, err
	}
	if err != nil {
		if ctx.Err() != nil {
			return nil, roundTripError(ctx, s, err)
		}
		return nil, truncatedError(err)
	}
	if int64(len(body)) > cfg.MaxResponseBytes {
		return nil, badResponse("the answer is too large", nil)
	}
	return &PlainResponse{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

// PlainResponse is the whole response of a plain service.
type PlainResponse struct {
	status int
	header http.Header
	body   []byte
}

// Status returns the HTTP status.
func (a *PlainResponse) Status() int { return a.status }

// Header returns the headers.
func (a *PlainResponse) Header() http.Header { return a.header }

// Body returns the whole body.
func (a *PlainResponse) Body() []byte { return a.body }
