package sqlink

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqmeter"
	"sequoiadock/io/sqresponse"
)

const (
	// maxHeaderBytes limits the status line and headers of a response.
	maxHeaderBytes = 32 << 10
	// maxMismatched is how many responses to other requests are skipped before the
	// connection is closed, and maxMismatchedBytes the maximum body size of one.
	maxMismatched = 2
	// maxInformational is how many informational (1xx) responses are skipped.
	maxInformational   = 16
	maxMismatchedBytes = 1 << 20
	// maxInlineBytes is the longest body that is written before the response is read.
	// Longer bodies are written concurrently, since an endpoint may respond before it
	// has read the whole request.
	maxInlineBytes  = 4 << 10
	readBufferBytes = 4 << 10
)

// conn is one connection to an endpoint.
type conn struct {
	nc      *sqresponse.Conn
	traffic *sqmeter.Traffic
	limiter *headerLimiter
	br      *bufio.Reader
	// canceled is set once the context of the call ended.
	canceled atomic.Bool
	// connectTime is how long it took to open the connection.
	connectTime time.Duration
	// reused is set once the connection has carried a whole exchange.
	reused      bool
	idleSince   time.Time
	idleTimeout time.Duration
}

// headerLimiter reads from a connection and limits the size of response headers.
type headerLimiter struct {
	nc        net.Conn
	traffic   *sqmeter.Traffic
	remaining int64
}

// Read implements io.Reader.
func (l *headerLimiter) Read(b []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, badResponse("the head of the answer is too long", nil)
	}
	if int64(len(b)) > l.remaining {
		b = b[:l.remaining]
	}
	n, err := l.nc.Read(b)
	l.remaining -= int64(n)
	l.traffic.AddRead(n)
	return n, err
}

func newConn(nc *sqresponse.Conn, traffic *sqmeter.Traffic) *conn {
	limiter := &headerLimiter{nc: nc, traffic: traffic, remaining: math.MaxInt64}
	return &conn{nc: nc, traffic: traffic, limiter: limiter, br: bufio.NewReaderSize(limiter, readBufferBytes)}
}

func (c *conn) cancel() {
	c.canceled.Store(true)
	_ = c.nc.Close()
}

// usable reports whether an idle connection may carry another request: it has not
// been idle for too long, and the endpoint has neither closed it nor sent any bytes.
func (c *conn) usable(now time.Time, maxIdle time.Duration) bool {
	idle := now.Sub(c.idleSince)
	if idle >= c.idleTimeout || maxIdle > 0 && idle >= maxIdle || c.br.Buffered() > 0 {
		return false
	}
	raw, err := c.nc.SyscallConn()
	if err != nil {
		return false
	}
	openAndEmpty := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		openAndEmpty = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && openAndEmpty
}

// roundTrip writes the request and reads the status line and headers of its response.
func (c *conn) roundTrip(call *Call) (*Response, error) {
	header := encodeHeader(call)
	writeResult := make(chan error, 1)
	if len(call.Body) <= maxInlineBytes {
		n, err := c.nc.Write(append(header, call.Body...))
		c.traffic.AddWritten(n)
		if err != nil && n == 0 {
			return nil, sqerror.New(sqerror.Config{
				Kind: sqerror.Unreachable, Execution: sqerror.NotRun, Detail: "the connection was closed before the request", Cause: err,
			})
		}
		writeResult <- err
	} else {
		go func() {
			buffers := net.Buffers{header, call.Body}
			n, err := buffers.WriteTo(c.nc)
			c.traffic.AddWritten(int(n))
			writeResult <- err
		}()
	}
	return c.readResponse(call, writeResult)
}

// readResponse reads responses until one belongs to the request. On a reused connection, a
// response that does not name its request may be an earlier one that the endpoint sends
// once more.
func (c *conn) readResponse(call *Call, writeResult chan error) (*Response, error) {
	req := &http.Request{Method: call.Method}
	for range maxMismatched + 1 {
		res, err := c.readHeader(req) //nolint:bodyclose // the response owns the body
		if err != nil {
			return nil, err
		}
		owner := OwnerThis
		if call.OwnerOf != nil {
			owner = call.OwnerOf(res.StatusCode, res.Header)
		}
		if owner == OwnerThis || owner == OwnerUnknown && !c.reused {
			return &Response{conn: c, res: res, owner: owner, writeResult: writeResult}, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxMismatchedBytes))
		if err != nil || n == maxMismatchedBytes || res.Close {
			return nil, badResponse("the answer belongs to another request", err)
		}
	}
	return nil, badResponse("only answers of other requests came", nil)
}

// readHeader reads the status line and headers of the next response and skips some
// informational (1xx) responses.
func (c *conn) readHeader(req *http.Request) (*http.Response, error) {
	for range maxInformational + 1 {
		c.limiter.remaining = maxHeaderBytes
		if _, err := c.br.Peek(1); err != nil {
			return nil, c.endpointError("no answer came", err)
		}
		res, err := http.ReadResponse(c.br, req)
		if err != nil {
			if isConnectionError(err) {
				return nil, c.endpointError("the head of the answer broke off", err)
			}
			return nil, badResponse("what came is no answer", err)
		}
		if err := sqresponse.CheckHead(res); err != nil {
			return nil, err
		}
		c.limiter.remaining = math.MaxInt64
		if res.StatusCode >= http.StatusOK {
			return res, nil
		}
	}
	return nil, badResponse("only informational responses came", nil)
}

func isConnectionError(err error) bool {
	var ne net.Error
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.As(err, &ne)
}

// endpointError returns the error of a call that the endpoint may have run. Its kind
// is Canceled if the context of the call ended.
func (c *conn) endpointError(detail string, cause error) error {
	kind := sqerror.EndpointFailed
	if c.canceled.Load() {
		kind = sqerror.Canceled
	}
	return sqerror.New(sqerror.Config{Kind: kind, Execution: sqerror.MayHaveRun, Detail: detail, Cause: cause})
}

func badResponse(detail string, cause error) error {
	return sqerror.New(sqerror.Config{Kind: sqerror.BadResponse, Execution: sqerror.MayHaveRun, Detail: detail, Cause: cause})
}

// encodeHeader encodes the request line and the headers.
func encodeHeader(call *Call) []byte {
	var b bytes.Buffer
	b.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	// Writing to a bytes.Buffer never fails.
	_ = call.Header.Write(&b)
	if len(call.Body) > 0 || methodExpectsBody(call.Method) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

func methodExpectsBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// idleTimeout returns how long an idle connection may be reused: the timeout of the
// response's Keep-Alive header, reduced to keepAliveUsePercent for network latency.
func idleTimeout(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return min(time.Duration(seconds)*time.Second*keepAliveUsePercent/100, maxIdleTimeout)
		}
	}
	return defaultIdleTimeout
}
