package sqresponse_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqendpoint"
	"sequoiadock/io/sqguard"
	"sequoiadock/io/sqhttp"
	"sequoiadock/io/sqlink"
	"sequoiadock/io/sqplatform"
	"sequoiadock/io/sqrpc"
)

// reader is one of the ways in which the project reads responses.
type reader struct {
	// body is that of a response that the reader takes for a success.
	body string
	// call sends a request to the address and returns an error unless it succeeded.
	call func(ctx context.Context, address string) error
	// stopsReading is set if the reader takes the beginning of a long body for a success, since
	// its caller passes on what it reads.
	stopsReading bool
}

// maxResponseBytes is the longest body that the readers with a limit of their own accept.
const maxResponseBytes = 1 << 20

// readers returns all ways in which packages of this module read responses. Packages of other
// modules use these.
func readers(t *testing.T) map[string]reader {
	endpoints := sqendpoint.New(sqendpoint.Config{ConnectTimeout: time.Second, MaxConnections: 4, MaxResponseBytes: maxResponseBytes})
	t.Cleanup(endpoints.Close)
	client := sqhttp.NewClient(sqhttp.ClientConfig{Timeout: testTimeout})
	t.Cleanup(client.CloseIdleConnections)
	guarded := guardedClient()
	return map[string]reader{
		"endpoint of a gateway": {"{}", func(ctx context.Context, address string) error {
			return readLink(ctx, address, nil)
		}, true},
		"plain service of an entry": {"{}", func(ctx context.Context, address string) error {
			_, err := endpoints.SendPlain(ctx, sqendpoint.PlainConfig{
				Address: address, Method: http.MethodPost, Path: "/", Header: http.Header{}, Body: []byte("x"), MaxResponseBytes: maxResponseBytes,
			})
			return err
		}, false},
		"engine of an entry": {"data: {\"position\":0}\n\ndata: [DONE]\n\n", func(ctx context.Context, address string) error {
			stream, err := endpoints.Chat(ctx, sqendpoint.ChatConfig{Address: address, FirstTokenTimeout: testTimeout, InterTokenTimeout: testTimeout})
			if err != nil {
				return err
			}
			defer stream.Close()
			for {
				if ev, err := stream.Next(); ev == nil || err != nil {
					return err
				}
			}
		}, false},
		"poll of an entry": {"{}", func(ctx context.Context, address string) error {
			_, err := endpoints.PlainLoad(ctx, address)
			return err
		}, false},
		"list of the platform": {"{}", func(ctx context.Context, address string) error {
			_, err := sqplatform.FetchVMs(ctx, client, address)
			return err
		}, false},
		"order to the platform": {"{}", func(ctx context.Context, address string) error {
			_, err := sqplatform.SendEndpointOrder(ctx, guarded, address, sqplatform.EndpointOrder{})
			return err
		}, false},
		"order to an engine": {"{}", func(ctx context.Context, address string) error {
			_, err := sqplatform.SendEngineOrder(ctx, guarded, address, sqplatform.EngineOrder{})
			return err
		}, false},
		"usage report": {"", func(ctx context.Context, address string) error {
			_, err := sqplatform.ReportUsage(ctx, guarded, address, sqplatform.UsageReport{})
			return err
		}, false},
		"another process": {"", func(ctx context.Context, address string) error {
			_, err := sqrpc.NewCoordinatorProtobufClient("http://"+address, client).Table(ctx, &sqrpc.TableRequest{})
			return err
		}, false},
	}
}

// guardedClient returns a client of a lease holder.
func guardedClient() *http.Client {
	return sqguard.New(sqguard.Config{
		Lease: func(now time.Time) (time.Time, bool) { return now.Add(time.Hour), true }, Now: sqclock.Now, Timeout: testTimeout, Fenced: true,
	}).Client()
}

// readLink reads a response as a gateway does.
func readLink(ctx context.Context, address string, body []byte) error {
	res, err := sqlink.NewPool().Do(ctx, &sqlink.Call{
		Endpoint: "e", Address: address, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: body,
	})
	if err != nil {
		return err
	}
	defer res.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(res, maxResponseBytes))
	return err
}

// testTimeout bounds one request of these tests.
const testTimeout = 30 * time.Second

// serveRaw starts a server that reads the head of each request, calls respond and closes the
// connection.
func serveRaw(t *testing.T, respond func(c *net.TCPConn, r *http.Request)) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					respond(c.(*net.TCPConn), r)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// expectError expects that all readers return an error for each response, in which BODY stands
// for the reader's body.
func expectError(t *testing.T, responses map[string]string) {
	t.Helper()
	for name, err := range readAll(t, responses) {
		assert.Check(t, err != nil, "%s: taken for a success", name)
	}
}

// expectSuccess expects that all readers accept each response.
func expectSuccess(t *testing.T, responses map[string]string) {
	t.Helper()
	for name, err := range readAll(t, responses) {
		assert.Check(t, err, name)
	}
}

// readAll makes each reader read each response and returns the errors.
func readAll(t *testing.T, responses map[string]string) map[string]error {
	t.Helper()
	errs := map[string]error{}
	for readerName, r := range readers(t) {
		var response atomic.Value
		address := serveRaw(t, func(c *net.TCPConn, req *http.Request) {
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(c, response.Load().(string))
		})
		for name, bytes := range responses {
			bytes = strings.ReplaceAll(bytes, "CONTENT-TYPE", "Content-Type: "+contentType(r))
			response.Store(strings.ReplaceAll(bytes, "BODY", r.body))
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			errs[readerName+": "+name] = r.call(ctx, address)
			assert.NilError(t, ctx.Err())
			cancel()
		}
	}
	return errs
}

// contentType returns the media type that the reader expects.
func contentType(r reader) string {
	if r.body == "" {
		return "application/protobuf"
	}
	return "application/json"
}
