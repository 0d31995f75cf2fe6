package sqendpoint

import (
	"context"
	"io"
	"net/http"

	"sequoiadock/core/sqerror"
)

// PlainConfig configures a request to a plain service.
type PlainConfig struct {
	Address string
	Method  string
	// Path is the path with the query, as the caller sent it but for keys.
	Path       string
	Header     http.Header
	Body       []byte
	WriteCheck WriteCheck
	// Watchdog is for a request that must never be written after its permission:
	// see watched.go. Its Guard must give an end.
	Watchdog bool
	// MaxResponseBytes bounds the answer in bytes.
	MaxResponseBytes int64
	// Hold, if set, is asked for the memory of each part of the answer; false
	// ends the reading.
	ReserveMemory func(n int) bool
}

// heldReader asks for memory as it reads.
type heldReader struct {
	r    io.Reader
	hold func(n int) bool
}

// Read reads a part of the answer.
func (h *heldReader) Read(p []byte) (int, error) {
	n, err := h.r.Read(p)
	if h.hold != nil && n > 0 && !h.hold(n) {
		return n, sqerror.New(sqerror.Config{
			Kind: sqerror.Overloaded, Detail: "the answer does not fit into memory", Execution: sqerror.MayHaveRun,
		})
	}
	return n, err
}

// SendPlain sends a request to a plain service and reads the whole answer. Errors
// say by their Run whether the service may have run the request.
func (c *Client) SendPlain(ctx context.Context, cfg PlainConfig) (*PlainResponse, error) {
	s := &sending{guard: cfg.WriteCheck, watched: cfg.Watchdog}
	req, err := newRequest(s.trace(ctx), cfg.Method, "http://"+cfg.Address+cfg.Path, cfg.Body)
	if err != nil {
		return nil, err
	}
	req.Header = cfg.Header
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return nil, sendError(ctx, s, err)
	}
	defer resp.Body.Close()
	if err := s.late(); err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderNotStarted) == "true" {
		return nil, sqerror.New(sqerror.Config{
			Kind:      sqerror.EndpointFailed,
			Detail:    "the service did not start the request",
			Execution: sqerror.NotRun,
		})
	}
	body, err := io.ReadAll(&heldReader{r: io.LimitReader(resp.Body, cfg.MaxResponseBytes+1), hold: cfg.ReserveMemory})
	if sqerror.KindOf(err) == sqerror.Overloaded {
		return nil, err
	}
	if err != nil {
		if ctx.Err() != nil {
			return nil, sendError(ctx, s, err)
		}
		return nil, cutError(err)
	}
	if int64(len(body)) > cfg.MaxResponseBytes {
		return nil, badAnswer("the answer is too large", nil)
	}
	return &PlainResponse{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

// PlainResponse is the whole answer of a plain service.
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
