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
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"sequoiadock/core/sqerror"
)

const (
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 64 << 10
	// maxForeign is how many answers of other requests are passed over before the
	// connection is given up, maxForeignBytes how long one may be.
	maxForeign      = 2
	maxForeignBytes = 1 << 20
	// inlineBytes is the longest request that is written before the answer is
	// read. Longer ones are written meanwhile, since an endpoint may answer before
	// it has read them.
	inlineBytes = 4 << 10
	readBuffer  = 4 << 10
)

// conn is one connection to an endpoint.
type conn struct {
	nc     net.Conn
	source *limitedSource
	br     *bufio.Reader
	// interrupted is set once the context of the call has ended.
	interrupted atomic.Bool
	idleSince   time.Time
	idleFor     time.Duration
}

// limitedSource bounds what is read of the head of an answer.
type limitedSource struct {
	nc   net.Conn
	left int64
}

// Read implements io.Reader.
func (s *limitedSource) Read(b []byte) (int, error) {
	if s.left <= 0 {
		return 0, badAnswer("the head of the answer is too long", nil)
	}
	if int64(len(b)) > s.left {
		b = b[:s.left]
	}
	n, err := s.nc.Read(b)
	s.left -= int64(n)
	return n, err
}

func newConn(nc net.Conn) *conn {
	s := &limitedSource{nc: nc, left: math.MaxInt64}
	return &conn{nc: nc, source: s, br: bufio.NewReaderSize(s, readBuffer)}
}

func (c *conn) interrupt() {
	c.interrupted.Store(true)
	_ = c.nc.Close()
}

// usable reports whether a kept connection may carry another request: it was not
// idle for too long, and its endpoint has neither closed it nor sent anything.
func (c *conn) usable(now time.Time, most time.Duration) bool {
	idle := now.Sub(c.idleSince)
	if idle >= c.idleFor || most > 0 && idle >= most || c.br.Buffered() > 0 {
		return false
	}
	raw, err := c.nc.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && quiet
}

// exchange writes the request and reads the head of its answer.
func (c *conn) exchange(call *Call) (*Reply, error) {
	head := encodeHead(call)
	written := make(chan error, 1)
	if len(call.Body) <= inlineBytes {
		n, err := c.nc.Write(append(head, call.Body...))
		if err != nil && n == 0 {
			return nil, sqerror.New(sqerror.Config{
				Kind: sqerror.Unreachable, Execution: sqerror.NotRun, Detail: "the connection was closed before the request", Cause: err,
			})
		}
		written <- err
	} else {
		go func() {
			buffers := net.Buffers{head, call.Body}
			_, err := buffers.WriteTo(c.nc)
			written <- err
		}()
	}
	return c.readReply(call, written)
}

// readReply reads answers until one belongs to the request.
func (c *conn) readReply(call *Call, written chan error) (*Reply, error) {
	req := &http.Request{Method: call.Method}
	for range maxForeign + 1 {
		res, err := c.readHead(req) //nolint:bodyclose // the reply owns the body
		if err != nil {
			return nil, err
		}
		if call.Matches == nil || call.Matches(res.StatusCode, res.Header) {
			return &Reply{conn: c, res: res, written: written}, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxForeignBytes))
		if err != nil || n == maxForeignBytes || res.Close {
			return nil, badAnswer("the answer belongs to another request", err)
		}
	}
	return nil, badAnswer("only answers of other requests came", nil)
}

// readHead reads the head of the next final answer.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	for {
		c.source.left = maxHeadBytes
		if _, err := c.br.Peek(1); err != nil {
			return nil, c.failed("no answer came", err)
		}
		res, err := http.ReadResponse(c.br, req)
		if err != nil {
			if isNetwork(err) {
				return nil, c.failed("the head of the answer broke off", err)
			}
			return nil, badAnswer("what came is no answer", err)
		}
		c.source.left = math.MaxInt64
		if res.StatusCode >= http.StatusOK {
			return res, nil
		}
	}
}

func isNetwork(err error) bool {
	var ne net.Error
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.As(err, &ne)
}

// failed returns the error of a call that may have run.
func (c *conn) failed(detail string, cause error) error {
	kind := sqerror.EndpointFailed
	if c.interrupted.Load() {
		kind = sqerror.Canceled
	}
	return sqerror.New(sqerror.Config{Kind: kind, Execution: sqerror.MayHaveRun, Detail: detail, Cause: cause})
}

func badAnswer(detail string, cause error) error {
	return sqerror.New(sqerror.Config{Kind: sqerror.BadResponse, Execution: sqerror.MayHaveRun, Detail: detail, Cause: cause})
}

// encodeHead returns the request line and the headers.
func encodeHead(call *Call) []byte {
	var b bytes.Buffer
	b.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	// Writing to a buffer gives no error.
	_ = call.Header.Write(&b)
	if len(call.Body) > 0 || bodyExpected(call.Method) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

func bodyExpected(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// keepAlive returns for how long the endpoint keeps an idle connection, as its
// answer says, less a part for the way.
func keepAlive(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return min(time.Duration(seconds)*time.Second*idlePercent/100, maxIdle)
		}
	}
	return idleUnset
}
