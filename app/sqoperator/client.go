package sqoperator

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"sequoiadock/core/sqcommand"
	"sequoiadock/core/sqerror"
	"sequoiadock/io/sqclock"
	"sequoiadock/io/sqhttp"
	"sequoiadock/io/sqrpc"
)

// Time limits of one request.
const (
	connectTimeout = time.Second
	// findHolderTimeout limits the wait for responses while looking for the lease
	// holder.
	findHolderTimeout = 2 * time.Second
	// forEachAddressTimeout limits the wait for the slowest of several processes that
	// are asked concurrently.
	forEachAddressTimeout = 3 * time.Second
	// responseTimeout limits the wait for a control process that accepted the
	// connection. A paused or partitioned process must not use up the time of
	// the whole command.
	responseTimeout = 5 * time.Second
	// longResponseTimeout applies to publish and replace: the lease holder
	// responds to them after other processes have confirmed or caught up.
	longResponseTimeout = 25 * time.Second
	retryInterval       = 150 * time.Millisecond
)

// maxResponseBytes limits a response: the whole state or configuration, or many decisions.
const maxResponseBytes = 64 << 20

// clusterClient sends requests to the control processes.
type clusterClient struct {
	addresses []string
	http      *http.Client
	// holderAddress is the last known address of the lease holder, or "".
	holderAddress string
}

func (c *invocation) newClient() (*clusterClient, error) {
	var addresses []string
	for a := range strings.SplitSeq(c.controls, ",") {
		a = strings.TrimSpace(a)
		if a == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(a); err != nil {
			return nil, sqerror.New(sqerror.Config{
				Kind: sqerror.Usage, Detail: "-controls: " + a + " is not an ip:port address", Advice: "write ip:port,ip:port", Cause: err,
			})
		}
		addresses = append(addresses, a)
	}
	if len(addresses) == 0 {
		return nil, sqerror.New(sqerror.Config{
			Kind: sqerror.Usage, Detail: "no control process address is given", Advice: "give -controls ip:port,ip:port or set " + EnvControls,
		})
	}
	client := sqhttp.NewClient(sqhttp.ClientConfig{ConnectTimeout: connectTimeout, MaxBodyBytes: maxResponseBytes})
	return &clusterClient{addresses: addresses, http: client}, nil
}

func (c *clusterClient) controlClient(address string) sqrpc.Control {
	return sqrpc.NewControlProtobufClient("http://"+address, c.http)
}

func (c *clusterClient) entryClient(address string) sqrpc.Entry {
	return sqrpc.NewEntryProtobufClient("http://"+address, c.http)
}

// callHolder calls request with a client of the lease holder. It retries until
// ctx ends while no process holds the lease; request must be idempotent.
func (c *clusterClient) callHolder(ctx context.Context, timeout time.Duration, request func(context.Context, sqrpc.Control) error) error {
	for {
		err := c.tryHolder(ctx, timeout, request)
		if err == nil || !sqrpc.IsRetryable(err) {
			return err
		}
		// If the error doesn't name the lease holder, tryHolder looks for it
		// again.
		c.holderAddress = sqrpc.RedirectAddress(err)
		if !sqclock.Sleep(ctx, retryInterval) {
			return holderTimeoutError(err)
		}
	}
}

func (c *clusterClient) tryHolder(ctx context.Context, timeout time.Duration, request func(context.Context, sqrpc.Control) error) error {
	if c.holderAddress == "" {
		address, err := c.findHolder(ctx)
		if err != nil {
			return err
		}
		c.holderAddress = address
	}
	requestCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return sqrpc.FromTwirp(request(requestCtx, c.controlClient(c.holderAddress)))
}

// findHolder asks all control processes concurrently for their status and
// returns the address of the lease holder. It returns as soon as the holder
// responds, because a paused process accepts connections but never responds.
func (c *clusterClient) findHolder(ctx context.Context) (string, error) {
	requestCtx, cancel := context.WithTimeout(ctx, findHolderTimeout)
	defer cancel()
	type reply struct {
		address string
		status  *sqrpc.StatusResponse
		err     error
	}
	replies := make(chan reply, len(c.addresses))
	for _, address := range c.addresses {
		go func() {
			status, err := c.controlClient(address).Status(requestCtx, &sqrpc.StatusRequest{})
			replies <- reply{address, status, sqrpc.FromTwirp(err)}
		}()
	}
	notSetUp := 0
	var lastErr error
	for range c.addresses {
		r := <-replies
		switch {
		case r.err != nil:
			lastErr = r.err
		case r.status.GetHoldsLease():
			return r.address, nil
		case r.status.GetIdentity().GetCluster() == "":
			notSetUp++
		}
	}
	if notSetUp == len(c.addresses) {
		return "", sqerror.New(sqerror.Config{Kind: sqerror.NotBootstrapped, Detail: "no control process is set up"})
	}
	return "", sqerror.New(sqerror.Config{Kind: sqerror.NotHolder, Detail: "no control process holds the lease", Cause: lastErr})
}

func holderTimeoutError(err error) error {
	kind := sqerror.Unreachable
	advice := "see \"sequoiadock status\"; a majority of the control processes must run and reach each other"
	if sqerror.KindOf(err) == sqerror.NotBootstrapped {
		kind = sqerror.NotBootstrapped
		advice = "run \"sequoiadock setup\" once"
	}
	return sqerror.New(sqerror.Config{
		Kind:   kind,
		Detail: "no control process answered as the lease holder in time",
		Advice: advice,
		Cause:  err,
	})
}

// submit commits one change. The operation ID makes it idempotent: a retry with
// the same ID after a lost response gets the result of the first commit.
func (c *clusterClient) submit(ctx context.Context, cmd *sqcommand.Command) (*sqcommand.Result, error) {
	var result *sqcommand.Result
	err := c.callHolder(ctx, responseTimeout, func(ctx context.Context, control sqrpc.Control) error {
		response, err := control.Submit(ctx, &sqrpc.SubmitRequest{Command: cmd})
		result = response.GetResult()
		return err
	})
	if err != nil {
		return nil, withRetryAdvice(err, cmd.GetOperationId())
	}
	return result, resultError(result)
}

// withRetryAdvice adds how to retry with the same operation ID to an error that
// leaves the outcome unknown. It returns any other error as it is.
func withRetryAdvice(err error, operationID string) error {
	if sqerror.KindOf(err) != sqerror.Unreachable {
		return err
	}
	return sqerror.New(sqerror.Config{
		Kind:   sqerror.Unreachable,
		Detail: "the outcome is not known",
		Advice: "run the same command with -operation " + operationID,
		Cause:  err,
	})
}

// resultError returns the error in the result of a committed command, or nil.
func resultError(r *sqcommand.Result) error {
	if r.GetError() == 0 {
		return nil
	}
	return sqerror.New(sqerror.Config{Kind: sqerror.Kind(r.GetError()), Detail: r.GetDetail()})
}

// forEachAddress calls request concurrently with the index of each address and
// returns when all calls have ended.
func (c *clusterClient) forEachAddress(ctx context.Context, addresses []string, request func(ctx context.Context, i int)) {
	requestCtx, cancel := context.WithTimeout(ctx, forEachAddressTimeout)
	defer cancel()
	done := make(chan struct{}, len(addresses))
	for i := range addresses {
		go func() {
			request(requestCtx, i)
			done <- struct{}{}
		}()
	}
	for range addresses {
		<-done
	}
}

// operationIDBytes is long enough that random IDs practically never collide.
const operationIDBytes = 16

// newOperationID returns a random operation ID in hexadecimal.
func newOperationID() string {
	b := make([]byte, operationIDBytes)
	// rand.Read never returns an error; it ends the process if the system has
	// no source of randomness.
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}
